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

enum class EngineState { Empty, Loading, Ready, Failed };

inline constexpr std::array<EnumName<EngineState>, 4> EngineStateNames{{
    {EngineState::Empty, "empty"},
    {EngineState::Loading, "loading"},
    {EngineState::Ready, "ready"},
    {EngineState::Failed, "failed"},
}};

/// Last known state of the engine of one VM.
struct EngineReport {
  /// False after a refused connection or 500 ms without a response.
  bool m_Reachable = false;
  std::string m_StartId;
  std::string m_Group;
  std::uint64_t m_Generation = 0;
  EngineState m_State = EngineState::Empty;
  std::uint64_t m_Running = 0;
  std::uint64_t m_Waiting = 0;
  /// Time before the poll was sent.
  MonotonicTime m_At{};
};

using EngineReports = std::map<std::string, EngineReport>;

/// One VM of the platform's list.
struct ListedVm {
  std::string m_Vm;
  std::string m_Zone;
  std::string m_Domain;
  std::uint64_t m_Incarnation = 0;
  bool m_Leaving = false;
  /// Set from the configuration: the VM is drained or its availability zone
  /// is out of service.
  bool m_Drained = false;
};

enum class OrderKind { Load, Unload, Role };

inline constexpr std::array<EnumName<OrderKind>, 3> OrderKindNames{{
    {OrderKind::Load, "load"},
    {OrderKind::Unload, "unload"},
    {OrderKind::Role, "role"},
}};

/// Order to the engine of m_Vm. A Role order puts it into the draining role.
struct EngineOrder {
  std::string m_Vm;
  OrderKind m_Order = OrderKind::Unload;
  std::uint64_t m_Fence = 0;
  std::string m_Group;
  std::uint64_t m_Generation = 0;
  std::string m_Model;
  std::string m_Version;
  /// VM names; the driver replaces them by addresses.
  std::vector<std::string> m_Members;
  std::size_t m_Rank = 0;
};

enum class OrderOutcome { Accepted, Refused, Unknown };

/// Answer to an order. The driver answers each one, at the latest with
/// Unknown after its timeout.
struct OrderCompleted {
  std::string m_Vm;
  OrderKind m_Order = OrderKind::Unload;
  std::uint64_t m_Fence = 0;
  OrderOutcome m_Outcome = OrderOutcome::Unknown;
  /// Highest token that the engine saw, if it refused the order.
  std::uint64_t m_HighestFence = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_ENGINE_MESSAGES_H
