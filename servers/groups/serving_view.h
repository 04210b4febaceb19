#ifndef FULMARWINCH_SERVERS_GROUPS_SERVING_VIEW_H
#define FULMARWINCH_SERVERS_GROUPS_SERVING_VIEW_H

#include "servers/groups/assignment.h"
#include "servers/groups/engine_messages.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// A report with its age at the monitor, counted from before the poll.
struct AgedReport {
  EngineReport m_Report;
  Duration m_Age{};
};

/// What a monitor tells routers about one group.
struct ServingView {
  std::string m_Group;
  std::uint64_t m_Generation = 0;
  bool m_Serving = false;
  /// First member; it receives the requests.
  std::string m_Head;
  /// Why the group does not serve; empty if it does.
  std::string m_Reason;
};

/// A member whose last report is older than this counts as missing.
inline constexpr Duration ServingReportAge = std::chrono::seconds(1);

/// Computes the view of the group \p Id. It serves only if every member's
/// engine has reported ready for this group and generation recently. No lease
/// is needed.
ServingView computeServingView(const std::string &Id, const GroupEntry &Group,
                               const std::map<std::string, AgedReport> &Reports,
                               Duration MaxAge = ServingReportAge);

/// True if \p Report says that the engine is ready for this group.
bool isReadyFor(const EngineReport &Report, const std::string &Id,
                const GroupEntry &Group);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_SERVING_VIEW_H
