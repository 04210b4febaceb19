#include "randomised/group_simulation.h"

#include "fmt/format.h"

#include <algorithm>

namespace fulmarwinch {

namespace {
constexpr std::int64_t ViewExpiryMs = 1500;
} // namespace

void GroupSimulation::checkStore() {
  for (const auto &[Key, Object] : m_Store.objects()) {
    ObjectVersion &CheckedVersion = m_CheckedVersions[Key];
    if (CheckedVersion == Object.m_Version)
      continue;
    CheckedVersion = Object.m_Version;
    if (Key.rfind("lease/", 0) == 0) {
      const auto Record = parseLeaseRecord(Object.m_Value);
      if (!Record.ok() || Record->m_Epoch < m_LeaseEpochs[Key])
        recordViolation("the epoch of " + Key + " decreased");
      else
        m_LeaseEpochs[Key] = Record->m_Epoch;
      continue;
    }
    if (Key.rfind("assignment/", 0) != 0)
      continue;
    const auto StoredAssignment = parseAssignment(Object.m_Value);
    if (!StoredAssignment.ok()) {
      recordViolation(std::string(StoredAssignment.status().message()));
      continue;
    }
    checkAssignment(m_StoredAssignments[StoredAssignment->m_Domain],
                    *StoredAssignment);
    m_StoredAssignments[StoredAssignment->m_Domain] = *StoredAssignment;
  }
}

void GroupSimulation::checkAssignment(const Assignment &Previous,
                                      const Assignment &Next) {
  if (Next.m_Generation <= Previous.m_Generation)
    recordViolation("the generation of " + Next.m_Domain + " did not increase");
  if (Next.m_LeaseEpoch < Previous.m_LeaseEpoch)
    recordViolation("the epoch of " + Next.m_Domain + " decreased");
  for (const auto &[Name, Vm] : Next.m_Vms) {
    const auto PreviousVm = Previous.m_Vms.find(Name);
    const bool IsUnchanged = PreviousVm != Previous.m_Vms.end() &&
                             PreviousVm->second.m_Group == Vm.m_Group &&
                             PreviousVm->second.m_State == Vm.m_State;
    if (!IsUnchanged)
      m_EntryChangedAt[Name] = m_NowMs;
    if (!IsUnchanged && Vm.m_State == VmState::Assigned &&
        (PreviousVm == Previous.m_Vms.end() ||
         PreviousVm->second.m_State != VmState::Free))
      recordViolation("VM " + Name + " was assigned although it was not free");
  }
}

void GroupSimulation::checkEngineAssignments() {
  for (const auto &[Domain, StoredAssignment] : m_StoredAssignments) {
    for (const auto &[Name, Vm] : StoredAssignment.m_Vms) {
      const FakeEngine &Engine = m_Engines.at(Name);
      // An engine that restarted has lost its highest fencing token and may
      // accept a delayed order.
      if (!Engine.m_ChecksFencing || Vm.m_State == VmState::Releasing ||
          Engine.m_State == EngineState::Empty ||
          Engine.m_StartedAt >= m_EntryChangedAt[Name] - m_Settings.m_StepMs)
        continue;
      if (Engine.m_Group != Vm.m_Group)
        recordViolation(
            fmt::format("VM {} is assigned to '{}' but its engine runs '{}'",
                        Name, Vm.m_Group, Engine.m_Group));
    }
  }
}

void GroupSimulation::checkPublishedViews() {
  for (auto Published = m_PublishedViews.begin();
       Published != m_PublishedViews.end();) {
    const bool Expired =
        m_NowMs - Published->second.m_PublishedAt > ViewExpiryMs;
    Published =
        Expired ? m_PublishedViews.erase(Published) : std::next(Published);
  }
  for (const auto &[Id, Published] : m_PublishedViews) {
    const std::int64_t Age = m_NowMs - Published.m_PublishedAt;
    if (!Published.m_ServingView.m_Serving || Age > ViewExpiryMs)
      continue;
    for (const std::string &Member : Published.m_Members) {
      const auto &ReadyAt = m_Engines.at(Member).m_LastReadyAt;
      const auto LastReady =
          ReadyAt.find({Id, Published.m_ServingView.m_Generation});
      // An engine report may be up to 1 s old when the view is computed.
      if (LastReady == ReadyAt.end() ||
          m_NowMs - LastReady->second > 1000 + Age + m_Settings.m_StepMs)
        recordViolation(fmt::format(
            "the view of {} lists the missing member {}", Id, Member));
    }
  }
}

void GroupSimulation::checkLeaseHolders() {
  for (std::size_t Shard = 0; Shard < m_Settings.m_ShardCount; ++Shard) {
    const std::string Name = fmt::format("r.{}", Shard);
    const auto Holders =
        std::count_if(m_Nodes.begin(), m_Nodes.end(), [&](const Node &Holder) {
          return Holder.m_Leases->isHeld(Name, clockOf(Holder));
        });
    if (Holders > 1)
      recordViolation(fmt::format("{} nodes hold shard {}", Holders, Name));
  }
}

std::size_t
GroupSimulation::servingGroupCount(const std::string &Deployment) const {
  std::size_t Count = 0;
  for (const auto &[Domain, StoredAssignment] : m_StoredAssignments)
    for (const auto &[Id, Group] : StoredAssignment.m_Groups) {
      const bool IsReady = std::all_of(
          Group.m_Members.begin(), Group.m_Members.end(),
          [&, &Key = Id, &StoredGroup = Group](const GroupMember &Member) {
            const FakeEngine &Engine = m_Engines.at(Member.m_Vm);
            return Engine.m_IsUp && !Engine.m_IsPartitioned &&
                   Engine.m_State == EngineState::Ready &&
                   Engine.m_Group == Key &&
                   Engine.m_Generation == StoredGroup.m_Generation;
          });
      if (Group.m_Deployment == Deployment && !Group.m_Members.empty() &&
          Group.m_State != GroupState::Draining && IsReady)
        ++Count;
    }
  return Count;
}

std::size_t GroupSimulation::targetGroupCount() const {
  std::size_t Count = 0;
  for (const auto &[Name, Spec] : m_Specs)
    Count += Spec.m_Replicas;
  return Count;
}

void GroupSimulation::addDowntime() {
  const double StepSeconds = static_cast<double>(m_Settings.m_StepMs) / 1000;
  for (const auto &[Name, Spec] : m_Specs) {
    const std::size_t Serving = servingGroupCount(Name);
    if (Serving < Spec.m_Replicas)
      m_GroupDowntimeSeconds +=
          StepSeconds * static_cast<double>(Spec.m_Replicas - Serving);
  }
  // A VM is stranded while it is reachable but another member of its group is
  // not.
  for (const auto &[Domain, StoredAssignment] : m_StoredAssignments)
    for (const auto &[Id, Group] : StoredAssignment.m_Groups) {
      const auto ReachableMembers =
          std::count_if(Group.m_Members.begin(), Group.m_Members.end(),
                        [this](const GroupMember &Member) {
                          const FakeEngine &Engine = m_Engines.at(Member.m_Vm);
                          return Engine.m_IsUp && !Engine.m_IsPartitioned;
                        });
      if (static_cast<std::size_t>(ReachableMembers) < Group.m_Members.size())
        m_StrandedVmSeconds +=
            StepSeconds * static_cast<double>(ReachableMembers);
    }
}

} // namespace fulmarwinch
