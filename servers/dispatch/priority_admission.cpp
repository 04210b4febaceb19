#include "servers/dispatch/priority_admission.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace fulmarwinch {

namespace {

/// Share of the mean admitted share that each priority keeps.
constexpr double FloorOfMean = 0.5;

/// First attempts and returning clients are divided separately, by the same
/// rules.
struct RequestClass {
  double OfferedWork::*m_Offered;
  double AdmittedShares::*m_Share;
};

constexpr RequestClass FirstAttempts{&OfferedWork::m_FirstAttempts,
                                     &AdmittedShares::m_FirstAttempts};
constexpr RequestClass Returning{&OfferedWork::m_Returning,
                                 &AdmittedShares::m_Returning};

/// Work that each of several equal organisations offers.
struct FairDemand {
  double m_Work = 0.0;
  double m_Organisations = 1.0;
};

/// Returns the amount of work to which each organisation is limited, so that
/// all together get \p Available.
double fairLimit(std::vector<FairDemand> Demands, double Available) {
  std::sort(Demands.begin(), Demands.end(),
            [](const FairDemand &Left, const FairDemand &Right) {
              return Left.m_Work < Right.m_Work;
            });
  double Organisations = 0.0;
  for (const FairDemand &Demand : Demands)
    Organisations += Demand.m_Organisations;
  for (const FairDemand &Demand : Demands) {
    const double Limit = Available / Organisations;
    if (Demand.m_Work >= Limit)
      return Limit;
    Available -= Demand.m_Work * Demand.m_Organisations;
    Organisations -= Demand.m_Organisations;
  }
  return Demands.empty() ? 0.0 : Demands.back().m_Work;
}

void divideByOrganisation(const RequestClass &Class, const WorkRates &Work,
                          unsigned Priority, double Share,
                          PriorityShares &Shares) {
  Shares.m_Others.*Class.m_Share = Share;
  const double Offered = Work.m_OfferedByPriority.at(Priority).*Class.m_Offered;
  std::vector<FairDemand> Demands;
  double Named = 0.0;
  double Smallest = std::numeric_limits<double>::max();
  const auto Begin = Work.m_OfferedByOrganisation.lower_bound({Priority, ""});
  const auto End = Work.m_OfferedByOrganisation.lower_bound({Priority + 1, ""});
  for (auto Entry = Begin; Entry != End; ++Entry) {
    const double Demand = Entry->second.*Class.m_Offered;
    if (Demand <= 0.0)
      continue;
    Demands.push_back({Demand, 1.0});
    Smallest = std::min(Smallest, Demand);
    Named += Demand;
  }
  if (Demands.empty() || Share >= 1.0) {
    for (auto Entry = Begin; Entry != End; ++Entry)
      Shares.m_ByOrganisation[Entry->first.second].*Class.m_Share = Share;
    return;
  }
  // Organisations that no report names are at most as large as the smallest
  // one that is named.
  const double Unnamed = std::max(0.0, Offered - Named);
  if (Unnamed > 0.0)
    Demands.push_back({Smallest, Unnamed / Smallest});
  const double Limit = fairLimit(Demands, Share * Offered);
  const auto ShareOf = [&](double Demand) {
    return Demand <= Limit ? 1.0 : Limit / Demand;
  };
  if (Unnamed > 0.0)
    Shares.m_Others.*Class.m_Share = ShareOf(Smallest);
  for (auto Entry = Begin; Entry != End; ++Entry)
    Shares.m_ByOrganisation[Entry->first.second].*Class.m_Share =
        ShareOf(Entry->second.*Class.m_Offered);
}

void divideClass(const RequestClass &Class, double Mean, const WorkRates &Work,
                 AdmissionShares &Shares) {
  double Offered = 0.0;
  for (const auto &[Priority, Work] : Work.m_OfferedByPriority)
    Offered += Work.*Class.m_Offered;
  double Available = (1.0 - FloorOfMean) * Mean * Offered;
  // The map is ordered by urgency.
  for (const auto &[Priority, Demand] : Work.m_OfferedByPriority) {
    const double Demanded = Demand.*Class.m_Offered;
    double Share = FloorOfMean * Mean;
    if (Mean >= 1.0)
      Share = 1.0;
    else if (Demanded > 0.0) {
      const double Additional =
          std::min((1.0 - Share) * Demanded, std::max(0.0, Available));
      Available -= Additional;
      Share += Additional / Demanded;
    }
    divideByOrganisation(Class, Work, Priority, Share,
                         Shares.m_ByPriority[Priority]);
  }
}

} // namespace

const AdmittedShares &
AdmissionShares::find(unsigned Priority,
                      const std::string &Organisation) const {
  const auto Shares = m_ByPriority.find(Priority);
  if (Shares == m_ByPriority.end())
    return m_Mean;
  const auto Own = Shares->second.m_ByOrganisation.find(Organisation);
  return Own == Shares->second.m_ByOrganisation.end() ? Shares->second.m_Others
                                                      : Own->second;
}

AdmissionShares divideByPriority(const AdmittedShares &Mean,
                                 const WorkRates &Work) {
  AdmissionShares Shares;
  Shares.m_Mean = Mean;
  divideClass(FirstAttempts, Mean.m_FirstAttempts, Work, Shares);
  divideClass(Returning, Mean.m_Returning, Work, Shares);
  return Shares;
}

} // namespace fulmarwinch
