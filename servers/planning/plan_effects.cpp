#include "servers/planning/plan_effects.h"

#include "fmt/format.h"

#include <algorithm>
#include <map>
#include <set>

namespace fulmarwinch {

namespace {

/// Effect of a plan on a group: its weights are loaded again, or it stops
/// serving.
enum class GroupEffect { Reloads, Stops };

class EffectsEstimator {
public:
  EffectsEstimator(const ConfigurationView &Before,
                   const ConfigurationView &After,
                   const AssignmentSummary &Assignment)
      : m_Before(Before), m_After(After), m_Assignment(Assignment) {}

  void add(const PlannedEntry &Entry) {
    if (Entry.m_Id.m_Kind == EntryKind::Deployment)
      addDeploymentEffects(Entry.m_Id.m_Name);
    if (Entry.m_Id.m_Kind == EntryKind::Zone)
      addZoneEffects(Entry.m_Id.m_Name);
    if (Entry.m_Id.m_Kind == EntryKind::VmDrain)
      addVmDrainEffects(Entry.m_Id.m_Name);
  }

  PlanEffects result();

private:
  const GroupSummary *findGroup(const std::string &Name) const {
    for (const GroupSummary &Group : m_Assignment.m_Groups)
      if (Group.m_Group == Name)
        return &Group;
    return nullptr;
  }
  bool isOutOfServiceAfter(const VmSummary &Vm) const {
    return !m_After.isZoneInService(Vm.m_Zone) || m_After.isVmDrained(Vm.m_Vm);
  }
  bool isOutOfServiceBefore(const VmSummary &Vm) const {
    return !m_Before.isZoneInService(Vm.m_Zone) ||
           m_Before.isVmDrained(Vm.m_Vm);
  }

  void addDeploymentEffects(const std::string &Name);
  void addZoneEffects(const std::string &Name);
  void addVmDrainEffects(const std::string &Vm);
  void addLeavingVmEffects(const VmSummary &Vm);
  void addZoneWarnings();
  void addCapacityWarnings();

