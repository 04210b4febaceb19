#include "randomised/group_world.h"

#include "fmt/format.h"

#include <algorithm>

namespace fulmarwinch {

namespace {
constexpr std::int64_t ViewExpiryMs = 1500;
} // namespace

void GroupWorld::readStore() {
  for (const auto &[Key, Object] : m_Store.objects()) {
    ObjectVersion &Seen = m_SeenVersions[Key];
    if (Seen == Object.m_Version)
      continue;
    Seen = Object.m_Version;
    if (Key.rfind("lease/", 0) == 0) {
      const auto Record = parseLeaseRecord(Object.m_Value);
      if (!Record.ok() || Record->m_Epoch < m_Epochs[Key])
        fail("the epoch of " + Key + " went back");
      else
        m_Epochs[Key] = Record->m_Epoch;
      continue;
    }
    if (Key.rfind("assignment/", 0) != 0)
      continue;
    const auto Value = parseAssignment(Object.m_Value);
    if (!Value.ok()) {
      fail(std::string(Value.status().message()));
      continue;
    }
    checkAssignment(m_Stored[Value->m_Domain], *Value);
    m_Stored[Value->m_Domain] = *Value;
  }
}

void GroupWorld::checkAssignment(const Assignment &Before,
                                 const Assignment &After) {
  if (After.m_Generation <= Before.m_Generation)
    fail("the generation of " + After.m_Domain + " did not grow");
  if (After.m_LeaseEpoch < Before.m_LeaseEpoch)
    fail("the epoch of " + After.m_Domain + " went back");
  for (const auto &[Name, Vm] : After.m_Vms) {
    const auto Old = Before.m_Vms.find(Name);
    const bool Same = Old != Before.m_Vms.end() &&
                      Old->second.m_Group == Vm.m_Group &&
                      Old->second.m_State == Vm.m_State;
    if (!Same)
      m_EntryChangedAt[Name] = m_Now;
    if (!Same && Vm.m_State == VmState::Assigned &&
        (Old == Before.m_Vms.end() || Old->second.m_State != VmState::Free))
      fail("VM " + Name + " was assigned although it was not free");
  }
}

void GroupWorld::checkEngines() {
  for (const auto &[Domain, Value] : m_Stored) {
    for (const auto &[Name, Vm] : Value.m_Vms) {
      const FakeEngine &Engine = m_Engines.at(Name);
      // A restarted engine has forgotten its token and may take a late order.
      if (!Engine.m_ChecksFencing || Vm.m_State == VmState::Releasing ||
          Engine.m_State == EngineState::Empty ||
          Engine.m_StartedAt >= m_EntryChangedAt[Name] - m_Settings.m_StepMs)
        continue;
      if (Engine.m_Group != Vm.m_Group)
        fail(fmt::format("VM {} is stored for '{}' but its engine runs '{}'",
                         Name, Vm.m_Group, Engine.m_Group));
    }
  }
}

void GroupWorld::checkViews() {
  for (auto Current = m_Views.begin(); Current != m_Views.end();) {
    const bool Expired = m_Now - Current->second.m_PublishedAt > ViewExpiryMs;
    Current = Expired ? m_Views.erase(Current) : std::next(Current);
  }
  for (const auto &[Id, Current] : m_Views) {
    const std::int64_t Age = m_Now - Current.m_PublishedAt;
    if (!Current.m_View.m_Serving || Age > ViewExpiryMs)
      continue;
    for (const std::string &Member : Current.m_Members) {
      const auto &ReadyAt = m_Engines.at(Member).m_ReadyAt;
      const auto Last = ReadyAt.find({Id, Current.m_View.m_Generation});
      // A report may be 1 s old when the view is computed.
      if (Last == ReadyAt.end() ||
          m_Now - Last->second > 1000 + Age + m_Settings.m_StepMs)
        fail(fmt::format("the view of {} lists the missing member {}", Id,
                         Member));
    }
  }
}

void GroupWorld::checkHolders() {
  for (std::size_t Shard = 0; Shard < m_Settings.m_Shards; ++Shard) {
    const std::string Name = fmt::format("r.{}", Shard);
    const auto Holders =
        std::count_if(m_Nodes.begin(), m_Nodes.end(), [&](const Node &Current) {
          return Current.m_Leases->isHeld(Name, timeOf(Current));
        });
    if (Holders > 1)
      fail(fmt::format("{} nodes hold shard {}", Holders, Name));
  }
}

std::size_t GroupWorld::servingGroups(const std::string &Deployment) const {
  std::size_t Count = 0;
  for (const auto &[Domain, Value] : m_Stored)
    for (const auto &[Id, Group] : Value.m_Groups) {
      const bool Ready = std::all_of(
          Group.m_Members.begin(), Group.m_Members.end(),
          [&, &Key = Id, &Entry = Group](const GroupMember &Member) {
            const FakeEngine &Engine = m_Engines.at(Member.m_Vm);
            return Engine.m_Up && !Engine.m_Partitioned &&
                   Engine.m_State == EngineState::Ready &&
                   Engine.m_Group == Key &&
                   Engine.m_Generation == Entry.m_Generation;
          });
      if (Group.m_Deployment == Deployment && !Group.m_Members.empty() &&
          Group.m_State != GroupState::Draining && Ready)
        ++Count;
    }
  return Count;
}

std::size_t GroupWorld::wantedGroups() const {
  std::size_t Count = 0;
  for (const auto &[Name, Spec] : m_Specs)
    Count += Spec.m_Replicas;
  return Count;
}

void GroupWorld::measure() {
  const double StepSeconds = static_cast<double>(m_Settings.m_StepMs) / 1000;
  for (const auto &[Name, Spec] : m_Specs) {
    const std::size_t Serving = servingGroups(Name);
    if (Serving < Spec.m_Replicas)
      m_Downtime +=
          StepSeconds * static_cast<double>(Spec.m_Replicas - Serving);
  }
  // Stranded: a VM that is up while another member of its group is down.
  for (const auto &[Domain, Value] : m_Stored)
    for (const auto &[Id, Group] : Value.m_Groups) {
      const auto Up =
          std::count_if(Group.m_Members.begin(), Group.m_Members.end(),
                        [this](const GroupMember &Member) {
                          const FakeEngine &Engine = m_Engines.at(Member.m_Vm);
                          return Engine.m_Up && !Engine.m_Partitioned;
                        });
      if (static_cast<std::size_t>(Up) < Group.m_Members.size())
        m_Stranded += StepSeconds * static_cast<double>(Up);
    }
}

} // namespace fulmarwinch
