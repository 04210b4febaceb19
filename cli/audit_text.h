#ifndef FULMARWINCH_CLI_AUDIT_TEXT_H
#define FULMARWINCH_CLI_AUDIT_TEXT_H

#include "core/json.h"
#include "core/time.h"

#include <string>

namespace fulmarwinch {

/// Returns \p Time in UTC as YYYY-MM-DDThh:mm:ssZ.
std::string timeText(UnixSeconds Time);

/// Returns the audit records in order of time. Records of the same second
/// keep their order, since one node wrote them one after another.
Json sortedByTime(const Json &Records);
std::string auditTable(const Json &Records);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_AUDIT_TEXT_H
