#include "servers/routing/node_admission_gate.h"

#include <algorithm>
#include <limits>

namespace fulmarwinch {

NodeAdmissionGate::NodeAdmissionGate(RoutingTable &Table, NodeSlots &Slots,
                                     double QueueShare)
    : m_Table(Table), m_Slots(Slots), m_QueueShare(QueueShare) {}

bool NodeAdmissionGate::canAdmit(const Candidate &Group,
                                 MonotonicTime Now) const {
  if (!Group.m_View->m_Warm)
    return m_Slots.hasSlot(Group.m_View->m_Group, Now);
  return Group.m_LocalInFlight < localLimit(Group);
}

bool NodeAdmissionGate::tryAdmit(const Candidate &Group, MonotonicTime Now) {
  const std::string &GroupName = Group.m_View->m_Group;
  if (Group.m_View->m_Warm)
    return m_Table.tryDispatch(GroupName, localLimit(Group));
  if (!m_Slots.tryAcquire(GroupName, Now))
    return false;
  if (m_Table.tryDispatch(GroupName, std::numeric_limits<std::size_t>::max()))
    return true;
  m_Slots.release(GroupName);
  return false;
}

void NodeAdmissionGate::endAttempt(const std::string &Group, bool UsedSlot,
                                   const std::optional<ObservedTimes> &Times) {
  if (UsedSlot)
    m_Slots.release(Group);
  m_Table.onAttemptEnded(Group, Times);
}

std::size_t NodeAdmissionGate::localLimit(const Candidate &Group) const {
  const std::size_t OtherRequests = requestsOfOtherNodes(Group);
  const auto Capacity = static_cast<std::size_t>(
      static_cast<double>(Group.m_LoadReport.m_Capacity) * (1 + m_QueueShare));
  return std::max<std::size_t>(1, Capacity - std::min(Capacity, OtherRequests));
}

} // namespace fulmarwinch
