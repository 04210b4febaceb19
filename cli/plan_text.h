#ifndef FULMARWINCH_CLI_PLAN_TEXT_H
#define FULMARWINCH_CLI_PLAN_TEXT_H

#include "core/json.h"

#include <string>

namespace fulmarwinch {

/// Returns the changes of a plan, one line each: `+` for an added entry or key,
/// `-` for a removed one, `~` for a changed one.
std::string differenceText(const Json &Plan);

/// Returns the changes, the expected effects and the warnings of a plan,
/// without the command that confirms it.
std::string planText(const Json &Plan);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_PLAN_TEXT_H
