// Gives fabric domains another model while their groups continue to serve.

#include "servers/replicas/model_rebalancer.h"
#include "servers/replicas/replica_planner.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// True for the states in which a group serves or will serve requests.
bool countsAsSupply(GroupMemberState State) {
  return State != GroupMemberState::Broken &&
         State != GroupMemberState::Closing;
}

} // namespace

void ReplicaPlanner::convertDomains(const ReplicaPlannerInput &Input) {
  if (!Input.m_TrafficSeen || m_ModelByDomain.empty()) {
    m_TrafficSince = Input.m_Now;
    return;
  }
  removeFinishedConversions(Input);
  resumeConversions(Input);
  if (Input.m_Now - m_TrafficSince >= m_Settings.m_DemandSettleTime &&
      Input.m_Now >= m_NextConversionAt) {
    m_NextConversionAt = Input.m_Now + m_Settings.m_ConversionInterval;
    const std::map<std::string, DomainSupply> Domains = domainSupplies(Input);
    const auto Conversion = chooseConversion(
        Domains, Input.m_Service->m_Engine.m_Models, Input.m_DemandByModel);
    // All servers of the domain load at the same time. Where the weight store
    // carries fewer loads, the conversion would take several load times and
    // keep lost servers from being replaced.
    if (Conversion &&
        loadsInProgress(Input) +
                Domains.at(Conversion->m_Domain).m_UsableServers <=
            maxConversionLoads(Input))
      m_Conversions[Conversion->m_Domain] = Conversion->m_Model;
  }
  for (const auto &[Domain, Model] : m_Conversions) {
    m_ModelByDomain[Domain] = Model;
    stageConversion(Input, Domain, Model);
    retireGroups(Input, Domain, Model);
  }
}

std::size_t
ReplicaPlanner::maxConversionLoads(const ReplicaPlannerInput &Input) const {
  return static_cast<std::size_t>(
      Input.m_Service->m_Engine.m_MaxConcurrentLoads *
      m_Settings.m_ConversionLoadShare);
}

void ReplicaPlanner::removeFinishedConversions(
    const ReplicaPlannerInput &Input) {
  for (auto Entry = m_Conversions.begin(); Entry != m_Conversions.end();) {
    const std::string &Domain = Entry->first;
    const std::string &Model = Entry->second;
    const bool HasOtherGroups =
        std::any_of(m_Groups.begin(), m_Groups.end(), [&](const auto &Entry) {
          return Entry.second.m_FabricDomain == Domain &&
                 Entry.second.m_Model != Model;
        });
    const auto &Servers = Input.m_Fleet->servers();
    const bool IsEvacuated =
        std::any_of(Servers.begin(), Servers.end(), [&](const auto &Entry) {
          return Entry.second.m_FabricDomain == Domain &&
                 Input.m_Fleet->isEvacuated(Entry.second.m_Zone);
        });
    Entry = !HasOtherGroups || IsEvacuated ? m_Conversions.erase(Entry)
                                           : std::next(Entry);
  }
  for (auto Entry = m_RetiredGroups.begin(); Entry != m_RetiredGroups.end();)
    Entry = m_Groups.count(*Entry) == 0 ? m_RetiredGroups.erase(Entry)
                                        : std::next(Entry);
}

void ReplicaPlanner::resumeConversions(const ReplicaPlannerInput &Input) {
  for (const auto &[Key, Group] : m_Groups) {
    const auto Assigned = m_ModelByDomain.find(Group.m_FabricDomain);
    if (Assigned == m_ModelByDomain.end() ||
        Assigned->second == Group.m_Model || !Group.m_Head ||
        Group.m_Head->m_Membership->m_State != GroupMemberState::Open)
      continue;
    const bool AllStaged = std::all_of(
        Group.m_Members.begin(), Group.m_Members.end(),
        [&](const std::string &Id) {
          const BackendServer *Server = Input.m_Fleet->find(Id);
          return Server && Server->hasStagedWeights(Assigned->second);
        });
    if (AllStaged)
      m_Conversions[Group.m_FabricDomain] = Assigned->second;
  }
}

