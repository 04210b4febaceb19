#include "servers/routing/group_view.h"

#include <algorithm>

namespace fulmarwinch {

std::size_t reportedByOthers(const Candidate &Group) {
  const std::size_t Reported =
      Group.m_Report.m_Running + Group.m_Report.m_Waiting;
  return Reported - std::min(Reported, Group.m_OwnAtReport);
}

double correctedLoad(const Candidate &Group, std::size_t Sharers) {
  const double Reported =
      static_cast<double>(Group.m_Report.m_Running + Group.m_Report.m_Waiting);
  const double Own = static_cast<double>(Group.m_OwnSinceReport);
  // Other nodes see the same report, get equal shares of the traffic and
  // prefer the same groups, so they are expected to send as much as this one.
  // A ratio taken from the reported load is near zero for an idle group, which
  // all nodes then filled at once until the next report.
  const double Others = static_cast<double>(Sharers > 0 ? Sharers - 1 : 0);
  const double Capacity =
      std::max(1.0, static_cast<double>(Group.m_Report.m_Capacity)) *
      std::max(0.01, Group.m_Weight);
  return (Reported + Own * (1.0 + Others) + Group.m_ClassFailures) / Capacity +
         Group.m_View->m_Distance;
}

double expectedLoad(const Candidate &Group, std::size_t Sharers,
                    double OthersFactor) {
  const double Others = static_cast<double>(Sharers > 0 ? Sharers - 1 : 0);
  const double Requests =
      static_cast<double>(reportedByOthers(Group) + Group.m_OwnInFlight) +
      OthersFactor * Others * static_cast<double>(Group.m_OwnSinceReport);
  const double Capacity =
      std::max(1.0, static_cast<double>(Group.m_Report.m_Capacity)) *
      std::max(0.01, Group.m_Weight);
  return (Requests + Group.m_ClassFailures) / Capacity +
         Group.m_View->m_Distance;
}

} // namespace fulmarwinch
