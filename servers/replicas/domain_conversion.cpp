// Gives fabric domains another model while their groups continue to serve.

#include "servers/replicas/model_rebalancer.h"
#include "servers/replicas/replica_planner.h"

#include <algorithm>
#include <cmath>

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
  if (Input.m_Now - m_TrafficSince >= m_Settings.m_DemandSettleTime &&
      Input.m_Now >= m_NextConversionAt) {
    m_NextConversionAt = Input.m_Now + m_Settings.m_ConversionInterval;
    startConversion(Input);
  }
  for (const auto &[Domain, Conversion] : m_Conversions)
    for (const std::string &Id : Conversion.m_Servers) {
      const BackendServer *Server = Input.m_Fleet->find(Id);
      const ModelSpec *Model =
          Input.m_Service->m_Engine.findModel(Conversion.m_Model);
      if (Server && Model && isUsable(Input, *Server) &&
          !hasStagedOrIsStaging(*Server, *Model) &&
          loadsInProgress(Input) < maxConversionLoads(Input))
        orderStaging(Input, *Server, *Model);
    }
  retireConvertedGroups(Input);
}

void ReplicaPlanner::startConversion(const ReplicaPlannerInput &Input) {
  const EngineSpec &Engine = Input.m_Service->m_Engine;
  const auto Choice =
      chooseConversion(domainSupplies(Input), Engine.m_Models,
                       Input.m_DemandByModel, conversionPolicy(Input));
  if (!Choice || m_Conversions.count(Choice->m_Domain) != 0)
    return;
  const ModelSpec &Model = *Engine.findModel(Choice->m_Model);
  // The servers load at the same time. Where the weight store carries fewer
  // loads, a conversion would keep lost servers from being replaced.
  if (loadsInProgress(Input) + Model.m_GroupSize > maxConversionLoads(Input))
    return;
  ActiveConversion Conversion;
  Conversion.m_Model = Model.m_Name;
  Conversion.m_GiveUpTime = Input.m_Now + Model.m_WeightStoreLoadTime * 2 +
                            m_Settings.m_GroupBreakDelay;
  const std::size_t MaxServers =
      Choice->m_DonorGroups > 0 || !m_Settings.m_ConvertsSeveralGroups
          ? Model.m_GroupSize
          : freeServersToConvert(Input, Model, *Choice);
  const auto FreeServers = freeServersByDomain(Input);
  const auto Free = FreeServers.find(Choice->m_Domain);
  if (Free != FreeServers.end())
    for (const BackendServer *Server : Free->second)
      if (Conversion.m_Servers.size() < MaxServers)
        Conversion.m_Servers.insert(Server->m_Id);
  std::size_t DonorGroups = Choice->m_DonorGroups;
  for (const auto &[Key, Group] : m_Groups)
    if (DonorGroups > 0 && Group.m_FabricDomain == Choice->m_Domain &&
        Group.m_Model == Choice->m_DonorModel && Group.m_Head &&
        Group.m_Head->m_Membership->m_State == GroupMemberState::Open) {
      Conversion.m_Servers.insert(Group.m_Members.begin(),
                                  Group.m_Members.end());
      Conversion.m_DonorGroups.insert(Key);
      --DonorGroups;
    }
  m_Conversions[Choice->m_Domain] = std::move(Conversion);
}

ConversionPolicy
ReplicaPlanner::conversionPolicy(const ReplicaPlannerInput &Input) const {
  std::set<std::string> Zones;
  std::set<std::string> EvacuatedZones;
  for (const auto &[Id, Server] : Input.m_Fleet->servers())
    if (Server.m_Service == Input.m_Service->m_Name &&
        !Server.m_FabricDomain.empty()) {
      Zones.insert(Server.m_Zone);
      if (Input.m_Fleet->isEvacuated(Server.m_Zone))
        EvacuatedZones.insert(Server.m_Zone);
    }
  ConversionPolicy Policy;
  Policy.m_PriorityByModel = Input.m_PriorityByModel;
  Policy.m_ShortageRatio = shortageRatioAfterZoneLoss(
      m_Settings.m_ShortageRatio, Zones.size() - EvacuatedZones.size(),
      Input.m_TolerableZoneLosses -
          std::min(Input.m_TolerableZoneLosses, EvacuatedZones.size()));
  return Policy;
}

