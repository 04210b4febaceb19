#include "servers/routing/group_view.h"

#include <algorithm>

namespace fulmarwinch {

std::size_t requestsOfOtherNodes(const Candidate &Group) {
  const std::size_t ReportedRequests = Group.m_LoadReport.m_RunningRequests +
                                       Group.m_LoadReport.m_WaitingRequests;
  return ReportedRequests -
         std::min(ReportedRequests, Group.m_LocalInFlightAtReport);
}

double extrapolatedLoad(const Candidate &Group, std::size_t NodeCount) {
  const double ReportedRequests =
      static_cast<double>(Group.m_LoadReport.m_RunningRequests +
                          Group.m_LoadReport.m_WaitingRequests);
  const double LocalDispatches =
      static_cast<double>(Group.m_LocalDispatchesSinceReport);
  // The other nodes see the same load report, get equal shares of the traffic
  // and prefer the same groups, so each is expected to dispatch as many
  // requests as this node. An estimate of their share from the reported load
  // would be nearly zero for an idle group, and all nodes would overload that
  // group before its next report.
  const double OtherNodes =
      static_cast<double>(NodeCount > 0 ? NodeCount - 1 : 0);
  const double Capacity =
      std::max(1.0, static_cast<double>(Group.m_LoadReport.m_Capacity)) *
      std::max(0.01, Group.m_CapacityWeight);
  return (ReportedRequests + LocalDispatches * (1.0 + OtherNodes) +
          Group.m_FailureLoad) /
             Capacity +
         Group.m_View->m_DistancePenalty;
}

double expectedLoad(const Candidate &Group, std::size_t NodeCount,
                    double OtherNodeFactor) {
  const double OtherNodes =
      static_cast<double>(NodeCount > 0 ? NodeCount - 1 : 0);
  const double ExpectedRequests =
      static_cast<double>(requestsOfOtherNodes(Group) + Group.m_LocalInFlight) +
      OtherNodeFactor * OtherNodes *
          static_cast<double>(Group.m_LocalDispatchesSinceReport);
  const double Capacity =
      std::max(1.0, static_cast<double>(Group.m_LoadReport.m_Capacity)) *
      std::max(0.01, Group.m_CapacityWeight);
  return (ExpectedRequests + Group.m_FailureLoad) / Capacity +
         Group.m_View->m_DistancePenalty;
}

} // namespace fulmarwinch
