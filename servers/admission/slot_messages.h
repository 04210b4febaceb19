#ifndef FULMARWINCH_SERVERS_ADMISSION_SLOT_MESSAGES_H
#define FULMARWINCH_SERVERS_ADMISSION_SLOT_MESSAGES_H

#include "core/enum_names.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace fulmarwinch {

/// A node's request for slots on a cold backend server.
struct SlotRequest {
  /// Node ID with its incarnation: a node that restarted has forgotten its
  /// in-flight work and must not be taken for the earlier one.
  std::string m_Node;
  std::string m_Server;
  /// Increases with each request of the node.
  std::uint64_t m_RequestId = 0;
  /// Newest start ID that the node knows; empty if none.
  std::string m_StartId;
  /// The node's requests in flight on the backend server.
  std::size_t m_InFlight = 0;
  /// Slots that are still usable while this request is under way.
  std::size_t m_HeldSlots = 0;
  /// Newest request of the node whose answer has arrived.
  std::uint64_t m_LastAnsweredId = 0;
  /// Requests in flight that the node would like to have.
  std::size_t m_Wanted = 0;
  /// Failures on the backend server since the previous request.
  std::size_t m_Failures = 0;
  /// Number of connections to the backend server that the node has lost. A
  /// new value means that the backend server may have restarted.
  std::uint64_t m_LostConnections = 0;
};

/// The shard holder's answer: the node may have m_Slots requests in flight,
/// counted with those that are in flight already.
struct SlotGrant {
  std::string m_Node;
  std::string m_Server;
  std::uint64_t m_RequestId = 0;
  std::uint64_t m_Epoch = 0;
  std::string m_StartId;
  std::size_t m_Slots = 0;
  /// Counted by the node from the moment before it sent the request.
  Duration m_Lifetime{0};
};

/// Why the shard holder grants nothing.
enum class SlotRefusal {
  /// No valid lease, or too little of it is left.
  NoLease,
  /// No report of the backend server that is new enough to count in-flight
  /// work from slots of an earlier holder.
  InFlightNotCounted,
  /// The newest report of the backend server is too old, or older than a
  /// connection that was lost.
  ReportTooOld,
  /// The node and the holder know different start IDs; the next report of the
  /// backend server decides.
  StartIdDiffers,
  /// All slots of the ramp are taken.
  NoSlotFree,
};

inline constexpr std::array<EnumName<SlotRefusal>, 5> SlotRefusalNames{{
    {SlotRefusal::NoLease, "no_lease"},
    {SlotRefusal::InFlightNotCounted, "in_flight_not_counted"},
    {SlotRefusal::ReportTooOld, "report_too_old"},
    {SlotRefusal::StartIdDiffers, "start_id_differs"},
    {SlotRefusal::NoSlotFree, "no_slot_free"},
}};

/// State report of a backend server (`GET /v1/state`) with the limits of its
/// deployment.
struct ServerReport {
  std::string m_Server;
  std::string m_StartId;
  std::size_t m_Running = 0;
  std::size_t m_Waiting = 0;
  std::uint64_t m_Completed = 0;
  bool m_Cold = false;
  std::size_t m_ColdCapacity = 1;
  std::size_t m_WarmCapacity = 1;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ADMISSION_SLOT_MESSAGES_H
