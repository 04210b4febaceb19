#ifndef FULMARWINCH_CLI_TERMINAL_TEXT_H
#define FULMARWINCH_CLI_TERMINAL_TEXT_H

#include <string>
#include <string_view>

namespace fulmarwinch {

/// Replaces ASCII control bytes by '?'. Texts from the server may contain bytes
/// of an untrusted caller, which must not reach the operator's terminal as
/// escape sequences.
std::string replaceControlBytes(std::string_view Text);

/// Returns the width of a UTF-8 text in terminal cells, counting one cell per
/// code point.
std::size_t displayWidth(std::string_view Text);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_TERMINAL_TEXT_H
