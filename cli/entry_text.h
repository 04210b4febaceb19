#ifndef FULMARWINCH_CLI_ENTRY_TEXT_H
#define FULMARWINCH_CLI_ENTRY_TEXT_H

#include "core/json.h"

#include <optional>
#include <string>
#include <utility>

namespace fulmarwinch {

/// Returns the entries of kind \p Kind in a configuration response, each with
/// its last change; all entries if \p Kind is empty.
Json entriesOfKind(const Json &Configuration, const std::string &Kind);
/// Formats \p Entries as a table, or "no entries".
std::string entryTable(const Json &Entries);

/// Returns the entry with \p Kind and \p Name and its last change, or null.
Json findEntry(const Json &Configuration, const std::string &Kind,
               const std::string &Name);
/// Returns the group or node called \p Name from a status response, or null.
Json findStatusItem(const Json &Status, const std::string &Kind,
                    const std::string &Name);
/// Returns one "key: value" line for each key, nested values as JSON.
std::string keyValueLines(const Json &Object);

/// Returns true if \p Kind is a kind of configuration entry.
bool isEntryKind(const std::string &Kind);
/// Returns true if the status response lists \p Kind: "group" or "node".
bool isStatusKind(const std::string &Kind);
/// Splits "KIND/NAME"; returns nothing if either part is empty.
std::optional<std::pair<std::string, std::string>>
splitEntryName(const std::string &Text);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_ENTRY_TEXT_H
