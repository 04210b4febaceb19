#include "servers/groups/serving_view.h"

#include "fmt/format.h"

namespace fulmarwinch {

bool isReadyFor(const EngineReport &Report, const std::string &Id,
                const GroupEntry &Group) {
  return Report.m_Reachable && Report.m_State == EngineState::Ready &&
         Report.m_Group == Id && Report.m_Generation == Group.m_Generation;
}

ServingView computeServingView(const std::string &Id, const GroupEntry &Group,
                               const std::map<std::string, AgedReport> &Reports,
                               Duration MaxAge) {
  ServingView View;
  View.m_Group = Id;
  View.m_Generation = Group.m_Generation;
  if (Group.m_State == GroupState::Draining ||
      Group.m_State == GroupState::Disbanded || Group.m_Members.empty()) {
    View.m_Reason =
        fmt::format("group is {}", nameOf(GroupStateNames, Group.m_State));
    return View;
  }
  View.m_Head = Group.m_Members.front().m_Vm;
  for (const GroupMember &Member : Group.m_Members) {
    const auto Found = Reports.find(Member.m_Vm);
    if (Found == Reports.end() || Found->second.m_Age > MaxAge) {
      View.m_Reason = fmt::format("no recent report of {}", Member.m_Vm);
      return View;
    }
    if (!isReadyFor(Found->second.m_Report, Id, Group)) {
      View.m_Reason = fmt::format("{} is not ready for generation {}",
                                  Member.m_Vm, Group.m_Generation);
      return View;
    }
  }
  View.m_Serving = true;
  return View;
}

} // namespace fulmarwinch
