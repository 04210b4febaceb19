#ifndef FULMARWINCH_CLI_PLAN_TEXT_H
#define FULMARWINCH_CLI_PLAN_TEXT_H

#include "core/json.h"

#include <string>

namespace fulmarwinch {

/// Returns the difference of a plan: `+` for an entry or a key that is added,
/// `-` for one that is removed, `~` for one that is changed.
std::string differenceText(const Json &Plan);

/// Returns the difference, the effects and the warnings of a plan. The
/// command to confirm it is not part of the text.
std::string planText(const Json &Plan);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_PLAN_TEXT_H
