#ifndef FULMARWINCH_CLI_PRINTABLE_H
#define FULMARWINCH_CLI_PRINTABLE_H

#include <string>
#include <string_view>

namespace fulmarwinch {

/// Replaces control bytes by '?'. Texts from the server may hold a caller's
/// bytes, which must not send escape sequences to the operator's terminal.
std::string printable(std::string_view Text);

/// Returns the number of character cells of UTF-8 text, counting one per code
/// point.
std::size_t displayWidth(std::string_view Text);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_PRINTABLE_H
