#include "servers/routing/candidate_filter.h"

namespace fulmarwinch {

namespace {

using Rejection = std::optional<RejectionReason>;

/// Observed response times older than this are ignored. Otherwise a group that
/// was slow once would be rejected for ever, because it would get no requests
/// that could show its recovery.
constexpr Duration MaxObservationAge = std::chrono::seconds(10);

Rejection checkCapability(Candidate &Group, const RouteRequest &Request,
                          const RouteContext &) {
  const Capability &Supported = Group.m_View->m_Capability;
  if (Request.m_PromptTokens + Request.m_OutputTokens >
      Supported.m_ContextLength)
    return RejectionReason::ContextTooShort;
  if (!Request.m_Adapter.empty() &&
      Supported.m_Adapters.count(Request.m_Adapter) == 0)
    return RejectionReason::AdapterMissing;
  if (!Request.m_Version.empty() && Supported.m_Version != Request.m_Version)
    return RejectionReason::VersionDiffers;
  return std::nullopt;
}

Rejection checkAvailability(Candidate &Group, const RouteRequest &Request,
                            const RouteContext &Context) {
  const GroupView &View = *Group.m_View;
  if (Context.m_Now >= View.m_ViewExpiry)
    return RejectionReason::ViewExpired;
  if (Context.m_ZonesOutOfService.count(View.m_Zone) != 0)
    return RejectionReason::ZoneOutOfService;
  if (View.m_Draining)
    return RejectionReason::Draining;
  if (Request.m_ExcludedGroups.count(View.m_Group) != 0)
    return RejectionReason::AlreadyTried;
  return std::nullopt;
}

Rejection checkOutlier(Candidate &Group, const RouteRequest &Request,
                       const RouteContext &Context) {
  const OutlierState State = Context.m_Outliers.state(
      Group.m_View->m_Group, Request.m_Class, Context.m_Now);
  Group.m_FailureLoad = State.m_FailureLoad;
  if (State.m_Ejected && !Context.m_IgnoreOutliers)
    return RejectionReason::EjectedForClass;
  return std::nullopt;
}

Rejection checkDeadline(Candidate &Group, const RouteRequest &Request,
                        const RouteContext &Context) {
  if (Group.m_ObservedTimes &&
      Context.m_Now - Group.m_ObservedTimes->m_ObservedAt > MaxObservationAge)
    Group.m_ObservedTimes.reset();
  if (!Request.m_Deadline)
    return std::nullopt;
  if (*Request.m_Deadline <= Context.m_Now)
    return RejectionReason::TooSlowForDeadline;
  if (!Group.m_ObservedTimes)
    return std::nullopt;
  const std::chrono::duration<double> RemainingTime =
      *Request.m_Deadline - Context.m_Now;
  const double ExpectedSeconds =
      Group.m_ObservedTimes->m_FirstTokenSeconds +
      Group.m_ObservedTimes->m_PerTokenSeconds *
          static_cast<double>(Request.m_OutputTokens);
  if (ExpectedSeconds > RemainingTime.count())
    return RejectionReason::TooSlowForDeadline;
  return std::nullopt;
}

Rejection checkAdmission(Candidate &Group, const RouteRequest &,
                         const RouteContext &Context) {
  if (Context.m_Gate.canAdmit(Group, Context.m_Now))
    return std::nullopt;
  return Group.m_View->m_Warm ? RejectionReason::AtCapacity
                              : RejectionReason::NoSlot;
}

} // namespace

std::vector<CandidateFilter> standardFilters() {
  return {checkCapability, checkAvailability, checkOutlier, checkDeadline,
          checkAdmission};
}

} // namespace fulmarwinch
