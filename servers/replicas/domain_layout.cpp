#include "servers/replicas/domain_layout.h"

#include <algorithm>
#include <tuple>

namespace fulmarwinch {

namespace {

/// With fewer domains per model the loss of one domain would leave a model
/// without any group.
constexpr std::size_t LeastDomainsPerModel = 2;

/// Model that most of the servers of \p Stock hold, or nothing.
std::string heldModel(const DomainStock &Stock) {
  const auto Most =
      std::max_element(Stock.m_Holding.begin(), Stock.m_Holding.end(),
                       [](const auto &Left, const auto &Right) {
                         return Left.second < Right.second;
                       });
  return Most == Stock.m_Holding.end() ? std::string() : Most->first;
}

/// Domains in the order in which they choose: the first one of each zone, then
/// the second ones.
std::vector<std::string>
choosingOrder(const std::map<std::string, DomainStock> &Domains) {
  std::map<std::string, std::size_t> SeenInZone;
  std::vector<std::tuple<std::size_t, std::string, std::string>> Places;
  for (const auto &[Name, Stock] : Domains)
    Places.emplace_back(SeenInZone[Stock.m_Zone]++, Stock.m_Zone, Name);
  std::sort(Places.begin(), Places.end());
  std::vector<std::string> Order;
  for (auto &[Place, Zone, Name] : Places)
    Order.push_back(std::move(Name));
  return Order;
}

} // namespace

std::map<std::string, std::string>
layOutDomains(const std::map<std::string, DomainStock> &Domains,
              const std::map<std::string, double> &ServerShares,
              bool MoreExpected) {
  std::map<std::string, std::string> Result;
  if (!MoreExpected &&
      Domains.size() < LeastDomainsPerModel * ServerShares.size())
    return Result;
  std::map<std::string, double> Given;
  std::map<std::string, std::map<std::string, double>> GivenInZone;
  const auto Give = [&](const std::string &Domain, const std::string &Model) {
    Result[Domain] = Model;
    Given[Model] += 1.0;
    GivenInZone[Domains.at(Domain).m_Zone][Model] += 1.0;
  };
  std::vector<std::string> Open;
  for (const std::string &Domain : choosingOrder(Domains)) {
    const std::string Held = heldModel(Domains.at(Domain));
    if (ServerShares.count(Held) != 0)
      Give(Domain, Held);
    else
      Open.push_back(Domain);
  }
  for (const std::string &Domain : Open) {
    const auto &InZone = GivenInZone[Domains.at(Domain).m_Zone];
    const auto Surplus = [&](const auto &Share) {
      const auto Same = InZone.find(Share.first);
      return (Given[Share.first] +
              (Same == InZone.end() ? 0.0 : Same->second)) /
             Share.second;
    };
    const auto Least =
        std::min_element(ServerShares.begin(), ServerShares.end(),
                         [&](const auto &Left, const auto &Right) {
                           return Surplus(Left) < Surplus(Right);
                         });
    Give(Domain, Least->first);
  }
  return Result;
}

} // namespace fulmarwinch
