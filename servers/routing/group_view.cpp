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
  // Other nodes see the same report and react like this one. How many of them
  // send work shows in the ratio of the reported load; the number of nodes
  // bounds it.
  const double Ratio =
      std::min(static_cast<double>(reportedByOthers(Group)) /
                   (static_cast<double>(Group.m_OwnAtReport) + 1.0),
               static_cast<double>(Sharers > 0 ? Sharers - 1 : 0));
  const double Capacity =
      std::max(1.0, static_cast<double>(Group.m_Report.m_Capacity)) *
      std::max(0.01, Group.m_Weight);
  return (Reported + Own * (1.0 + Ratio) + Group.m_ClassFailures) / Capacity +
         Group.m_View->m_Distance;
}

} // namespace fulmarwinch
