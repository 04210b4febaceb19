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

/// Why a group was removed from the candidates of a request.
enum class RemovalReason {
  AlreadyTried,
  ContextTooShort,
  AdapterMissing,
  VersionDiffers,
  ViewExpired,
  ZoneOutOfService,
  Leaving,
  FailsThisClass,
  TooSlowForDeadline,
  NoSlot,
  AtCapacity,
};

inline constexpr std::array<EnumName<RemovalReason>, 11> RemovalReasonNames{{
    {RemovalReason::AlreadyTried, "already_tried"},
    {RemovalReason::ContextTooShort, "context_too_short"},
    {RemovalReason::AdapterMissing, "adapter_missing"},
    {RemovalReason::VersionDiffers, "version_differs"},
    {RemovalReason::ViewExpired, "view_expired"},
    {RemovalReason::ZoneOutOfService, "zone_out_of_service"},
    {RemovalReason::Leaving, "leaving"},
    {RemovalReason::FailsThisClass, "fails_this_class"},
    {RemovalReason::TooSlowForDeadline, "too_slow_for_deadline"},
    {RemovalReason::NoSlot, "no_slot"},
    {RemovalReason::AtCapacity, "at_capacity"},
}};

/// What filters look at besides the group and the request.
struct RouteContext {
  MonotonicTime m_Now{};
  /// Availability zones that are out of service.
  const std::set<std::string> &m_ZonesOut;
  const OutlierTracker &m_Outliers;
  const AdmissionGate &m_Gate;
  /// Uses groups that fail the class all the same.
  bool m_IgnoreOutliers = false;
};

/// One step of the pipeline. A filter may fill in figures of the candidate
/// that later steps use.
using CandidateFilter = std::function<std::optional<RemovalReason>(
    Candidate &, const RouteRequest &, const RouteContext &)>;

/// The filters of the request path, in the order in which they run.
std::vector<CandidateFilter> standardFilters();

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_CANDIDATE_FILTER_H
