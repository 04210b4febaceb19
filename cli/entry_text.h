#ifndef FULMARWINCH_CLI_ENTRY_TEXT_H
#define FULMARWINCH_CLI_ENTRY_TEXT_H

#include "core/json.h"

#include <optional>
#include <string>
#include <utility>

namespace fulmarwinch {

/// Returns the rows of a configuration response whose entry has \p Kind; all
/// rows if it is empty.
Json entriesOfKind(const Json &Configuration, const std::string &Kind);
/// Returns \p Rows as a table.
std::string entryTable(const Json &Rows);

/// Returns the one row that \p Kind and \p Name select, or null.
Json findEntry(const Json &Configuration, const std::string &Kind,
               const std::string &Name);
/// Returns the one group or node that \p Kind and \p Name select, or null.
Json findStatusItem(const Json &Status, const std::string &Kind,
                    const std::string &Name);
/// Returns one line for each key, nested values as JSON.
std::string objectText(const Json &Object);

/// True for a kind of configuration entries.
bool isEntryKind(const std::string &Kind);
/// True for a kind of the status: "group" or "node".
bool isStatusKind(const std::string &Kind);
/// Splits "KIND/NAME".
std::optional<std::pair<std::string, std::string>>
splitEntry(const std::string &Text);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_ENTRY_TEXT_H
