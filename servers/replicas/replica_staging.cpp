// Choice of the servers that load weights ahead of need.

#include "servers/replicas/replica_planner.h"

#include <algorithm>
#include <limits>

namespace fulmarwinch {

void ReplicaPlanner::stageSpares(const ReplicaPlannerInput &Input) {
  if (!Input.m_TrafficSeen &&
      Input.m_Now < m_StartedAt + m_Settings.m_SettleTime)
    return;
  const std::map<std::string, double> Supply = supplyByModel(Input);
  const auto Free = freeByDomain(Input);
  std::vector<std::pair<Completion, std::string>> Domains;
  for (const auto &[Domain, Servers] : Free)
    Domains.push_back({bestCompletion(Input, Domain, Servers, Supply), Domain});
  // The weight store is the bottleneck, so groups are completed one after the
  // other, beginning with those that lack little and are needed most.
  std::stable_sort(Domains.begin(), Domains.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first.m_Cost < Right.first.m_Cost;
                   });
  for (const auto &[Lacking, Domain] : Domains)
    // Before the first request they join without being staged.
    if (Lacking.m_Model && Input.m_TrafficSeen)
      for (const BackendServer *Server : Lacking.m_ToStage)
        stage(Input, *Server, *Lacking.m_Model);
  for (const auto &[Lacking, Domain] : Domains)
    if (!Lacking.m_Model)
      stageRest(Input, Domain, Free.at(Domain));
}

bool ReplicaPlanner::hasOrStages(const BackendServer &Server,
                                 const ModelSpec &Model) const {
  const auto Staging = m_Staging.find(Server.m_Id);
  return Staging != m_Staging.end() ? Staging->second.first == Model.m_Name
                                    : Server.hasStaged(Model.m_Name);
}

std::optional<ReplicaPlanner::Completion> ReplicaPlanner::completionOf(
    const ModelSpec &Model, const std::vector<const BackendServer *> &Free,
    const std::map<std::string, double> &Supply) const {
  const auto Held = static_cast<std::size_t>(
      std::count_if(Free.begin(), Free.end(), [&](const BackendServer *Server) {
        return hasOrStages(*Server, Model);
      }));
  Completion Result;
  Result.m_Model = &Model;
  std::size_t Missing =
      Model.m_GroupSize - std::min<std::size_t>(Held, Model.m_GroupSize);
  double Loads = 0.0;
  const auto Take = [&](const BackendServer &Server, double Cost) {
    if (Missing == 0 || hasOrStages(Server, Model) ||
        m_Staging.count(Server.m_Id) != 0)
      return;
    Result.m_ToStage.push_back(&Server);
    Loads += Cost;
    --Missing;
  };
  for (const BackendServer *Server : Free)
    if (Server->m_StagedModels.empty())
      Take(*Server, 1.0);
  for (const BackendServer *Server : Free) {
    if (Server->m_StagedModels.empty())
      continue;
    const auto Other = Supply.find(Server->m_StagedModels.back());
    if (Other == Supply.end() ||
        Supply.at(Model.m_Name) < Other->second * m_Settings.m_RestageBelow)
      Take(*Server, m_Settings.m_RestageCost);
  }
  if (Missing > 0)
    return std::nullopt;
  // Loads in progress are paid already, but a model without any group comes
  // first among equals.
  Result.m_Cost = Loads * (1.0 + Supply.at(Model.m_Name));
  return Result;
}

ReplicaPlanner::Completion ReplicaPlanner::bestCompletion(
    const ReplicaPlannerInput &Input, const std::string &Domain,
    const std::vector<const BackendServer *> &Free,
    const std::map<std::string, double> &Supply) const {
  Completion Best;
  Best.m_Cost = std::numeric_limits<double>::infinity();
  for (const ModelSpec &Model : Input.m_Service->m_Engine.m_Models) {
    // Before the first request groups join without staging, by the layout.
    if (!Input.m_TrafficSeen && !mayLoadFor(Model, Domain))
      continue;
    if (auto Found = completionOf(Model, Free, Supply);
        Found && Found->m_Cost < Best.m_Cost)
      Best = std::move(*Found);
  }
  return Best;
}

void ReplicaPlanner::stageRest(const ReplicaPlannerInput &Input,
                               const std::string &Domain,
                               const std::vector<const BackendServer *> &Free) {
  const auto CountOf = [&](const ModelSpec &Model) {
    return std::count_if(Free.begin(), Free.end(),
                         [&](const BackendServer *Server) {
                           return hasOrStages(*Server, Model);
                         });
  };
  for (const BackendServer *Server : Free) {
    if (!Server->m_StagedModels.empty() || m_Staging.count(Server->m_Id) != 0)
      continue;
    // In a domain that mixes, spares hold different models, so that one of
    // them fits a broken group.
    const ModelSpec *Rarest = nullptr;
    for (const ModelSpec &Model : Input.m_Service->m_Engine.m_Models)
      if (mayLoadFor(Model, Domain) &&
          (!Rarest || CountOf(Model) < CountOf(*Rarest)))
        Rarest = &Model;
    if (Rarest)
      stage(Input, *Server, *Rarest);
  }
}

void ReplicaPlanner::stage(const ReplicaPlannerInput &Input,
                           const BackendServer &Server,
                           const ModelSpec &Model) {
  if (!mayLoad(Input))
    return;
  MemberOrder Stage;
  Stage.m_Kind = OrderKind::Stage;
  Stage.m_Server = Server.m_Id;
  Stage.m_Model = Model.m_Name;
  m_Staging[Server.m_Id] = {Model.m_Name, Input.m_Now + Model.m_LoadTime * 2};
  order(Input, std::move(Stage));
}

} // namespace fulmarwinch
