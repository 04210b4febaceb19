#ifndef FULMARWINCH_SERVERS_GROUPS_SERVING_VIEW_H
#define FULMARWINCH_SERVERS_GROUPS_SERVING_VIEW_H

#include "servers/groups/assignment.h"
#include "servers/groups/engine_messages.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// An engine report with its age at the monitor, measured from just before the
/// poll was sent.
struct AgedReport {
  EngineReport m_Report;
  Duration m_Age{};
};

/// Serving state of one group, which a monitor publishes to the routers.
struct ServingView {
  std::string m_Group;
  std::uint64_t m_Generation = 0;
  bool m_Serving = false;
  /// VM name of the member with rank 0, which receives the requests; empty if
  /// the group is draining or disbanded.
  std::string m_Head;
  /// Reason why the group does not serve; empty if it serves.
  std::string m_Reason;
};

/// A member whose last engine report is older than this counts as missing.
inline constexpr Duration ServingReportAge = std::chrono::seconds(1);

/// Computes the serving state of the group \p Id. The group serves only if the
/// engine of every member has reported ready for this group and generation
/// within \p MaxAge. A monitor needs no lease to compute it.
ServingView computeServingView(const std::string &Id, const GroupEntry &Group,
                               const std::map<std::string, AgedReport> &Reports,
                               Duration MaxAge = ServingReportAge);

/// True if the engine is ready for this group and its generation according to
/// \p Report.
bool isReadyFor(const EngineReport &Report, const std::string &Id,
                const GroupEntry &Group);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_SERVING_VIEW_H
