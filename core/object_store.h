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

/// Result of a StoreAction.
using StoreCompletion = std::variant<GetCompleted, WriteCompleted>;

/// Key and version of an object. In a watch event, version 0 means that the
/// object was deleted.
struct StoreKey {
  std::string m_Key;
  ObjectVersion m_Version;
};

/// Request for at most m_Limit keys that start with m_Prefix and follow
/// m_After.
struct ListKeys {
  std::string m_Prefix;
  std::string m_After;
  std::size_t m_Limit = 1000;
};

/// Result of ListKeys. A watch that starts from m_Position misses no change.
struct KeysListed {
  /// Succeeded or Unavailable.
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  StorePosition m_Position;
  std::vector<StoreKey> m_Keys;
  /// True if further keys match after the last one of m_Keys.
  bool m_HasMore = false;
};

/// Request to wait, at most for m_Timeout, for a change of a key that starts
/// with m_Prefix after m_Since.
struct WatchKeys {
  std::string m_Prefix;
  StorePosition m_Since;
  Duration m_Timeout = std::chrono::seconds(1);
};

/// Result of WatchKeys. It has no events if the timeout passed without a
/// change.
struct KeysWatched {
  /// Succeeded, Unavailable, or NotFound if the platform has compacted the
  /// changes since m_Since, so that the caller must list again.
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  StorePosition m_Position;
  std::vector<StoreKey> m_Events;
};

/// State of a VM in the platform's list. RemovalAnnounced: the platform has
/// announced that it will remove the VM; a drain by the configuration does not
/// set this state.
enum class PlatformVmState { Live, RemovalAnnounced };

inline constexpr std::array<EnumName<PlatformVmState>, 2> PlatformVmStateNames{{
    {PlatformVmState::Live, "live"},
    {PlatformVmState::RemovalAnnounced, "leaving"},
}};

/// Entry of the platform's list of VMs.
struct PlatformVm {
  std::string m_Vm;
  std::string m_Address;
  std::string m_Zone;
  std::string m_Domain;
  PlatformVmState m_State = PlatformVmState::Live;
  std::uint64_t m_Incarnation = 0;
};

/// Result of ObjectStore::listVms().
struct VmsListed {
  /// Succeeded or Unavailable.
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  std::vector<PlatformVm> m_Vms;
};

/// Client interface of the platform's object API and VM list. All functions
/// return without waiting. Each callback is called exactly once, on any thread,
/// possibly before the function returns, and must not block. Failed calls are
/// not retried.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;

  /// Starts \p Action. The result of GetObject is a GetCompleted whose outcome
  /// is never Unknown; the result of the other actions is a WriteCompleted.
  virtual void start(StoreAction Action,
                     std::function<void(StoreCompletion)> Done) = 0;

  virtual void list(const ListKeys &Request,
                    std::function<void(KeysListed)> Done) = 0;

  virtual void watch(const WatchKeys &Request,
                     std::function<void(KeysWatched)> Done) = 0;

  virtual void listVms(std::function<void(VmsListed)> Done) = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_OBJECT_STORE_H
