// What each model needs, what it has, and which domain is for which model.

#include "servers/replicas/domain_layout.h"
#include "servers/replicas/replica_planner.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// Part of the operator's expectation in the weight of a model once there is
/// traffic, and the least share that a model is taken to have.
constexpr double ExpectedShareWeight = 0.25;
constexpr double MinExpectedShare = 0.02;

} // namespace

std::map<std::string, double>
ReplicaPlanner::serverShares(const ReplicaPlannerInput &Input) const {
  std::map<std::string, double> Shares;
  const std::vector<ModelSpec> &Models = Input.m_Service->m_Engine.m_Models;
  double DemandedServers = 0.0;
  for (const ModelSpec &Model : Models)
    if (const auto Groups = Input.m_Demand.find(Model.m_Name);
        Groups != Input.m_Demand.end())
      DemandedServers += Groups->second * Model.m_GroupSize;
  double Total = 0.0;
  for (const ModelSpec &Model : Models) {
    // The operator's figure counts for a quarter, so that a model that is in
    // little use for a moment keeps its groups.
    double Share = std::max(MinExpectedShare, Model.m_ExpectedShare);
    const auto Groups = Input.m_Demand.find(Model.m_Name);
    if (DemandedServers > 0.0)
      Share = ExpectedShareWeight * Share +
              (1.0 - ExpectedShareWeight) *
                  (Groups == Input.m_Demand.end()
                       ? 0.0
                       : Groups->second * Model.m_GroupSize / DemandedServers);
    Shares[Model.m_Name] = Share;
    Total += Share;
  }
  for (auto &[Model, Share] : Shares)
    Share /= Total;
  return Shares;
}

std::map<std::string, double>
ReplicaPlanner::supplyByModel(const ReplicaPlannerInput &Input) const {
  std::map<std::string, double> Supply;
  for (const auto &[Key, Group] : m_Groups)
    if (Group.m_Head &&
        Group.m_Head->m_Membership->m_State != MemberState::Broken &&
        Group.m_Head->m_Membership->m_State != MemberState::Closing)
      Supply[Group.m_Model] += 1.0;
  for (const auto &[Key, Formed] : m_Formations)
    if (m_Groups.count(Key) == 0)
      Supply[Formed.m_Model] += 1.0;
  const std::map<std::string, double> Shares = serverShares(Input);
  std::map<std::string, double> Result;
  for (const ModelSpec &Model : Input.m_Service->m_Engine.m_Models)
    Result[Model.m_Name] =
        Supply[Model.m_Name] * Model.m_GroupSize / Shares.at(Model.m_Name);
  return Result;
}

std::vector<const ModelSpec *>
ReplicaPlanner::modelsByNeed(const ReplicaPlannerInput &Input) const {
  const std::map<std::string, double> Supply = supplyByModel(Input);
  std::vector<const ModelSpec *> Result;
  for (const ModelSpec &Model : Input.m_Service->m_Engine.m_Models)
    Result.push_back(&Model);
  std::stable_sort(Result.begin(), Result.end(),
                   [&](const ModelSpec *Left, const ModelSpec *Right) {
                     return Supply.at(Left->m_Name) < Supply.at(Right->m_Name);
                   });
  return Result;
}

std::string ReplicaPlanner::modelHeldBy(const BackendServer &Server) const {
  if (Server.m_Membership)
    return modelOfGroup(Server.m_Membership->m_Group.m_Name);
  const auto Staging = m_Staging.find(Server.m_Id);
  if (Staging != m_Staging.end())
    return Staging->second.first;
  for (const auto &[Key, Formed] : m_Formations)
    if (m_Groups.count(Key) == 0 &&
        std::find(Formed.m_Members.begin(), Formed.m_Members.end(),
                  Server.m_Id) != Formed.m_Members.end())
      return Formed.m_Model;
  return Server.m_StagedModels.empty() ? std::string()
                                       : Server.m_StagedModels.back();
}

void ReplicaPlanner::layOut(const ReplicaPlannerInput &Input) {
  std::map<std::string, DomainStock> Domains;
  std::size_t Servers = 0;
  std::size_t Holding = 0;
  for (const auto &[Id, Server] : Input.m_Fleet->servers()) {
    if (Server.m_Service != Input.m_Service->m_Name ||
        Server.m_Domain.empty() || Server.m_Draining)
      continue;
    DomainStock &Stock = Domains[Server.m_Domain];
    Stock.m_Zone = Server.m_Zone;
    ++Stock.m_Servers;
    ++Servers;
    const std::string Model = modelHeldBy(Server);
    if (Model.empty())
      continue;
    ++Stock.m_Holding[Model];
    ++Holding;
  }
  m_Layout =
      layOutDomains(Domains, serverShares(Input),
                    !Input.m_TrafficSeen &&
                        Input.m_Now < m_StartedAt + m_Settings.m_SettleTime);
  m_HoldingShare = Servers == 0 ? 0.0
                                : static_cast<double>(Holding) /
                                      static_cast<double>(Servers);
}

bool ReplicaPlanner::mayLoadFor(const ModelSpec &Model,
                                const std::string &Domain) const {
  const auto Planned = m_Layout.find(Domain);
  return Planned == m_Layout.end() || Planned->second == Model.m_Name;
}

} // namespace fulmarwinch
