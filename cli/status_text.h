#ifndef FULMARWINCH_CLI_STATUS_TEXT_H
#define FULMARWINCH_CLI_STATUS_TEXT_H

#include "core/json.h"

#include <string>

namespace fulmarwinch {

/// Returns what is wrong now, then the groups and the nodes as tables.
std::string statusText(const Json &Status);

std::string groupTable(const Json &Status);
std::string nodeTable(const Json &Status);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_STATUS_TEXT_H