std::size_t
ReplicaPlanner::freeServersToConvert(const ReplicaPlannerInput &Input,
                                     const ModelSpec &Model,
                                     const DomainConversion &Choice) const {
  const std::map<std::string, DomainSupply> Domains = domainSupplies(Input);
  double Groups = 0.0;
  for (const auto &[Name, Domain] : Domains) {
    const auto Own = Domain.m_GroupsByModel.find(Model.m_Name);
    if (Own != Domain.m_GroupsByModel.end())
      Groups += static_cast<double>(Own->second);
  }
  const auto Demanded = Input.m_DemandByModel.find(Model.m_Name);
  const double Needed =
      Demanded == Input.m_DemandByModel.end()
          ? 0.0
          : Demanded->second * conversionPolicy(Input).m_ShortageRatio;
  const auto Missing =
      static_cast<std::size_t>(std::max(1.0, std::ceil(Needed - Groups)));
  const std::size_t Available =
      std::min(Domains.at(Choice.m_Domain).m_FreeServers,
               maxConversionLoads(Input) - loadsInProgress(Input));
  return std::min(Missing, Available / Model.m_GroupSize) * Model.m_GroupSize;
}

std::size_t
ReplicaPlanner::maxConversionLoads(const ReplicaPlannerInput &Input) const {
  return static_cast<std::size_t>(
      Input.m_Service->m_Engine.m_MaxConcurrentLoads *
      m_Settings.m_ConversionLoadShare);
}

bool ReplicaPlanner::isUsable(const ReplicaPlannerInput &Input,
                              const BackendServer &Server) const {
  return Server.m_Service == Input.m_Service->m_Name &&
         !Server.m_FabricDomain.empty() &&
         Input.m_Fleet->acceptsNewWork(Server) &&
         Input.m_UnreachableServers.count(Server.m_Id) == 0;
}

bool ReplicaPlanner::isReservedForConversion(
    const BackendServer &Server) const {
  const auto Conversion = m_Conversions.find(Server.m_FabricDomain);
  return Conversion != m_Conversions.end() &&
         Conversion->second.m_Servers.count(Server.m_Id) != 0 &&
         !Server.hasStagedWeights(Conversion->second.m_Model);
}

void ReplicaPlanner::removeFinishedConversions(
    const ReplicaPlannerInput &Input) {
  for (auto Entry = m_Conversions.begin(); Entry != m_Conversions.end();) {
    const ActiveConversion &Conversion = Entry->second;
    std::size_t UsableServers = 0;
    std::size_t FormedServers = 0;
    for (const std::string &Id : Conversion.m_Servers) {
      const BackendServer *Server = Input.m_Fleet->find(Id);
      if (!Server || !isUsable(Input, *Server))
        continue;
      ++UsableServers;
      FormedServers += Server->m_Membership &&
                       modelOfGroup(Server->m_Membership->m_Group.m_Name) ==
                           Conversion.m_Model;
    }
    const ModelSpec *Model =
        Input.m_Service->m_Engine.findModel(Conversion.m_Model);
    // The members of donor groups are free only once the first group forms.
    const bool HasFormed = Model && FormedServers > 0 &&
                           (!Conversion.m_DonorGroups.empty() ||
                            FormedServers + Model->m_GroupSize > UsableServers);
    const bool IsOver = HasFormed || !Model ||
                        UsableServers < Model->m_GroupSize ||
                        Input.m_Now >= Conversion.m_GiveUpTime;
    Entry = IsOver ? m_Conversions.erase(Entry) : std::next(Entry);
  }
  for (auto Entry = m_RetiredGroups.begin(); Entry != m_RetiredGroups.end();)
    Entry = m_Groups.count(*Entry) == 0 ? m_RetiredGroups.erase(Entry)
                                        : std::next(Entry);
}

