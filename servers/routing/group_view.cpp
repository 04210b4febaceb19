#include "servers/routing/group_view.h"

#include <algorithm>

namespace fulmarwinch {

std::size_t reportedByOthers(const Candidate &Group) {
  const std::size_t ReportedRequests =
      Group.m_Report.m_Running + Group.m_Report.m_Waiting;
  return ReportedRequests - std::min(ReportedRequests, Group.m_OwnAtReport);
}

double correctedLoad(const Candidate &Group, std::size_t NodeCount) {
  const double ReportedRequests =
      static_cast<double>(Group.m_Report.m_Running + Group.m_Report.m_Waiting);
  const double LocalDispatches = static_cast<double>(Group.m_OwnSinceReport);
  // The other nodes see the same load report, get equal shares of the traffic
  // and prefer the same groups, so each is expected to dispatch as many
  // requests as this node. Estimating their share from the reported load gives
  // nearly zero for an idle group, and all nodes then overloaded that group
  // before its next report.
  const double OtherNodes =
      static_cast<double>(NodeCount > 0 ? NodeCount - 1 : 0);
  const double Capacity =
      std::max(1.0, static_cast<double>(Group.m_Report.m_Capacity)) *
      std::max(0.01, Group.m_Weight);
  return (ReportedRequests + LocalDispatches * (1.0 + OtherNodes) +
          Group.m_ClassFailures) /
             Capacity +
         Group.m_View->m_Distance;
}

double expectedLoad(const Candidate &Group, std::size_t NodeCount,
                    double OtherNodeFactor) {
  const double OtherNodes =
      static_cast<double>(NodeCount > 0 ? NodeCount - 1 : 0);
  const double ExpectedRequests =
      static_cast<double>(reportedByOthers(Group) + Group.m_OwnInFlight) +
      OtherNodeFactor * OtherNodes *
          static_cast<double>(Group.m_OwnSinceReport);
  const double Capacity =
      std::max(1.0, static_cast<double>(Group.m_Report.m_Capacity)) *
      std::max(0.01, Group.m_Weight);
  return (ExpectedRequests + Group.m_ClassFailures) / Capacity +
         Group.m_View->m_Distance;
}

} // namespace fulmarwinch
