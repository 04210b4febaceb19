#include "servers/replicas/domain_model_assignment.h"

#include <algorithm>
#include <tuple>

namespace fulmarwinch {

namespace {

/// With fewer domains per model, the loss of one domain would leave a model
/// without any group.
constexpr std::size_t LeastDomainsPerModel = 2;

/// Model that most servers of \p Domain have loaded, or an empty string.
std::string mostLoadedModel(const DomainInventory &Domain) {
  const auto MostServers = std::max_element(
      Domain.m_ServersByModel.begin(), Domain.m_ServersByModel.end(),
      [](const auto &Left, const auto &Right) {
        return Left.second < Right.second;
      });
  return MostServers == Domain.m_ServersByModel.end() ? std::string()
                                                      : MostServers->first;
}

/// Order in which domains are assigned a model: the first domain of each zone,
/// then the second of each zone, and so on.
std::vector<std::string>
assignmentOrder(const std::map<std::string, DomainInventory> &Domains) {
  std::map<std::string, std::size_t> DomainsSeenInZone;
  std::vector<std::tuple<std::size_t, std::string, std::string>> RankedDomains;
  for (const auto &[Name, Inventory] : Domains)
    RankedDomains.emplace_back(DomainsSeenInZone[Inventory.m_Zone]++,
                               Inventory.m_Zone, Name);
  std::sort(RankedDomains.begin(), RankedDomains.end());
  std::vector<std::string> Order;
  for (auto &[RankInZone, Zone, Name] : RankedDomains)
    Order.push_back(std::move(Name));
  return Order;
}

} // namespace

std::map<std::string, std::string>
assignModelsToDomains(const std::map<std::string, DomainInventory> &Domains,
                      const std::map<std::string, double> &ServerShares,
                      bool MoreDomainsExpected) {
  std::map<std::string, std::string> Result;
  if (!MoreDomainsExpected &&
      Domains.size() < LeastDomainsPerModel * ServerShares.size())
    return Result;
  std::map<std::string, double> DomainsOfModel;
  std::map<std::string, std::map<std::string, double>> DomainsOfModelInZone;
  const auto Assign = [&](const std::string &Domain, const std::string &Model) {
    Result[Domain] = Model;
    DomainsOfModel[Model] += 1.0;
    DomainsOfModelInZone[Domains.at(Domain).m_Zone][Model] += 1.0;
  };
  std::vector<std::string> Unassigned;
  for (const std::string &Domain : assignmentOrder(Domains)) {
    const std::string LoadedModel = mostLoadedModel(Domains.at(Domain));
    if (ServerShares.count(LoadedModel) != 0)
      Assign(Domain, LoadedModel);
    else
      Unassigned.push_back(Domain);
  }
  for (const std::string &Domain : Unassigned) {
    const auto &ModelsInZone = DomainsOfModelInZone[Domains.at(Domain).m_Zone];
    const auto RelativeSupply = [&](const auto &ModelShare) {
      const auto SameModel = ModelsInZone.find(ModelShare.first);
      return (DomainsOfModel[ModelShare.first] +
              (SameModel == ModelsInZone.end() ? 0.0 : SameModel->second)) /
             ModelShare.second;
    };
    const auto LeastSupplied =
        std::min_element(ServerShares.begin(), ServerShares.end(),
                         [&](const auto &Left, const auto &Right) {
                           return RelativeSupply(Left) < RelativeSupply(Right);
                         });
    Assign(Domain, LeastSupplied->first);
  }
  return Result;
}

} // namespace fulmarwinch