  const ConfigurationView &m_Before;
  const ConfigurationView &m_After;
  const AssignmentSummary &m_Assignment;
  std::map<std::string, GroupEffect> m_GroupEffects;
  std::set<std::string> m_Vms;
  PlanEffects m_Effects;
};

void EffectsEstimator::addDeploymentEffects(const std::string &Name) {
  const Deployment *Before = m_Before.deployment(Name);
  const Deployment *After = m_After.deployment(Name);
  if (!Before)
    return;
  const bool MustReload =
      After && (Before->m_Model != After->m_Model ||
                Before->m_Version != After->m_Version ||
                Before->m_ContextLength != After->m_ContextLength ||
                Before->m_VmsPerGroup != After->m_VmsPerGroup);
  std::int64_t GroupsToKeep = After ? After->m_Replicas : 0;
  for (const GroupSummary &Group : m_Assignment.m_Groups) {
    if (Group.m_Deployment != Name)
      continue;
    if (--GroupsToKeep < 0)
      m_GroupEffects[Group.m_Group] = GroupEffect::Stops;
    else if (MustReload)
      m_GroupEffects.emplace(Group.m_Group, GroupEffect::Reloads);
  }
}

void EffectsEstimator::addZoneEffects(const std::string &Name) {
  for (const VmSummary &Vm : m_Assignment.m_Vms)
    if (Vm.m_Zone == Name)
      addLeavingVmEffects(Vm);
}

void EffectsEstimator::addVmDrainEffects(const std::string &Name) {
  for (const VmSummary &Vm : m_Assignment.m_Vms)
    if (Vm.m_Vm == Name)
      addLeavingVmEffects(Vm);
}

void EffectsEstimator::addLeavingVmEffects(const VmSummary &Vm) {
  m_Vms.insert(Vm.m_Vm);
  if (!isOutOfServiceAfter(Vm) || isOutOfServiceBefore(Vm) ||
      Vm.m_Group.empty())
    return;
  // A spare VM of the same fabric domain can replace the leaving VM.
  const bool HasSpare =
      std::any_of(m_Assignment.m_Vms.begin(), m_Assignment.m_Vms.end(),
                  [&](const VmSummary &Other) {
                    return Other.m_Group.empty() &&
                           Other.m_Domain == Vm.m_Domain &&
                           !isOutOfServiceAfter(Other);
                  });
  const auto [Effect, Inserted] = m_GroupEffects.emplace(
      Vm.m_Group, HasSpare ? GroupEffect::Reloads : GroupEffect::Stops);
  if (!Inserted && !HasSpare)
    Effect->second = GroupEffect::Stops;
}

void EffectsEstimator::addZoneWarnings() {
  std::set<std::string> Zones;
  for (const VmSummary &Vm : m_Assignment.m_Vms)
    Zones.insert(Vm.m_Zone);
  const bool AnyInService =
      std::any_of(Zones.begin(), Zones.end(), [this](const std::string &Zone) {
        return m_After.isZoneInService(Zone);
      });
  if (!Zones.empty() && !AnyInService)
    m_Effects.m_Warnings.push_back(
        "no availability zone remains in service: all new work is refused");
}

void EffectsEstimator::addCapacityWarnings() {
  std::map<std::string, std::int64_t> ServingGroupsLeft;
  for (const GroupSummary &Group : m_Assignment.m_Groups)
    ServingGroupsLeft[Group.m_Deployment] +=
        Group.m_Serving && m_GroupEffects.count(Group.m_Group) == 0 ? 1 : 0;
  for (const auto &[Group, Effect] : m_GroupEffects) {
    const std::string &Name = findGroup(Group)->m_Deployment;
    const auto Count = ServingGroupsLeft.find(Name);
    if (Count == ServingGroupsLeft.end() || Count->second > 0)
      continue;
    m_Effects.m_Warnings.push_back(fmt::format(
        "deployment {} has no serving group until groups are loaded again",
        Name));
    ServingGroupsLeft.erase(Count);
  }
}

PlanEffects EffectsEstimator::result() {
  for (auto Effect = m_GroupEffects.begin(); Effect != m_GroupEffects.end();)
    Effect = findGroup(Effect->first) ? std::next(Effect)
                                      : m_GroupEffects.erase(Effect);
  for (const VmSummary &Vm : m_Assignment.m_Vms) {
    const auto Effect = m_GroupEffects.find(Vm.m_Group);
    if (Effect == m_GroupEffects.end())
      continue;
    m_Vms.insert(Vm.m_Vm);
    const GroupSummary &Group = *findGroup(Vm.m_Group);
    // A VM that stays in service while its group stops is idle until the group
    // is repaired, unless the plan removes the group from its deployment.
    const Deployment *After = m_After.deployment(Group.m_Deployment);
    const std::int64_t DeploymentGroups = std::count_if(
        m_Assignment.m_Groups.begin(), m_Assignment.m_Groups.end(),
        [&](const GroupSummary &Other) {
          return Other.m_Deployment == Group.m_Deployment;
        });
    if (Effect->second == GroupEffect::Stops && !isOutOfServiceAfter(Vm) &&
        After && After->m_Replicas >= DeploymentGroups)
      m_Effects.m_StrandedAccelerators += Vm.m_Accelerators;
  }
  for (const auto &[Name, Effect] : m_GroupEffects) {
    const GroupSummary &Group = *findGroup(Name);
    m_Effects.m_Groups.push_back(Name);
    m_Effects.m_RunningRequests += Group.m_RunningRequests;
    if (m_After.deployment(Group.m_Deployment))
      m_Effects.m_DowntimeSeconds += Group.m_ReloadSeconds;
  }
  m_Effects.m_Vms.assign(m_Vms.begin(), m_Vms.end());
  addZoneWarnings();
  addCapacityWarnings();
  return m_Effects;
}

} // namespace

PlanEffects estimateEffects(const std::vector<PlannedEntry> &Entries,
                            const ConfigurationView &Before,
                            const ConfigurationView &After,
                            const AssignmentSummary &Assignment) {
  EffectsEstimator Estimator(Before, After, Assignment);
  for (const PlannedEntry &Entry : Entries)
    Estimator.add(Entry);
  return Estimator.result();
}

} // namespace fulmarwinch
