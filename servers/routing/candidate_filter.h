#ifndef FULMARWINCH_SERVERS_ROUTING_CANDIDATE_FILTER_H
#define FULMARWINCH_SERVERS_ROUTING_CANDIDATE_FILTER_H

#include "servers/routing/admission_gate.h"
#include "servers/routing/group_view.h"
#include "servers/routing/route_request.h"

#include "core/enum_names.h"

#include <array>
#include <functional>
#include <vector>

namespace fulmarwinch {

/// Why a filter rejected a group as a candidate for a request.
enum class RejectionReason {
  AlreadyTried,
  ContextTooShort,
  AdapterMissing,
  VersionDiffers,
  ViewExpired,
  ZoneOutOfService,
  Draining,
  EjectedForClass,
  TooSlowForDeadline,
  NoSlot,
  AtCapacity,
};

inline constexpr std::array<EnumName<RejectionReason>, 11> RejectionReasonNames{
    {
        {RejectionReason::AlreadyTried, "already_tried"},
        {RejectionReason::ContextTooShort, "context_too_short"},
        {RejectionReason::AdapterMissing, "adapter_missing"},
        {RejectionReason::VersionDiffers, "version_differs"},
        {RejectionReason::ViewExpired, "view_expired"},
        {RejectionReason::ZoneOutOfService, "zone_out_of_service"},
        {RejectionReason::Draining, "leaving"},
        {RejectionReason::EjectedForClass, "fails_this_class"},
        {RejectionReason::TooSlowForDeadline, "too_slow_for_deadline"},
        {RejectionReason::NoSlot, "no_slot"},
        {RejectionReason::AtCapacity, "at_capacity"},
    }};

/// State of this node that filters use besides the group and the request.
struct RouteContext {
  MonotonicTime m_Now{};
  /// Availability zones that are out of service.
  const std::set<std::string> &m_ZonesOutOfService;
  const OutlierTracker &m_Outliers;
  const AdmissionGate &m_Gate;
  /// Also accepts groups that are ejected for the class of the request.
  bool m_IgnoreOutliers = false;
};

/// Returns why a candidate is rejected, or nothing if it passes. A filter may
/// also set fields of the candidate that later filters and the selection
/// strategy use.
using CandidateFilter = std::function<std::optional<RejectionReason>(
    Candidate &, const RouteRequest &, const RouteContext &)>;

/// Returns the filters that Router applies, in the order in which they run.
std::vector<CandidateFilter> standardFilters();

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_CANDIDATE_FILTER_H
