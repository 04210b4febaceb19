// Computes the servers that each model needs and has, and the model that is
// assigned to each fabric domain.

#include "servers/replicas/domain_model_assignment.h"
#include "servers/replicas/replica_planner.h"

#include <algorithm>
#include <limits>

namespace fulmarwinch {

namespace {

/// Weight of the operator's expected share, against the observed demand, once
/// there is traffic.
constexpr double ExpectedShareWeight = 0.25;
/// Lowest expected share that is used for a model.
constexpr double MinExpectedShare = 0.02;

} // namespace

std::map<std::string, double>
ReplicaPlanner::neededServerShares(const ReplicaPlannerInput &Input) const {
  std::map<std::string, double> Shares;
  const std::vector<ModelSpec> &Models = Input.m_Service->m_Engine.m_Models;
  double DemandedServers = 0.0;
  for (const ModelSpec &Model : Models)
    if (const auto BusyGroups = Input.m_DemandByModel.find(Model.m_Name);
        BusyGroups != Input.m_DemandByModel.end())
      DemandedServers += BusyGroups->second * Model.m_GroupSize;
  double Total = 0.0;
  for (const ModelSpec &Model : Models) {
    // The operator's expected share counts for a quarter, so that a model whose
    // traffic is low for a moment does not lose its groups.
    double Share = std::max(MinExpectedShare, Model.m_ExpectedLoadShare);
    const auto BusyGroups = Input.m_DemandByModel.find(Model.m_Name);
    if (DemandedServers > 0.0)
      Share =
          ExpectedShareWeight * Share +
          (1.0 - ExpectedShareWeight) *
              (BusyGroups == Input.m_DemandByModel.end()
                   ? 0.0
                   : BusyGroups->second * Model.m_GroupSize / DemandedServers);
    Shares[Model.m_Name] = Share;
    Total += Share;
  }
  for (auto &[Model, Share] : Shares)
    Share /= Total;
  return Shares;
}

std::map<std::string, double>
ReplicaPlanner::supplyByModel(const ReplicaPlannerInput &Input) const {
  std::map<std::string, double> GroupCounts;
  for (const auto &[Key, Group] : m_Groups)
    if (Group.m_Head && !Input.m_Fleet->isEvacuated(Group.m_Head->m_Zone) &&
        Group.m_Head->m_Membership->m_State != GroupMemberState::Broken &&
        Group.m_Head->m_Membership->m_State != GroupMemberState::Closing)
      GroupCounts[Group.m_Model] += 1.0;
  for (const auto &[Key, PlannedFormation] : m_Formations)
    if (m_Groups.count(Key) == 0)
      GroupCounts[PlannedFormation.m_Model] += 1.0;
  const std::map<std::string, double> Shares = neededServerShares(Input);
  std::map<std::string, double> Supply;
  for (const ModelSpec &Model : Input.m_Service->m_Engine.m_Models)
    Supply[Model.m_Name] =
        GroupCounts[Model.m_Name] * Model.m_GroupSize / Shares.at(Model.m_Name);
  return Supply;
}

bool ReplicaPlanner::isShort(const ReplicaPlannerInput &Input,
                             const ModelSpec &Model) const {
  const auto Demanded = Input.m_DemandByModel.find(Model.m_Name);
  if (Demanded == Input.m_DemandByModel.end())
    return false;
  const auto GroupCount = std::count_if(
      m_Groups.begin(), m_Groups.end(), [&](const auto &KeyAndGroup) {
        const ReplicaGroup &Group = KeyAndGroup.second;
        return Group.m_Model == Model.m_Name && Group.m_Head &&
               !Input.m_Fleet->isEvacuated(Group.m_Head->m_Zone);
      });
  return static_cast<double>(GroupCount) < Demanded->second;
}

double ReplicaPlanner::shortModelPriority(const ReplicaPlannerInput &Input,
                                          const ModelSpec &Model) const {
  const auto Priority = Input.m_PriorityByModel.find(Model.m_Name);
  return Priority != Input.m_PriorityByModel.end() && isShort(Input, Model)
             ? Priority->second
             : std::numeric_limits<double>::infinity();
}

std::vector<const ModelSpec *>
ReplicaPlanner::modelsByRisingSupply(const ReplicaPlannerInput &Input) const {
  const std::map<std::string, double> Supply = supplyByModel(Input);
  std::vector<const ModelSpec *> Result;
  for (const ModelSpec &Model : Input.m_Service->m_Engine.m_Models)
    Result.push_back(&Model);
  std::stable_sort(Result.begin(), Result.end(),
                   [&](const ModelSpec *Left, const ModelSpec *Right) {
                     return Supply.at(Left->m_Name) < Supply.at(Right->m_Name);
                   });
  // Under scarcity the most urgent requests go first.
  if (!Input.m_PriorityByModel.empty())
    std::stable_sort(Result.begin(), Result.end(),
                     [&](const ModelSpec *Left, const ModelSpec *Right) {
                       return shortModelPriority(Input, *Left) <
                              shortModelPriority(Input, *Right);
                     });
  return Result;
}

std::string ReplicaPlanner::modelLoadedBy(const BackendServer &Server) const {
  if (Server.m_Membership)
    return modelOfGroup(Server.m_Membership->m_Group.m_Name);
  const auto Staging = m_ActiveStagings.find(Server.m_Id);
  if (Staging != m_ActiveStagings.end())
    return Staging->second.first;
  for (const auto &[Key, PlannedFormation] : m_Formations)
    if (m_Groups.count(Key) == 0 &&
        std::find(PlannedFormation.m_Members.begin(),
                  PlannedFormation.m_Members.end(),
                  Server.m_Id) != PlannedFormation.m_Members.end())
      return PlannedFormation.m_Model;
  return Server.m_StagedModels.empty() ? std::string()
                                       : Server.m_StagedModels.back();
}

void ReplicaPlanner::updateDomainModels(const ReplicaPlannerInput &Input) {
  std::map<std::string, DomainInventory> Domains;
  std::size_t ServerCount = 0;
  std::size_t ServersWithWeights = 0;
  for (const auto &[Id, Server] : Input.m_Fleet->servers()) {
    if (Server.m_Service != Input.m_Service->m_Name ||
        Server.m_FabricDomain.empty() || Server.m_Draining)
      continue;
    DomainInventory &Inventory = Domains[Server.m_FabricDomain];
    Inventory.m_Zone = Server.m_Zone;
    ++Inventory.m_ServerCount;
    ++ServerCount;
    // Staged weights count first: in a domain that is being converted they
    // differ from those of the groups, and the next lease holder continues the
    // conversion.
    const std::string Model = Server.m_StagedModels.empty()
                                  ? modelLoadedBy(Server)
                                  : Server.m_StagedModels.back();
    if (Model.empty())
      continue;
    ++Inventory.m_ServersByModel[Model];
    ++ServersWithWeights;
  }
  m_ModelByDomain = assignModelsToDomains(
      Domains, neededServerShares(Input),
      !Input.m_TrafficSeen &&
          Input.m_Now < m_StartedAt + m_Settings.m_StartupSettleTime);
  m_ShareWithWeights = ServerCount == 0
                           ? 0.0
                           : static_cast<double>(ServersWithWeights) /
                                 static_cast<double>(ServerCount);
}

bool ReplicaPlanner::isAllowedInDomain(const ModelSpec &Model,
                                       const std::string &Domain) const {
  const auto Assigned = m_ModelByDomain.find(Domain);
  return Assigned == m_ModelByDomain.end() || Assigned->second == Model.m_Name;
}

} // namespace fulmarwinch
