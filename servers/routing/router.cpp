#include "servers/routing/router.h"

#include "core/error.h"
#include "core/rendezvous.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {
/// A group is a straggler if its time per token exceeds this multiple of the
/// median. Smaller differences are normal variation.
constexpr double StragglerThreshold = 1.5;
/// A straggler still gets some requests, so that its recovery is noticed.
constexpr double MinStragglerWeight = 0.05;
/// Fewer groups with observed times than this give no meaningful median.
constexpr std::size_t MinObservedGroups = 3;
/// Payload key of refusals that depend on the request, not only on the load.
constexpr const char *DependsOnRequestUrl = "fulmarwinch/depends_on_request";
} // namespace

namespace {
/// Returns how many groups were rejected for lack of capacity or slots.
std::size_t countFullGroups(const std::array<std::size_t, 11> &Rejected) {
  return Rejected[static_cast<std::size_t>(RejectionReason::AtCapacity)] +
         Rejected[static_cast<std::size_t>(RejectionReason::NoSlot)];
}
} // namespace

Router::Router(RoutingTable &Table, OutlierTracker &Outliers,
               AdmissionGate &Gate, std::unique_ptr<SelectionStrategy> Strategy)
    : m_Table(Table), m_Outliers(Outliers), m_Gate(Gate),
      m_Strategy(std::move(Strategy)), m_Filters(standardFilters()) {}

absl::StatusOr<RouteDecision>
Router::route(const RouteRequest &Request,
              const std::set<std::string> &ZonesOutOfService, MonotonicTime Now,
              std::mt19937_64 &Random) {
  RejectionCounts Rejected{};
  RouteContext Context{Now, ZonesOutOfService, m_Outliers, m_Gate};
  std::vector<Candidate> Groups = filter(Request, Context, Rejected);
  // If most groups are ejected for this class, the failures are attributed to
  // the requests, not to the groups. The faulty requests of one client must not
  // block the class for all others, so ejections are ignored.
  const auto FailsClassIndex =
      static_cast<std::size_t>(RejectionReason::EjectedForClass);
  if (Rejected[FailsClassIndex] > Groups.size() + countFullGroups(Rejected)) {
    Rejected = {};
    Context.m_IgnoreOutliers = true;
    Groups = filter(Request, Context, Rejected);
  }
  lowerStragglerWeights(Groups);
  while (!Groups.empty()) {
    const std::size_t Index = m_Strategy->select(Groups, Request, Random);
    const Candidate &Chosen = Groups[Index];
    // Another thread may have used up the capacity since the filters ran.
    if (m_Gate.tryAdmit(Chosen, Now)) {
      m_Outliers.onDispatch(Chosen.m_View->m_Group, Request.m_Class, Now);
      return RouteDecision{Chosen.m_View, !Chosen.m_View->m_Warm};
    }
    const RejectionReason Reason = Chosen.m_View->m_Warm
                                       ? RejectionReason::AtCapacity
                                       : RejectionReason::NoSlot;
    ++Rejected[static_cast<std::size_t>(Reason)];
    Groups.erase(Groups.begin() + static_cast<long>(Index));
  }
  return refusalFor(Request, Rejected);
}

std::vector<Candidate> Router::filter(const RouteRequest &Request,
                                      const RouteContext &Context,
                                      RejectionCounts &Rejected) const {
  std::vector<Candidate> Groups = m_Table.candidates(Request.m_Deployment);
  const auto IsRemoved = [&](Candidate &Group) {
    for (const CandidateFilter &Filter : m_Filters) {
      if (const auto Reason = Filter(Group, Request, Context)) {
        ++Rejected[static_cast<std::size_t>(*Reason)];
        return true;
      }
    }
    return false;
  };
  Groups.erase(std::remove_if(Groups.begin(), Groups.end(), IsRemoved),
               Groups.end());
  return Groups;
}

