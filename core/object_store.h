#ifndef FULMARWINCH_CORE_OBJECT_STORE_H
#define FULMARWINCH_CORE_OBJECT_STORE_H

#include "core/store_messages.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace fulmarwinch {

/// Answer to a StoreAction.
using StoreCompletion = std::variant<GetCompleted, PutCompleted>;

/// Key of an object and its version. In a watch event, version 0 stands for a
/// deleted object.
struct StoreKey {
  std::string m_Key;
  ObjectVersion m_Version = 0;
};

/// Asks for the keys that start with m_Prefix and follow m_After.
struct ListKeys {
  std::string m_Prefix;
  std::string m_After;
  std::size_t m_Limit = 1000;
};

/// Answer to ListKeys. A watch that starts from m_Revision misses no change.
struct ListCompleted {
  /// Applied or Unavailable.
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  std::uint64_t m_Revision = 0;
  std::vector<StoreKey> m_Keys;
  /// True if further keys follow the last one.
  bool m_HasMore = false;
};

/// Waits for a change below m_Prefix after revision m_Since, at most for
/// m_Timeout.
struct WatchKeys {
  std::string m_Prefix;
  std::uint64_t m_Since = 0;
  Duration m_Timeout = std::chrono::seconds(1);
};

/// Answer to WatchKeys. It has no events if the time passed without a change.
struct WatchCompleted {
  /// Applied, Unavailable, or NotFound if the platform no longer retains the
  /// changes since m_Since, so that the caller has to list again.
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  std::uint64_t m_Revision = 0;
  std::vector<StoreKey> m_Events;
};

enum class VmState { Live, Leaving };

inline constexpr std::array<EnumName<VmState>, 2> VmStateNames{{
    {VmState::Live, "live"},
    {VmState::Leaving, "leaving"},
}};

/// One row of the platform's VM list.
struct PlatformVm {
  std::string m_Vm;
  std::string m_Address;
  std::string m_Zone;
  std::string m_Domain;
  VmState m_State = VmState::Live;
  std::uint64_t m_Incarnation = 0;
};

/// Answer to listVms().
struct VmsCompleted {
  /// Applied or Unavailable.
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  std::vector<PlatformVm> m_Vms;
};

/// The platform's object API and VM list. All functions return without
/// waiting. Each callback is called exactly once, on any thread, possibly
/// before the function returns, and must not block. No call is repeated.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;

  /// GetObject is answered by GetCompleted, which is never Unknown; the other
  /// actions are answered by PutCompleted.
  virtual void start(StoreAction Action,
                     std::function<void(StoreCompletion)> Done) = 0;

  virtual void list(const ListKeys &Request,
                    std::function<void(ListCompleted)> Done) = 0;

  virtual void watch(const WatchKeys &Request,
                     std::function<void(WatchCompleted)> Done) = 0;

  virtual void listVms(std::function<void(VmsCompleted)> Done) = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_OBJECT_STORE_H
