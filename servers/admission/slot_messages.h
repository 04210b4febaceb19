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
  /// Node ID with its incarnation. A restarted node has lost its count of
  /// requests in flight, so it must differ from its earlier incarnation.
  std::string m_Node;
  std::string m_Server;
  /// Increases with each request of the node.
  std::uint64_t m_RequestId = 0;
  /// Newest start ID of the backend server known to the node; may be empty.
  std::string m_StartId;
  /// The node's requests in flight on the backend server.
  std::size_t m_InFlight = 0;
  /// Slots of the previous grant, which the node may still use until the answer
  /// to this request arrives.
  std::size_t m_UsableSlots = 0;
  /// Highest request ID whose answer the node has received.
  std::uint64_t m_LastAnsweredRequestId = 0;
  /// Total requests in flight for which the node requests slots.
  std::size_t m_DesiredInFlight = 0;
  /// Failed requests on the backend server since the previous slot request.
  std::size_t m_Failures = 0;
  /// Total connections to the backend server that the node has lost. If it has
  /// increased, the backend server may have restarted.
  std::uint64_t m_LostConnections = 0;
};

/// Answer of the lease holder that grants slots. The node may have m_Slots
/// requests in flight, including those that are already in flight.
struct SlotGrant {
  std::string m_Node;
  std::string m_Server;
  std::uint64_t m_RequestId = 0;
  std::uint64_t m_Epoch = 0;
  std::string m_StartId;
  std::size_t m_Slots = 0;
  /// Counted from just before the node sent the slot request.
  Duration m_Lifetime{0};
};

/// Why the lease holder of the control shard grants no slots.
enum class SlotRefusal {
  /// The lease is not held, or expires too soon for a useful grant.
  NoLease,
  /// No report of the backend server is new enough to show all requests in
  /// flight from slots of earlier lease holders.
  InFlightNotCounted,
  /// The newest report of the backend server is too old, or was requested
  /// before a node reported a lost connection.
  ReportTooOld,
  /// The node and the lease holder know different start IDs. The next report of
  /// the backend server shows which is current.
  StartIdDiffers,
  /// All slots that the ramp allows are in use.
  NoSlotFree,
};

inline constexpr std::array<EnumName<SlotRefusal>, 5> SlotRefusalNames{{
    {SlotRefusal::NoLease, "no_lease"},
    {SlotRefusal::InFlightNotCounted, "in_flight_not_counted"},
    {SlotRefusal::ReportTooOld, "report_too_old"},
    {SlotRefusal::StartIdDiffers, "start_id_differs"},
    {SlotRefusal::NoSlotFree, "no_slot_free"},
}};

/// State report of a backend server (`GET /v1/state`) with the capacity limits
/// of its deployment, in requests.
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
