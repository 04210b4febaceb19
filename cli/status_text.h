#ifndef FULMARWINCH_CLI_STATUS_TEXT_H
#define FULMARWINCH_CLI_STATUS_TEXT_H

#include "core/json.h"

#include <string>

namespace fulmarwinch {

/// Returns the current problems, then the groups and the nodes as tables.
std::string statusText(const Json &Status);

/// Returns one row per group, or "no groups".
std::string groupTable(const Json &Status);
/// Returns one row per node, or "no nodes".
std::string nodeTable(const Json &Status);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_STATUS_TEXT_H