std::map<std::string, DomainSupply>
ReplicaPlanner::domainSupplies(const ReplicaPlannerInput &Input) const {
  std::map<std::string, DomainSupply> Domains;
  for (const auto &[Id, Server] : Input.m_Fleet->servers()) {
    if (Server.m_Service != Input.m_Service->m_Name ||
        Server.m_FabricDomain.empty() ||
        !Input.m_Fleet->acceptsNewWork(Server) ||
        Input.m_UnreachableServers.count(Id) != 0)
      continue;
    DomainSupply &Domain = Domains[Server.m_FabricDomain];
    Domain.m_Zone = Server.m_Zone;
    ++Domain.m_UsableServers;
  }
  for (const auto &[Key, Group] : m_Groups) {
    const auto Domain = Domains.find(Group.m_FabricDomain);
    if (Domain != Domains.end() && Group.m_Head &&
        countsAsSupply(Group.m_Head->m_Membership->m_State))
      ++Domain->second.m_GroupsByModel[Group.m_Model];
  }
  for (auto &[Name, Domain] : Domains) {
    const auto Assigned = m_ModelByDomain.find(Name);
    if (Assigned != m_ModelByDomain.end())
      Domain.m_Model = Assigned->second;
    const auto Conversion = m_Conversions.find(Name);
    if (Conversion == m_Conversions.end())
      continue;
    Domain.m_Model = Conversion->second;
    const ModelSpec *Model =
        Input.m_Service->m_Engine.findModel(Conversion->second);
    Domain.m_GroupsByModel.clear();
    if (Model)
      Domain.m_GroupsByModel[Model->m_Name] =
          Domain.m_UsableServers / Model->m_GroupSize;
  }
  return Domains;
}

void ReplicaPlanner::stageConversion(const ReplicaPlannerInput &Input,
                                     const std::string &Domain,
                                     const std::string &ModelName) {
  const ModelSpec *Model = Input.m_Service->m_Engine.findModel(ModelName);
  if (!Model)
    return;
  for (const auto &[Id, Server] : Input.m_Fleet->servers())
    if (Server.m_FabricDomain == Domain &&
        Server.m_Service == Input.m_Service->m_Name &&
        Input.m_Fleet->acceptsNewWork(Server) &&
        Input.m_UnreachableServers.count(Id) == 0 &&
        !hasStagedOrIsStaging(Server, *Model) &&
        loadsInProgress(Input) < maxConversionLoads(Input))
      orderStaging(Input, Server, *Model);
}

void ReplicaPlanner::retireGroups(const ReplicaPlannerInput &Input,
                                  const std::string &Domain,
                                  const std::string &ModelName) {
  const ModelSpec *Model = Input.m_Service->m_Engine.findModel(ModelName);
  if (!Model)
    return;
  const auto IsStaged = [&](const std::string &Id) {
    const BackendServer *Server = Input.m_Fleet->find(Id);
    return Server && Server->hasStagedWeights(ModelName);
  };
  std::size_t Available = 0;
  for (const auto &[Id, Server] : Input.m_Fleet->servers())
    Available += Server.m_FabricDomain == Domain && isFree(Input, Server) &&
                 Server.hasStagedWeights(ModelName);
  std::vector<std::pair<std::size_t, const ReplicaGroup *>> Candidates;
  for (const auto &[Key, Group] : m_Groups) {
    if (Group.m_FabricDomain != Domain || Group.m_Model == ModelName)
      continue;
    // The members of groups that were retired before are still to come.
    if (m_RetiredGroups.count(Key) != 0)
      return;
    if (Group.m_Head &&
        Group.m_Head->m_Membership->m_State == GroupMemberState::Open)
      Candidates.push_back(
          {static_cast<std::size_t>(std::count_if(
               Group.m_Members.begin(), Group.m_Members.end(), IsStaged)),
           &Group});
  }
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first > Right.first;
                   });
  std::vector<GroupKey> Retired;
  for (const auto &[StagedMembers, Group] : Candidates) {
    if (Available >= Model->m_GroupSize)
      break;
    Available += StagedMembers;
    Retired.push_back(Group->m_Key);
  }
  // Groups stop serving only once their servers suffice for a new group.
  if (Available >= Model->m_GroupSize)
    m_RetiredGroups.insert(Retired.begin(), Retired.end());
}

std::vector<ModelSupply>
ReplicaPlanner::modelSupplies(const ReplicaPlannerInput &Input) const {
  std::vector<ModelSupply> Result;
  for (const ModelSpec &Model : Input.m_Service->m_Engine.m_Models) {
    ModelSupply Supply;
    Supply.m_Model = Model.m_Name;
    const auto Demanded = Input.m_DemandByModel.find(Model.m_Name);
    if (Demanded != Input.m_DemandByModel.end())
      Supply.m_DemandedGroups = Demanded->second;
    for (const auto &[Key, Group] : m_Groups) {
      if (Group.m_Model != Model.m_Name || !Group.m_Head ||
          Input.m_Fleet->isEvacuated(Group.m_Head->m_Zone))
        continue;
      const GroupMemberState State = Group.m_Head->m_Membership->m_State;
      Supply.m_OpenGroups += State == GroupMemberState::Open;
      Supply.m_FormingGroups += State == GroupMemberState::Joining ||
                                State == GroupMemberState::Ready;
    }
    for (const auto &[Id, Server] : Input.m_Fleet->servers())
      Supply.m_StagedSpares +=
          isFree(Input, Server) && Server.hasStagedWeights(Model.m_Name);
    for (const auto &[Domain, NewModel] : m_Conversions)
      Supply.m_ConvertingDomains += NewModel == Model.m_Name;
    Result.push_back(std::move(Supply));
  }
  return Result;
}

} // namespace fulmarwinch
