#ifndef FULMARWINCH_CLI_AUDIT_TEXT_H
#define FULMARWINCH_CLI_AUDIT_TEXT_H

#include "core/json.h"
#include "core/time.h"

#include <string>

namespace fulmarwinch {

/// Formats \p Time in UTC as YYYY-MM-DDThh:mm:ssZ.
std::string formatUtcTime(UnixSeconds Time);

/// Returns the audit records sorted by time. The sort is stable, since one node
/// may have written several records within a second.
Json sortedByTime(const Json &Records);
/// Returns the records as a table for the terminal, or "no records".
std::string auditTable(const Json &Records);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_AUDIT_TEXT_H
