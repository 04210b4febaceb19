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

/// Hash that identifies requests with equal demands on a backend server, for
/// example the same adapter and the same range of prompt lengths.
using RequestClass = std::uint64_t;

/// Settings for ejecting groups that fail a class of requests.
struct OutlierSettings {
  /// Consecutive failures after which a group that has served the class before
  /// is ejected. A group that has never served it is ejected at the first
  /// failure.
  std::uint32_t m_FailuresToEject = 2;
  /// Ejections reported by peers are ignored for this time after a success seen
  /// by this node.
  Duration m_SuccessValidity = std::chrono::seconds(60);
  /// Duration of the first ejection; it doubles with each further one.
  Duration m_FirstEjectionTime = std::chrono::seconds(10);
  Duration m_MaxEjectionTime = std::chrono::minutes(5);
  /// Half-life of the load that is added for each failure.
  Duration m_FailureHalfLife = std::chrono::seconds(5);
};

/// Outlier state of one group for one class of requests.
struct OutlierState {
  /// The group is ejected and gets no requests of the class.
  bool m_Ejected = false;
  /// Recent failures, decayed with time, that count as load in requests.
  double m_FailureLoad = 0;
};

/// An ejection as nodes exchange it.
struct OutlierEjection {
  std::string m_Group;
  RequestClass m_Class = 0;
  std::uint32_t m_EjectionCount = 0;
  /// Time until the ejection ends. A duration, because the clocks of different
  /// nodes are not comparable.
  Duration m_RemainingTime{0};
};

/// Counts failures by group and class of requests, and ejects a group only for
/// the classes that fail on it. Without this, a group that fails a class at
/// once would look idle and attract its requests. Safe for use by several
/// threads; each shard has its own lock.
class OutlierTracker {
public:
  explicit OutlierTracker(const OutlierSettings &Settings = {});

  /// Records a success: the group is no longer ejected for \p Class.
  void onSuccess(const std::string &Group, RequestClass Class,
                 MonotonicTime Now);
  /// Records a failure, which may eject the group for \p Class.
  void onFailure(const std::string &Group, RequestClass Class,
                 MonotonicTime Now);
  /// Returns the state of a group for \p Class; not ejected and without
  /// failures if nothing is recorded.
  OutlierState state(const std::string &Group, RequestClass Class,
                     MonotonicTime Now) const;
  /// Must be called at each dispatch. The first request after an ejection is a
  /// probe: the group stays ejected for the others until its result is known.
  void onDispatch(const std::string &Group, RequestClass Class,
                  MonotonicTime Now);
  /// Returns the ejections in effect, to be sent to peers. Without this
  /// exchange every node would have to fail requests on every failing group
  /// itself.
  std::vector<OutlierEjection> activeEjections(MonotonicTime Now) const;
  /// Applies ejections that a peer sent, unless this node has seen a success
  /// within m_SuccessValidity or has ejected the group at least as often.
  void mergeEjections(const std::vector<OutlierEjection> &Records,
                      MonotonicTime Now);
  /// Deletes all state of a group, for example when its generation changes.
  void removeGroup(const std::string &Group);

private:
  struct FailureRecord {
    std::uint32_t m_ConsecutiveFailures = 0;
    std::uint32_t m_EjectionCount = 0;
    double m_FailureLoad = 0;
    MonotonicTime m_LastFailure{};
    std::optional<MonotonicTime> m_LastSuccess;
    MonotonicTime m_EjectedUntil{};
    /// A probe request after an ejection is in flight.
    bool m_ProbeInFlight = false;
  };
  struct Shard {
    mutable std::mutex m_Mutex;
    std::map<std::pair<std::string, RequestClass>, FailureRecord>
        m_FailureRecords;
  };

  double decayedFailures(const FailureRecord &Entry, MonotonicTime Now) const;
  Duration ejectionTime(std::uint32_t EjectionCount) const;
  std::size_t shardIndex(const std::string &Group) const;

  OutlierSettings m_Settings;
  std::array<Shard, 16> m_Shards;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_OUTLIER_TRACKER_H
