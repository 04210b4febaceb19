#ifndef FULMARWINCH_SERVERS_ROUTING_GROUP_VIEW_H
#define FULMARWINCH_SERVERS_ROUTING_GROUP_VIEW_H

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace fulmarwinch {

/// What a replica group can serve.
struct Capability {
  std::size_t m_ContextLength = 0;
  std::set<std::string> m_Adapters;
  std::string m_Version;
};

/// A replica group as the serving view describes it.
struct GroupView {
  std::string m_Group;
  std::string m_Deployment;
  std::uint64_t m_Generation = 0;
  std::string m_HeadAddress;
  std::string m_StartId;
  std::string m_Zone;
  /// Added to the load, as a share of the capacity; 0 in the own zone.
  double m_Distance = 0;
  Capability m_Capability;
  MonotonicTime m_ViewExpiry{};
  bool m_Leaving = false;
  /// The ramp of this start is complete, so no slots are needed.
  bool m_Warm = false;
};

/// Load of a group's head as it was reported.
struct LoadReport {
  std::size_t m_Running = 0;
  std::size_t m_Waiting = 0;
  std::size_t m_Capacity = 1;
  MonotonicTime m_At{};
};

/// Response times that this node observed on a group, smoothed.
struct ObservedTimes {
  double m_FirstTokenSeconds = 0;
  double m_PerTokenSeconds = 0;
  MonotonicTime m_At{};
};

/// A group with the figures that routing compares, at one moment.
struct Candidate {
  std::shared_ptr<const GroupView> m_View;
  std::uint64_t m_GroupHash = 0;
  LoadReport m_Report;
  std::size_t m_OwnInFlight = 0;
  /// Own requests in flight when the report was taken in.
  std::size_t m_OwnAtReport = 0;
  std::size_t m_OwnSinceReport = 0;
  std::optional<ObservedTimes> m_Times;
  /// Failures of the request's class that count as load.
  double m_ClassFailures = 0;
  /// Share of the capacity that is counted; below 1 for a straggler.
  double m_Weight = 1;
};

/// Returns the load that others put on the group according to its report.
std::size_t reportedByOthers(const Candidate &Group);

/// Returns (reported load + own dispatches since the report + expected share
/// of others + failures of the class) / counted capacity + distance.
/// \p Sharers is the number of nodes that use the group.
double correctedLoad(const Candidate &Group, std::size_t Sharers);

/// Like correctedLoad(), but with the own requests that are in flight now, and
/// with \p OthersFactor dispatches of each other node for each own one since
/// the report.
double expectedLoad(const Candidate &Group, std::size_t Sharers,
                    double OthersFactor);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_GROUP_VIEW_H
