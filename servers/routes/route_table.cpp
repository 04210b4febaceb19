#include "servers/routes/route_table.h"
#include "core/text.h"

#include <algorithm>
#include <map>
#include <set>

namespace fulmarwinch {

namespace {

template <typename ItemType>
const ItemType *
lookUp(const absl::flat_hash_map<std::string, std::size_t> &Index,
       const std::vector<ItemType> &Items, std::string_view Key) {
  const auto Found = Index.find(toAbslView(Key));
  return Found == Index.end() ? nullptr : &Items[Found->second];
}

} // namespace

RouteTable::RouteTable(TrafficConfiguration Configuration)
    : m_Configuration(std::move(Configuration)) {
  const TrafficConfiguration &Content = m_Configuration;
  for (std::size_t I = 0; I < Content.m_Routes.size(); ++I) {
    const Route &Entry = Content.m_Routes[I];
    m_Routes[concat(toLower(Entry.m_Host), Entry.m_PathPrefix)] = I;
  }
  for (std::size_t I = 0; I < Content.m_Services.size(); ++I)
    m_Services[Content.m_Services[I].m_Name] = I;
  for (std::size_t I = 0; I < Content.m_Organisations.size(); ++I)
    for (const std::string &Key : Content.m_Organisations[I].m_ApiKeys)
      m_OrganisationByApiKey[Key] = I;
  // An organisation may send requests to any service.
  std::map<std::string, std::set<unsigned>> PrioritiesByService;
  for (const Route &Entry : Content.m_Routes)
    for (const ServiceWeight &Weighted : Entry.m_Services) {
      std::set<unsigned> &Priorities = PrioritiesByService[Weighted.m_Service];
      Priorities.insert(requestPriority(Entry, nullptr));
      for (const OrganisationSpec &Organisation : Content.m_Organisations)
        Priorities.insert(requestPriority(Entry, &Organisation));
    }
  for (const auto &[Service, Priorities] : PrioritiesByService)
    if (Priorities.size() > 1)
      m_PrioritisedServices.insert(Service);
}

const Route *RouteTable::findRoute(std::string_view Host,
                                   std::string_view Path) const {
  const std::string_view Name = Host.substr(0, Host.find(':'));
  const std::string_view PathOnly = Path.substr(0, Path.find('?'));
  std::string Key = concat(toLower(Name), PathOnly);
  // Every path prefix ends with a slash, so only the parts of the path that end
  // with a slash can match.
  for (std::size_t Slash = Key.rfind('/');
       Slash != std::string::npos && Slash >= Name.size();
       Slash = Key.rfind('/')) {
    Key.resize(Slash + 1);
    if (const Route *Found = lookUp(m_Routes, m_Configuration.m_Routes, Key))
      return Found;
    Key.resize(Slash);
  }
  return nullptr;
}

const ServiceSpec *RouteTable::findService(std::string_view Name) const {
  return lookUp(m_Services, m_Configuration.m_Services, Name);
}

const OrganisationSpec *
RouteTable::findOrganisation(std::string_view Key) const {
  return lookUp(m_OrganisationByApiKey, m_Configuration.m_Organisations, Key);
}

unsigned requestPriority(const Route &MatchedRoute,
                         const OrganisationSpec *Organisation) {
  constexpr unsigned LowestPriority = 9;
  const unsigned Priority =
      Organisation && Organisation->m_Priority >= 0
          ? static_cast<unsigned>(Organisation->m_Priority)
          : MatchedRoute.m_Priority;
  return std::min(Priority, LowestPriority);
}

const std::string &chooseService(const Route &MatchedRoute, double Draw) {
  unsigned TotalWeight = 0;
  for (const ServiceWeight &Weighted : MatchedRoute.m_Services)
    TotalWeight += Weighted.m_Weight;
  double Remaining = Draw * TotalWeight;
  for (const ServiceWeight &Weighted : MatchedRoute.m_Services) {
    Remaining -= Weighted.m_Weight;
    if (Remaining < 0)
      return Weighted.m_Service;
  }
  return MatchedRoute.m_Services.back().m_Service;
}

} // namespace fulmarwinch
