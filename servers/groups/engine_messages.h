#ifndef FULMARWINCH_SERVERS_GROUPS_ENGINE_MESSAGES_H
#define FULMARWINCH_SERVERS_GROUPS_ENGINE_MESSAGES_H

#include "core/enum_names.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Load state of an inference engine.
enum class EngineState { Empty, Loading, Ready, Failed };

inline constexpr std::array<EnumName<EngineState>, 4> EngineStateNames{{
    {EngineState::Empty, "empty"},
    {EngineState::Loading, "loading"},
    {EngineState::Ready, "ready"},
    {EngineState::Failed, "failed"},
}};

/// Last reported state of the engine on one VM.
struct EngineReport {
  /// False if the last poll was refused or not answered within 500 ms.
  bool m_Reachable = false;
  /// Unique per start of the engine process.
  std::string m_StartId;
  std::string m_Group;
  std::uint64_t m_Generation = 0;
  EngineState m_State = EngineState::Empty;
  /// Number of requests being executed.
  std::uint64_t m_RunningRequests = 0;
  /// Number of queued requests.
  std::uint64_t m_QueuedRequests = 0;
  /// Time just before the poll was sent.
  MonotonicTime m_PolledAt{};
};

/// Last engine report of each VM, by VM name.
using EngineReports = std::map<std::string, EngineReport>;

/// One entry of the platform's VM list.
struct ListedVm {
  std::string m_Vm;
  std::string m_Zone;
  std::string m_Domain;
  std::uint64_t m_Incarnation = 0;
  /// The platform has announced the removal of the VM.
  bool m_RemovalAnnounced = false;
  /// The configuration drains the VM or takes its availability zone out of
  /// service.
  bool m_Drained = false;
};

enum class EngineOrderKind { Load, Unload, SetDrainingRole };

inline constexpr std::array<EnumName<EngineOrderKind>, 3> EngineOrderKindNames{{
    {EngineOrderKind::Load, "load"},
    {EngineOrderKind::Unload, "unload"},
    {EngineOrderKind::SetDrainingRole, "role"},
}};

/// Order to the engine on m_Vm. A SetDrainingRole order makes the engine
/// refuse new requests while it finishes those that it has accepted.
struct EngineOrder {
  std::string m_Vm;
  EngineOrderKind m_Kind = EngineOrderKind::Unload;
  /// Fencing token: generation of the assignment that the order follows from.
  std::uint64_t m_FencingToken = 0;
  std::string m_Group;
  /// Generation of the group.
  std::uint64_t m_Generation = 0;
  std::string m_Model;
  std::string m_Version;
  /// Members of the group in rank order, as VM names. The driver replaces the
  /// names by addresses.
  std::vector<std::string> m_Members;
  /// Rank of m_Vm among m_Members.
  std::size_t m_Rank = 0;
};

/// Response of an engine to an order. Unknown means that no response arrived,
/// so the order may or may not have been accepted.
enum class OrderOutcome { Accepted, Refused, Unknown };

/// Outcome of an order. The driver reports one for each order, Unknown if the
/// order times out.
struct OrderCompleted {
  std::string m_Vm;
  EngineOrderKind m_Kind = EngineOrderKind::Unload;
  std::uint64_t m_FencingToken = 0;
  OrderOutcome m_Outcome = OrderOutcome::Unknown;
  /// Highest fencing token that the engine has seen; set if it refused the
  /// order.
  std::uint64_t m_HighestFencingToken = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_ENGINE_MESSAGES_H
