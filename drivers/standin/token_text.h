#ifndef FULMARWINCH_DRIVERS_STANDIN_TOKEN_TEXT_H
#define FULMARWINCH_DRIVERS_STANDIN_TOKEN_TEXT_H

#include "core/json.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace fulmarwinch {

/// Returns the prompt of a completion request, or the contents of the messages
/// of a chat request, each followed by a line break.
std::string promptOf(const Json &Body);

/// Returns token \p Index of the engine stand-in's response to \p Prompt. The
/// token depends only on these two, so that clients can verify a response of
/// which several engines generated parts.
std::string tokenText(std::string_view Prompt, std::size_t Index);

/// Returns the concatenated tokens from \p First up to but excluding \p End.
std::string expectedText(std::string_view Prompt, std::size_t First,
                         std::size_t End);

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_TOKEN_TEXT_H
