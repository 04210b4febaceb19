#ifndef FULMARWINCH_SERVERS_ROUTING_OUTLIER_TRACKER_H
#define FULMARWINCH_SERVERS_ROUTING_OUTLIER_TRACKER_H

#include "core/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fulmarwinch {

/// Identifies requests that need the same abilities of a backend server, for
/// example the same adapter and the same range of prompt lengths.
using RequestClass = std::uint64_t;

/// Limits of the outlier state.
struct OutlierSettings {
  /// Failures in a row that remove a group that has served the class. A group
  /// that never did is removed by the first failure.
  std::uint32_t m_FailuresToRemove = 2;
  /// A success of this age outweighs what peers tell.
  Duration m_ProofAge = std::chrono::seconds(60);
  Duration m_FirstRemoval = std::chrono::seconds(10);
  Duration m_LongestRemoval = std::chrono::minutes(5);
  /// Time in which the load that failures stand for halves.
  Duration m_HalfLife = std::chrono::seconds(5);
};

/// What is known about one group for one class.
struct OutlierState {
  /// The group is not used for the class now.
  bool m_Removed = false;
  /// Failures that count as load, decayed.
  double m_FailureLoad = 0;
};

/// A removal in the form that nodes exchange.
struct OutlierRecord {
  std::string m_Group;
  RequestClass m_Class = 0;
  std::uint32_t m_Removals = 0;
  /// Time that is left; clocks of different nodes are never compared.
  Duration m_Remaining{0};
};

/// Failures by (group, request class), so that a group that fails one class
/// neither looks idle for it nor loses the classes that it serves well. Safe
/// for use by several threads; each shard has its own lock.
class OutlierTracker {
public:
  explicit OutlierTracker(const OutlierSettings &Settings = {});

  void onSuccess(const std::string &Group, RequestClass Class,
                 MonotonicTime Now);
  void onFailure(const std::string &Group, RequestClass Class,
                 MonotonicTime Now);
  OutlierState state(const std::string &Group, RequestClass Class,
                     MonotonicTime Now) const;
  /// Allows one trial when a removal has ended; called at dispatch.
  void onDispatch(const std::string &Group, RequestClass Class,
                  MonotonicTime Now);
  /// Removals to send to peers, and what a peer tells. Without the exchange
  /// every node has to meet every failing group itself.
  std::vector<OutlierRecord> records(MonotonicTime Now) const;
  void merge(const std::vector<OutlierRecord> &Records, MonotonicTime Now);
  /// Forgets a group, for example because its generation changed.
  void forget(const std::string &Group);

private:
  struct Record {
    std::uint32_t m_FailuresInARow = 0;
    std::uint32_t m_Removals = 0;
    double m_FailureLoad = 0;
    MonotonicTime m_LastFailure{};
    std::optional<MonotonicTime> m_LastSuccess;
    MonotonicTime m_RemovedUntil{};
    /// A trial after a removal is under way.
    bool m_Trial = false;
  };
  struct Shard {
    mutable std::mutex m_Mutex;
    std::map<std::pair<std::string, RequestClass>, Record> m_Records;
  };

  double decayed(const Record &Entry, MonotonicTime Now) const;
  Duration removalTime(std::uint32_t Removals) const;
  std::size_t indexOf(const std::string &Group) const;

  OutlierSettings m_Settings;
  std::array<Shard, 16> m_Shards;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_OUTLIER_TRACKER_H
