#include "servers/planning/plan_effects.h"

#include "fmt/format.h"

#include <algorithm>
#include <map>
#include <set>

namespace fulmarwinch {

namespace {

/// What happens to a group.
enum class GroupFate { Reloads, Stops };

class EffectsEstimate {
public:
  EffectsEstimate(const ConfigurationView &Before,
                  const ConfigurationView &After,
                  const AssignmentSummary &Assignment)
      : m_Before(Before), m_After(After), m_Assignment(Assignment) {}

  void add(const PlannedEntry &Entry) {
    if (Entry.m_Id.m_Kind == EntryKind::Deployment)
      addDeployment(Entry.m_Id.m_Name);
    if (Entry.m_Id.m_Kind == EntryKind::Zone)
      addZone(Entry.m_Id.m_Name);
    if (Entry.m_Id.m_Kind == EntryKind::VmDrain)
      addDrain(Entry.m_Id.m_Name);
  }

  PlanEffects finish();

private:
  const SummaryGroup *group(const std::string &Name) const {
    for (const SummaryGroup &Group : m_Assignment.m_Groups)
      if (Group.m_Group == Name)
        return &Group;
    return nullptr;
  }
  bool isLeaving(const SummaryVm &Vm) const {
    return !m_After.isZoneInService(Vm.m_Zone) || m_After.isVmDrained(Vm.m_Vm);
  }
  bool wasLeaving(const SummaryVm &Vm) const {
    return !m_Before.isZoneInService(Vm.m_Zone) ||
           m_Before.isVmDrained(Vm.m_Vm);
  }

  void addDeployment(const std::string &Name);
  void addZone(const std::string &Name);
  void addDrain(const std::string &Vm);
  void addLeavingVm(const SummaryVm &Vm);
  void warnAboutZones();
  void warnAboutCapacity();

  const ConfigurationView &m_Before;
  const ConfigurationView &m_After;
  const AssignmentSummary &m_Assignment;
  std::map<std::string, GroupFate> m_Fates;
  std::set<std::string> m_Vms;
  PlanEffects m_Effects;
};

void EffectsEstimate::addDeployment(const std::string &Name) {
  const Deployment *Before = m_Before.deployment(Name);
  const Deployment *After = m_After.deployment(Name);
  if (!Before)
    return;
  const bool MustReload =
      After && (Before->m_Model != After->m_Model ||
                Before->m_Version != After->m_Version ||
                Before->m_ContextLength != After->m_ContextLength ||
                Before->m_VmsPerGroup != After->m_VmsPerGroup);
  std::int64_t Kept = After ? After->m_Replicas : 0;
  for (const SummaryGroup &Group : m_Assignment.m_Groups) {
    if (Group.m_Deployment != Name)
      continue;
    if (--Kept < 0)
      m_Fates[Group.m_Group] = GroupFate::Stops;
    else if (MustReload)
      m_Fates.emplace(Group.m_Group, GroupFate::Reloads);
  }
}

void EffectsEstimate::addZone(const std::string &Name) {
  for (const SummaryVm &Vm : m_Assignment.m_Vms)
    if (Vm.m_Zone == Name)
      addLeavingVm(Vm);
}

void EffectsEstimate::addDrain(const std::string &Name) {
  for (const SummaryVm &Vm : m_Assignment.m_Vms)
    if (Vm.m_Vm == Name)
      addLeavingVm(Vm);
}

void EffectsEstimate::addLeavingVm(const SummaryVm &Vm) {
  m_Vms.insert(Vm.m_Vm);
  if (!isLeaving(Vm) || wasLeaving(Vm) || Vm.m_Group.empty())
    return;
  // A spare VM of the same fabric domain can take the place.
  const bool HasSpare =
      std::any_of(m_Assignment.m_Vms.begin(), m_Assignment.m_Vms.end(),
                  [&](const SummaryVm &Other) {
                    return Other.m_Group.empty() &&
                           Other.m_Domain == Vm.m_Domain && !isLeaving(Other);
                  });
  const auto [Fate, Inserted] = m_Fates.emplace(
      Vm.m_Group, HasSpare ? GroupFate::Reloads : GroupFate::Stops);
  if (!Inserted && !HasSpare)
    Fate->second = GroupFate::Stops;
}

void EffectsEstimate::warnAboutZones() {
  std::set<std::string> Zones;
  for (const SummaryVm &Vm : m_Assignment.m_Vms)
    Zones.insert(Vm.m_Zone);
  const bool AnyInService =
      std::any_of(Zones.begin(), Zones.end(), [this](const std::string &Zone) {
        return m_After.isZoneInService(Zone);
      });
  if (!Zones.empty() && !AnyInService)
    m_Effects.m_Warnings.push_back(
        "no availability zone remains in service: all new work is refused");
}

void EffectsEstimate::warnAboutCapacity() {
  std::map<std::string, std::int64_t> Remaining;
  for (const SummaryGroup &Group : m_Assignment.m_Groups)
    Remaining[Group.m_Deployment] +=
        Group.m_Serving && m_Fates.count(Group.m_Group) == 0 ? 1 : 0;
  for (const auto &[Group, Fate] : m_Fates) {
    const std::string &Name = group(Group)->m_Deployment;
    const auto Left = Remaining.find(Name);
    if (Left == Remaining.end() || Left->second > 0)
      continue;
    m_Effects.m_Warnings.push_back(fmt::format(
        "deployment {} has no serving group until groups are loaded again",
        Name));
    Remaining.erase(Left);
  }
}

PlanEffects EffectsEstimate::finish() {
  for (auto Fate = m_Fates.begin(); Fate != m_Fates.end();)
    Fate = group(Fate->first) ? std::next(Fate) : m_Fates.erase(Fate);
  for (const SummaryVm &Vm : m_Assignment.m_Vms) {
    const auto Fate = m_Fates.find(Vm.m_Group);
    if (Fate == m_Fates.end())
      continue;
    m_Vms.insert(Vm.m_Vm);
    const SummaryGroup &Group = *group(Vm.m_Group);
    // A VM that stays while its group stops is idle until the group is
    // repaired, unless the whole deployment gives the group up.
    const Deployment *After = m_After.deployment(Group.m_Deployment);
    const std::int64_t Groups = std::count_if(
        m_Assignment.m_Groups.begin(), m_Assignment.m_Groups.end(),
        [&](const SummaryGroup &Other) {
          return Other.m_Deployment == Group.m_Deployment;
        });
    if (Fate->second == GroupFate::Stops && !isLeaving(Vm) && After &&
        After->m_Replicas >= Groups)
      m_Effects.m_StrandedAccelerators += Vm.m_Accelerators;
  }
  for (const auto &[Name, Fate] : m_Fates) {
    const SummaryGroup &Group = *group(Name);
    m_Effects.m_Groups.push_back(Name);
    m_Effects.m_RunningRequests += Group.m_RunningRequests;
    if (m_After.deployment(Group.m_Deployment))
      m_Effects.m_DowntimeSeconds += Group.m_ReloadSeconds;
  }
  m_Effects.m_Vms.assign(m_Vms.begin(), m_Vms.end());
  warnAboutZones();
  warnAboutCapacity();
  return m_Effects;
}

} // namespace

PlanEffects estimateEffects(const std::vector<PlannedEntry> &Entries,
                            const ConfigurationView &Before,
                            const ConfigurationView &After,
                            const AssignmentSummary &Assignment) {
  EffectsEstimate Estimate(Before, After, Assignment);
  for (const PlannedEntry &Entry : Entries)
    Estimate.add(Entry);
  return Estimate.finish();
}

} // namespace fulmarwinch
