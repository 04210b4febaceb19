#ifndef FULMARWINCH_DRIVERS_STANDIN_TOKEN_TEXT_H
#define FULMARWINCH_DRIVERS_STANDIN_TOKEN_TEXT_H

#include "core/json.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace fulmarwinch {

/// Returns the prompt of a completion request, or the contents of the messages
/// of a chat request, one line each.
std::string promptOf(const Json &Body);

/// Returns token \p Index of the engine stand-in's answer to \p Prompt. It
/// depends on nothing else, so that clients can check an answer that several
/// engines produced in parts.
std::string tokenText(std::string_view Prompt, std::size_t Index);

/// Returns the tokens from \p First up to, not including, \p End.
std::string expectedText(std::string_view Prompt, std::size_t First,
                         std::size_t End);

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_TOKEN_TEXT_H
