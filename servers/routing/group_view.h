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

/// Model limits and versions that a replica group can serve.
struct Capability {
  std::size_t m_ContextLength = 0;
  std::set<std::string> m_Adapters;
  std::string m_Version;
};

/// State of a replica group as published in the serving view.
struct GroupView {
  std::string m_Group;
  std::string m_Deployment;
  std::uint64_t m_Generation = 0;
  std::string m_HeadAddress;
  std::string m_StartId;
  std::string m_Zone;
  /// Penalty that is added to the relative load of a group in another zone, as
  /// a share of its capacity; 0 in this node's zone.
  double m_DistancePenalty = 0;
  Capability m_Capability;
  /// The group is not used from this time on unless a newer view arrives.
  MonotonicTime m_ViewExpiry{};
  /// The group is draining and gets no new requests.
  bool m_Draining = false;
  /// The group has finished its warm-up since the start m_StartId, so requests
  /// to it need no slots.
  bool m_Warm = false;
};

/// Load report of a group's head server, in requests.
struct LoadReport {
  std::size_t m_RunningRequests = 0;
  std::size_t m_WaitingRequests = 0;
  std::size_t m_Capacity = 1;
  MonotonicTime m_ReportedAt{};
};

/// Response times of a group as seen by this node, exponentially smoothed.
struct ObservedTimes {
  double m_FirstTokenSeconds = 0;
  double m_PerTokenSeconds = 0;
  MonotonicTime m_ObservedAt{};
};

/// Snapshot of a group with the load figures that routing compares.
struct Candidate {
  std::shared_ptr<const GroupView> m_View;
  std::uint64_t m_GroupHash = 0;
  LoadReport m_LoadReport;
  /// Requests of this node that are in flight on the group.
  std::size_t m_LocalInFlight = 0;
  /// Value of m_LocalInFlight when the load report arrived.
  std::size_t m_LocalInFlightAtReport = 0;
  /// Requests that this node dispatched since the load report arrived.
  std::size_t m_LocalDispatchesSinceReport = 0;
  std::optional<ObservedTimes> m_ObservedTimes;
  /// Recent failures of the request's class, counted like requests in the load.
  double m_FailureLoad = 0;
  /// Factor on the capacity when computing the load; below 1 for a straggler.
  double m_CapacityWeight = 1;
};

/// Returns the requests of other nodes in the group's load report: reported
/// requests less this node's requests in flight at that time.
std::size_t requestsOfOtherNodes(const Candidate &Group);

/// Returns (reported requests + this node's dispatches since the report + as
/// many for each other node + failures of the class) / weighted capacity +
/// distance penalty. \p NodeCount is the number of nodes that use the group.
double extrapolatedLoad(const Candidate &Group, std::size_t NodeCount);

/// Like extrapolatedLoad(), but replaces this node's part of the reported
/// requests by its requests in flight now, and assumes that each other node
/// made \p OtherNodeFactor dispatches per dispatch of this node since the
/// report.
double expectedLoad(const Candidate &Group, std::size_t NodeCount,
                    double OtherNodeFactor);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_GROUP_VIEW_H