std::map<std::string, DomainSupply>
ReplicaPlanner::domainSupplies(const ReplicaPlannerInput &Input) const {
  std::map<std::string, DomainSupply> Domains;
  for (const auto &[Id, Server] : Input.m_Fleet->servers())
    if (isUsable(Input, Server))
      Domains[Server.m_FabricDomain].m_Zone = Server.m_Zone;
  for (const auto &[Domain, Servers] : freeServersByDomain(Input))
    Domains[Domain].m_FreeServers = Servers.size();
  for (const auto &[Key, Group] : m_Groups) {
    const auto Domain = Domains.find(Group.m_FabricDomain);
    const auto Conversion = m_Conversions.find(Group.m_FabricDomain);
    const bool IsDonor = Conversion != m_Conversions.end() &&
                         Conversion->second.m_DonorGroups.count(Key) != 0;
    if (Domain != Domains.end() && !IsDonor && Group.m_Head &&
        countsAsSupply(Group.m_Head->m_Membership->m_State))
      ++Domain->second.m_GroupsByModel[Group.m_Model];
  }
  for (const auto &[Domain, Conversion] : m_Conversions)
    if (const ModelSpec *Model =
            Input.m_Service->m_Engine.findModel(Conversion.m_Model))
      Domains[Domain].m_GroupsByModel[Conversion.m_Model] +=
          m_Settings.m_ConvertsSeveralGroups
              ? std::max<std::size_t>(1, Conversion.m_Servers.size() /
                                             Model->m_GroupSize)
              : 1;
  return Domains;
}

void ReplicaPlanner::retireConvertedGroups(const ReplicaPlannerInput &Input) {
  // The members of groups that were retired before are still to come.
  std::set<std::string> BusyDomains;
  for (const GroupKey &Retired : m_RetiredGroups)
    BusyDomains.insert(m_Groups.at(Retired).m_FabricDomain);
  const auto FreeServers = freeServersByDomain(Input);
  for (const ModelSpec &Model : Input.m_Service->m_Engine.m_Models) {
    const auto IsStaged = [&](const std::string &Id) {
      const BackendServer *Server = Input.m_Fleet->find(Id);
      return Server && Server->hasStagedWeights(Model.m_Name);
    };
    std::map<std::string, std::vector<const ReplicaGroup *>> ConvertedGroups;
    for (const auto &[Key, Group] : m_Groups)
      if (Group.m_Model != Model.m_Name && Group.m_Head &&
          Group.m_Head->m_Membership->m_State == GroupMemberState::Open &&
          BusyDomains.count(Group.m_FabricDomain) == 0 &&
          std::all_of(Group.m_Members.begin(), Group.m_Members.end(), IsStaged))
        ConvertedGroups[Group.m_FabricDomain].push_back(&Group);
    for (const auto &[Domain, Groups] : ConvertedGroups) {
      const auto Free = FreeServers.find(Domain);
      std::size_t Available =
          Free == FreeServers.end()
              ? 0
              : static_cast<std::size_t>(std::count_if(
                    Free->second.begin(), Free->second.end(),
                    [&](const BackendServer *Server) {
                      return Server->hasStagedWeights(Model.m_Name);
                    }));
      std::vector<GroupKey> Retired;
      for (const ReplicaGroup *Group : Groups) {
        if (Available >= Model.m_GroupSize)
          break;
        Available += Group->m_Members.size();
        Retired.push_back(Group->m_Key);
      }
      // Groups stop serving only once their servers suffice for a new group.
      if (Available >= Model.m_GroupSize)
        m_RetiredGroups.insert(Retired.begin(), Retired.end());
    }
  }
}

std::vector<ModelSupply>
ReplicaPlanner::modelSupplies(const ReplicaPlannerInput &Input) const {
  const ConversionPolicy Policy = conversionPolicy(Input);
  std::vector<ModelSupply> Result;
  for (const ModelSpec &Model : Input.m_Service->m_Engine.m_Models) {
    ModelSupply Supply;
    Supply.m_Model = Model.m_Name;
    const auto Demanded = Input.m_DemandByModel.find(Model.m_Name);
    if (Demanded != Input.m_DemandByModel.end())
      Supply.m_DemandedGroups = Demanded->second;
    Supply.m_NeededGroups = Supply.m_DemandedGroups * Policy.m_ShortageRatio;
    const auto Priority = Policy.m_PriorityByModel.find(Model.m_Name);
    if (Priority != Policy.m_PriorityByModel.end())
      Supply.m_Priority = Priority->second;
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
    for (const auto &[Domain, Conversion] : m_Conversions)
      Supply.m_ConvertingDomains += Conversion.m_Model == Model.m_Name;
    Result.push_back(std::move(Supply));
  }
  return Result;
}

} // namespace fulmarwinch
