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

/// Inputs of the status report for operators.
struct StatusSources {
  const std::map<std::string, ViewReceiver::ReceivedView> &m_Groups;
  const std::map<std::string, MemberRecord> &m_Nodes;
  const ConfigurationView &m_Configuration;
  Freshness m_Freshness = Freshness::Fresh;
  MonotonicTime m_Now{};
};

/// Returns the existing groups as a JSON array. Disbanded groups are excluded,
/// although their views are stored for some minutes.
Json statusGroups(const StatusSources &Sources);

/// Returns the current problems as texts for operators.
Json statusProblems(const StatusSources &Sources);

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_STATUS_REPORT_H
