#ifndef FULMARWINCH_NODE_STATUS_REPORT_H
#define FULMARWINCH_NODE_STATUS_REPORT_H

#include "core/json.h"
#include "node/view_receiver.h"
#include "servers/configuration/configuration_view.h"
#include "servers/configuration/freshness_tracker.h"
#include "servers/membership/member_record.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// What the operators' status is made from.
struct StatusSources {
  const std::map<std::string, ViewReceiver::Known> &m_Groups;
  const std::map<std::string, MemberRecord> &m_Nodes;
  const ConfigurationView &m_Configuration;
  Freshness m_Freshness = Freshness::Fresh;
  MonotonicTime m_Now{};
};

/// Returns the groups that exist. A disbanded group stays in the table of
/// views for minutes, but is neither a group nor a problem.
Json statusGroups(const StatusSources &Sources);

/// Returns what is wrong now as texts for people.
Json statusProblems(const StatusSources &Sources);

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_STATUS_REPORT_H