absl::Status Router::refusalFor(const RouteRequest &Request,
                                const RejectionCounts &Rejected) {
  std::string Reasons;
  for (const EnumName<RejectionReason> &Entry : RejectionReasonNames) {
    const std::size_t Count = Rejected[static_cast<std::size_t>(Entry.m_Value)];
    if (Count > 0)
      Reasons += fmt::format("{}{} {}", Reasons.empty() ? "" : ", ", Count,
                             Entry.m_Name);
  }
  if (Reasons.empty())
    return makeError(
        ErrorKind::NoCapacity,
        fmt::format("deployment {} has no group", Request.m_Deployment),
        "check that its groups are formed with 'fulmarwinch status'");
  const std::string Problem =
      fmt::format("no group of deployment {} can serve the request ({})",
                  Request.m_Deployment, Reasons);
  absl::Status Refusal = refusalStatus(Rejected, Problem);
  constexpr std::array RequestDependentReasons{
      RejectionReason::AlreadyTried, RejectionReason::ContextTooShort,
      RejectionReason::AdapterMissing, RejectionReason::VersionDiffers,
      RejectionReason::EjectedForClass};
  for (const RejectionReason Reason : RequestDependentReasons)
    if (Rejected[static_cast<std::size_t>(Reason)] > 0)
      Refusal.SetPayload(DependsOnRequestUrl, absl::Cord());
  return Refusal;
}

absl::Status Router::refusalStatus(const RejectionCounts &Rejected,
                                   const std::string &Problem) {
  const auto RejectedFor = [&](RejectionReason Reason) {
    return Rejected[static_cast<std::size_t>(Reason)];
  };
  // A group that was rejected as full had passed the deadline check before, so
  // the refusal is due to the load.
  if (RejectedFor(RejectionReason::AtCapacity) +
          RejectedFor(RejectionReason::NoSlot) >
      0)
    return makeError(ErrorKind::Overloaded, Problem,
                     "the request was not run, send it again later");
  if (RejectedFor(RejectionReason::TooSlowForDeadline) > 0)
    return makeError(ErrorKind::DeadlineTooShort, Problem,
                     "the request was not run, allow more time");
  return makeError(ErrorKind::NoCapacity, Problem,
                   "the request was not run, check the deployment's groups "
                   "and the length, adapter and version of the request");
}

bool dependsOnRequest(const absl::Status &Refusal) {
  return Refusal.GetPayload(DependsOnRequestUrl).has_value();
}

void lowerStragglerWeights(std::vector<Candidate> &Groups) {
  std::vector<double> PerTokenSeconds;
  for (const Candidate &Group : Groups)
    if (Group.m_ObservedTimes && Group.m_ObservedTimes->m_PerTokenSeconds > 0)
      PerTokenSeconds.push_back(Group.m_ObservedTimes->m_PerTokenSeconds);
  if (PerTokenSeconds.size() < MinObservedGroups)
    return;
  const auto Middle =
      PerTokenSeconds.begin() + static_cast<long>(PerTokenSeconds.size() / 2);
  std::nth_element(PerTokenSeconds.begin(), Middle, PerTokenSeconds.end());
  const double Median = *Middle;
  for (Candidate &Group : Groups) {
    if (!Group.m_ObservedTimes)
      continue;
    const double GroupPerTokenSeconds =
        Group.m_ObservedTimes->m_PerTokenSeconds;
    if (GroupPerTokenSeconds > StragglerThreshold * Median)
      Group.m_CapacityWeight =
          std::max(MinStragglerWeight, Median / GroupPerTokenSeconds);
  }
}

std::vector<std::string>
chooseGroupSubset(const std::string &Node,
                  const std::vector<std::string> &Groups, std::size_t Count) {
  std::vector<std::pair<std::uint64_t, std::string>> RankedGroups;
  RankedGroups.reserve(Groups.size());
  for (const std::string &Group : Groups)
    RankedGroups.emplace_back(rendezvousWeight(Node, Group), Group);
  const std::size_t SubsetSize = std::min(Count, RankedGroups.size());
  std::partial_sort(RankedGroups.begin(),
                    RankedGroups.begin() + static_cast<long>(SubsetSize),
                    RankedGroups.end(), std::greater<>());
  std::vector<std::string> Subset;
  for (std::size_t I = 0; I < SubsetSize; ++I)
    Subset.push_back(RankedGroups[I].second);
  return Subset;
}

} // namespace fulmarwinch
