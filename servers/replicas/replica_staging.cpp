// Chooses the spare servers that stage weights before a group needs them.

#include "servers/replicas/replica_planner.h"

#include <algorithm>
#include <limits>

namespace fulmarwinch {

void ReplicaPlanner::stageSpares(const ReplicaPlannerInput &Input) {
  if (!Input.m_TrafficSeen &&
      Input.m_Now < m_StartedAt + m_Settings.m_StartupSettleTime)
    return;
  const std::map<std::string, double> Supply = supplyByModel(Input);
  const auto FreeServers = freeServersByDomain(Input);
  std::vector<std::pair<GroupCompletion, std::string>> Domains;
  for (const auto &[Domain, Servers] : FreeServers)
    Domains.push_back(
        {cheapestCompletion(Input, Domain, Servers, Supply), Domain});
  // The bandwidth of the weight store is the bottleneck, so groups are
  // completed one after the other, in the order of their cost.
  std::stable_sort(Domains.begin(), Domains.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first.m_Cost < Right.first.m_Cost;
                   });
  for (const auto &[MissingLoads, Domain] : Domains)
    // Before the first request, servers join a group without prior staging.
    if (MissingLoads.m_Model && Input.m_TrafficSeen)
      for (const BackendServer *Server : MissingLoads.m_ServersToStage)
        orderStaging(Input, *Server, *MissingLoads.m_Model);
  for (const auto &[MissingLoads, Domain] : Domains)
    if (!MissingLoads.m_Model)
      stageRemainingSpares(Input, Domain, FreeServers.at(Domain));
}

bool ReplicaPlanner::hasStagedOrIsStaging(const BackendServer &Server,
                                          const ModelSpec &Model) const {
  const auto Staging = m_ActiveStagings.find(Server.m_Id);
  return Staging != m_ActiveStagings.end()
             ? Staging->second.first == Model.m_Name
             : Server.hasStagedWeights(Model.m_Name);
}

std::optional<ReplicaPlanner::GroupCompletion> ReplicaPlanner::planCompletion(
    const ReplicaPlannerInput &Input, const ModelSpec &Model,
    const std::vector<const BackendServer *> &FreeServers,
    const std::map<std::string, double> &Supply) const {
  const bool IsShort = isShort(Input, Model);
  const ConversionPolicy Policy{m_Settings.m_ShortageRatio,
                                Input.m_PriorityByModel};
  const double RestageRatio = IsShort ? m_Settings.m_ShortModelRestageRatio
                                      : m_Settings.m_RestageSupplyRatio;
  const auto StagedCount = static_cast<std::size_t>(std::count_if(
      FreeServers.begin(), FreeServers.end(), [&](const BackendServer *Server) {
        return hasStagedOrIsStaging(*Server, Model);
      }));
  GroupCompletion Result;
  Result.m_Model = &Model;
  std::size_t MissingCount =
      Model.m_GroupSize - std::min<std::size_t>(StagedCount, Model.m_GroupSize);
  double LoadCost = 0.0;
  const auto SelectServer = [&](const BackendServer &Server, double Cost) {
    if (MissingCount == 0 || hasStagedOrIsStaging(Server, Model) ||
        m_ActiveStagings.count(Server.m_Id) != 0)
      return;
    Result.m_ServersToStage.push_back(&Server);
    LoadCost += Cost;
    --MissingCount;
  };
  for (const BackendServer *Server : FreeServers)
    if (Server->m_StagedModels.empty())
      SelectServer(*Server, 1.0);
  for (const BackendServer *Server : FreeServers) {
    if (Server->m_StagedModels.empty())
      continue;
    const std::string &OtherModel = Server->m_StagedModels.back();
    const auto OtherSupply = Supply.find(OtherModel);
    if (OtherSupply == Supply.end() ||
        (IsShort && Policy.isMoreUrgent(Model.m_Name, OtherModel)) ||
        Supply.at(Model.m_Name) < OtherSupply->second * RestageRatio)
      SelectServer(*Server, m_Settings.m_RestageCost);
  }
  if (MissingCount > 0)
    return std::nullopt;
  // Loads in progress add no cost. Of two models with the same missing loads,
  // the one with the lower supply has the lower cost, so its group is completed
  // first.
  Result.m_Cost = LoadCost * (1.0 + Supply.at(Model.m_Name));
  return Result;
}

ReplicaPlanner::GroupCompletion ReplicaPlanner::cheapestCompletion(
    const ReplicaPlannerInput &Input, const std::string &Domain,
    const std::vector<const BackendServer *> &FreeServers,
    const std::map<std::string, double> &Supply) const {
  GroupCompletion Cheapest;
  Cheapest.m_Cost = std::numeric_limits<double>::infinity();
  for (const ModelSpec &Model : Input.m_Service->m_Engine.m_Models) {
    // Before the first request, groups form without staging and only with the
    // model that is assigned to the domain.
    if (!Input.m_TrafficSeen && !isAllowedInDomain(Model, Domain))
      continue;
    if (auto GroupPlan = planCompletion(Input, Model, FreeServers, Supply);
        GroupPlan && GroupPlan->m_Cost < Cheapest.m_Cost)
      Cheapest = std::move(*GroupPlan);
  }
  return Cheapest;
}

void ReplicaPlanner::stageRemainingSpares(
    const ReplicaPlannerInput &Input, const std::string &Domain,
    const std::vector<const BackendServer *> &FreeServers) {
  const auto StagedCountOf = [&](const ModelSpec &Model) {
    return std::count_if(FreeServers.begin(), FreeServers.end(),
                         [&](const BackendServer *Server) {
                           return hasStagedOrIsStaging(*Server, Model);
                         });
  };
  for (const BackendServer *Server : FreeServers) {
    if (!Server->m_StagedModels.empty() ||
        m_ActiveStagings.count(Server->m_Id) != 0)
      continue;
    // In a domain with groups of several models, spares get different models,
    // so that one of them can replace a member of any broken group.
    const ModelSpec *LeastStaged = nullptr;
    for (const ModelSpec &Model : Input.m_Service->m_Engine.m_Models)
      if (isAllowedInDomain(Model, Domain) &&
          (!LeastStaged || StagedCountOf(Model) < StagedCountOf(*LeastStaged)))
        LeastStaged = &Model;
    if (LeastStaged)
      orderStaging(Input, *Server, *LeastStaged);
  }
}

void ReplicaPlanner::orderStaging(const ReplicaPlannerInput &Input,
                                  const BackendServer &Server,
                                  const ModelSpec &Model) {
  if (!mayStartLoad(Input))
    return;
  MemberOrder StageOrder;
  StageOrder.m_Kind = MemberOrderKind::Stage;
  StageOrder.m_Server = Server.m_Id;
  StageOrder.m_Model = Model.m_Name;
  if (issueOrder(Input, std::move(StageOrder)))
    m_ActiveStagings[Server.m_Id] = {
        Model.m_Name, Input.m_Now + Model.m_WeightStoreLoadTime * 2};
}

} // namespace fulmarwinch
