#include "servers/routing/router.h"

#include "core/error.h"
#include "core/rendezvous.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {
/// A time per token up to this multiple of the median is usual variation.
constexpr double StragglerFactor = 1.5;
/// A straggler keeps some work, so that its recovery is noticed.
constexpr double SmallestWeight = 0.05;
/// With fewer peers the median says nothing.
constexpr std::size_t FewestPeers = 3;
/// Marks refusals for reasons that lie in the request.
constexpr const char *RequestReasonUrl = "fulmarwinch/depends_on_request";
} // namespace

namespace {
/// Groups that were removed because they have no room.
std::size_t fullGroups(const std::array<std::size_t, 11> &Removed) {
  return Removed[static_cast<std::size_t>(RemovalReason::AtCapacity)] +
         Removed[static_cast<std::size_t>(RemovalReason::NoSlot)];
}
} // namespace

Router::Router(RoutingTable &Table, OutlierTracker &Outliers,
               AdmissionGate &Gate, std::unique_ptr<SelectionStrategy> Strategy)
    : m_Table(Table), m_Outliers(Outliers), m_Gate(Gate),
      m_Strategy(std::move(Strategy)), m_Filters(standardFilters()) {}

absl::StatusOr<RouteDecision>
Router::route(const RouteRequest &Request,
              const std::set<std::string> &ZonesOut, MonotonicTime Now,
              std::mt19937_64 &Random) {
  ReasonCounts Removed{};
  RouteContext Context{Now, ZonesOut, m_Outliers, m_Gate};
  std::vector<Candidate> Groups = filter(Request, Context, Removed);
  // If most groups fail the class, the cause is in the requests. Faulty
  // requests of one client must not take the class from all others.
  const auto Failing = static_cast<std::size_t>(RemovalReason::FailsThisClass);
  if (Removed[Failing] > Groups.size() + fullGroups(Removed)) {
    Removed = {};
    Context.m_IgnoreOutliers = true;
    Groups = filter(Request, Context, Removed);
  }
  weighStragglers(Groups);
  while (!Groups.empty()) {
    const std::size_t Index = m_Strategy->select(Groups, Request, Random);
    const Candidate &Chosen = Groups[Index];
    // Another thread may have taken the last place since the filter ran.
    if (m_Gate.tryAdmit(Chosen, Now)) {
      m_Outliers.onDispatch(Chosen.m_View->m_Group, Request.m_Class, Now);
      return RouteDecision{Chosen.m_View, !Chosen.m_View->m_Warm};
    }
    const RemovalReason Reason = Chosen.m_View->m_Warm
                                     ? RemovalReason::AtCapacity
                                     : RemovalReason::NoSlot;
    ++Removed[static_cast<std::size_t>(Reason)];
    Groups.erase(Groups.begin() + static_cast<long>(Index));
  }
  return refuse(Request, Removed);
}

std::vector<Candidate> Router::filter(const RouteRequest &Request,
                                      const RouteContext &Context,
                                      ReasonCounts &Removed) const {
  std::vector<Candidate> Groups = m_Table.candidates(Request.m_Deployment);
  const auto IsRemoved = [&](Candidate &Group) {
    for (const CandidateFilter &Check : m_Filters) {
      if (const auto Reason = Check(Group, Request, Context)) {
        ++Removed[static_cast<std::size_t>(*Reason)];
        return true;
      }
    }
    return false;
  };
  Groups.erase(std::remove_if(Groups.begin(), Groups.end(), IsRemoved),
               Groups.end());
  return Groups;
}

absl::Status Router::refuse(const RouteRequest &Request,
                            const ReasonCounts &Removed) {
  std::string Reasons;
  for (const EnumName<RemovalReason> &Row : RemovalReasonNames) {
    const std::size_t Count = Removed[static_cast<std::size_t>(Row.m_Value)];
    if (Count > 0)
      Reasons += fmt::format("{}{} {}", Reasons.empty() ? "" : ", ", Count,
                             Row.m_Name);
  }
  if (Reasons.empty())
    return makeError(
        ErrorKind::NoCapacity,
        fmt::format("deployment {} has no group", Request.m_Deployment),
        "check that its groups are formed with 'fulmarwinch status'");
  const std::string Problem =
      fmt::format("no group of deployment {} can take the request ({})",
                  Request.m_Deployment, Reasons);
  absl::Status Refusal = refusalOf(Removed, Problem);
  constexpr std::array RequestReasons{
      RemovalReason::AlreadyTried, RemovalReason::ContextTooShort,
      RemovalReason::AdapterMissing, RemovalReason::VersionDiffers,
      RemovalReason::FailsThisClass};
  for (const RemovalReason Reason : RequestReasons)
    if (Removed[static_cast<std::size_t>(Reason)] > 0)
      Refusal.SetPayload(RequestReasonUrl, absl::Cord());
  return Refusal;
}

absl::Status Router::refusalOf(const ReasonCounts &Removed,
                               const std::string &Problem) {
  const auto CountOf = [&](RemovalReason Reason) {
    return Removed[static_cast<std::size_t>(Reason)];
  };
  // A group that is full would have been in time, so the load is the cause.
  if (CountOf(RemovalReason::AtCapacity) + CountOf(RemovalReason::NoSlot) > 0)
    return makeError(ErrorKind::Overloaded, Problem,
                     "the request was not run, send it again later");
  if (CountOf(RemovalReason::TooSlowForDeadline) > 0)
    return makeError(ErrorKind::DeadlineTooShort, Problem,
                     "the request was not run, allow more time");
  return makeError(ErrorKind::NoCapacity, Problem,
                   "the request was not run, check the deployment's groups "
                   "and what the request demands");
}

bool dependsOnRequest(const absl::Status &Refusal) {
  return Refusal.GetPayload(RequestReasonUrl).has_value();
}

void weighStragglers(std::vector<Candidate> &Groups) {
  std::vector<double> Times;
  for (const Candidate &Group : Groups)
    if (Group.m_Times && Group.m_Times->m_PerTokenSeconds > 0)
      Times.push_back(Group.m_Times->m_PerTokenSeconds);
  if (Times.size() < FewestPeers)
    return;
  const auto Middle = Times.begin() + static_cast<long>(Times.size() / 2);
  std::nth_element(Times.begin(), Middle, Times.end());
  const double Median = *Middle;
  for (Candidate &Group : Groups) {
    if (!Group.m_Times)
      continue;
    const double PerToken = Group.m_Times->m_PerTokenSeconds;
    if (PerToken > StragglerFactor * Median)
      Group.m_Weight = std::max(SmallestWeight, Median / PerToken);
  }
}

std::vector<std::string> chooseSubset(const std::string &Node,
                                      const std::vector<std::string> &Groups,
                                      std::size_t Count) {
  std::vector<std::pair<std::uint64_t, std::string>> Order;
  Order.reserve(Groups.size());
  for (const std::string &Group : Groups)
    Order.emplace_back(rendezvousWeight(Node, Group), Group);
  const std::size_t Length = std::min(Count, Order.size());
  std::partial_sort(Order.begin(), Order.begin() + static_cast<long>(Length),
                    Order.end(), std::greater<>());
  std::vector<std::string> Subset;
  for (std::size_t I = 0; I < Length; ++I)
    Subset.push_back(Order[I].second);
  return Subset;
}

} // namespace fulmarwinch
