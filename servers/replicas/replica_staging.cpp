// Choice of the servers that load weights ahead of need.

#include "servers/replicas/replica_planner.h"

#include <algorithm>
#include <limits>

namespace fulmarwinch {

void ReplicaPlanner::stageSpares(const ReplicaPlannerInput &Input) {
  if (!Input.m_TrafficSeen &&
      Input.m_Now < m_StartedAt + m_Settings.m_SettleTime)
    return;
  const std::vector<const ModelSpec *> Models = modelsByNeed(Input);
  const auto Free = freeByDomain(Input);
  std::vector<std::pair<Completion, const std::vector<const BackendServer *> *>>
      Domains;
  for (const auto &[Domain, Servers] : Free)
    Domains.push_back({completionOf(Models, Servers), &Servers});
  // The weight store is the bottleneck, so the groups that lack fewest loads
  // are completed first, one after the other.
  std::stable_sort(
      Domains.begin(), Domains.end(), [](const auto &Left, const auto &Right) {
        const auto Loads = [](const Completion &Of) {
          return Of.m_Model ? Of.m_ToStage.size()
                            : std::numeric_limits<std::size_t>::max();
        };
        return Loads(Left.first) < Loads(Right.first);
      });
  for (const auto &[Lacking, Servers] : Domains) {
    if (!Lacking.m_Model) {
      stageRest(Input, Models, *Servers);
      continue;
    }
    // Before the first request they join without being staged.
    if (!Input.m_TrafficSeen)
      continue;
    for (const BackendServer *Server : Lacking.m_ToStage)
      stage(Input, *Server, *Lacking.m_Model);
  }
}

bool ReplicaPlanner::hasOrStages(const BackendServer &Server,
                                 const ModelSpec &Model) const {
  const auto Staging = m_Staging.find(Server.m_Id);
  return Staging != m_Staging.end() ? Staging->second.first == Model.m_Name
                                    : Server.hasStaged(Model.m_Name);
}

ReplicaPlanner::Completion ReplicaPlanner::completionOf(
    const std::vector<const ModelSpec *> &Models,
    const std::vector<const BackendServer *> &Free) const {
  for (const ModelSpec *Model : Models) {
    if (Free.size() < Model->m_GroupSize)
      continue;
    Completion Result;
    Result.m_Model = Model;
    std::size_t Missing = Model->m_GroupSize;
    for (const BackendServer *Server : Free)
      Missing -= Missing > 0 && hasOrStages(*Server, *Model) ? 1 : 0;
    // Servers without weights first: nothing is lost with them.
    std::vector<const BackendServer *> Others = Free;
    std::stable_sort(Others.begin(), Others.end(),
                     [](const BackendServer *Left, const BackendServer *Right) {
                       return Left->m_StagedModels.empty() >
                              Right->m_StagedModels.empty();
                     });
    for (const BackendServer *Server : Others)
      if (Result.m_ToStage.size() < Missing && !hasOrStages(*Server, *Model) &&
          m_Staging.count(Server->m_Id) == 0)
        Result.m_ToStage.push_back(Server);
    return Result;
  }
  return {};
}

void ReplicaPlanner::stageRest(const ReplicaPlannerInput &Input,
                               const std::vector<const ModelSpec *> &Models,
                               const std::vector<const BackendServer *> &Free) {
  const auto CountOf = [&](const ModelSpec &Model) {
    return std::count_if(Free.begin(), Free.end(),
                         [&](const BackendServer *Server) {
                           return hasOrStages(*Server, Model);
                         });
  };
  // Spares hold different models, so that one of them fits a broken group.
  for (const BackendServer *Server : Free) {
    if (!Server->m_StagedModels.empty() || m_Staging.count(Server->m_Id) != 0)
      continue;
    const ModelSpec *Rarest = nullptr;
    for (const ModelSpec *Model : Models)
      if (!Rarest || CountOf(*Model) < CountOf(*Rarest))
        Rarest = Model;
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
