#ifndef FULMARWINCH_CORE_HASH_H
#define FULMARWINCH_CORE_HASH_H

#include <string>
#include <string_view>

namespace fulmarwinch {

/// Returns the SHA-256 of \p Text in lower-case hexadecimal.
std::string sha256Hex(std::string_view Text);

/// Compares two texts of equal length in a time that does not depend on their
/// content.
bool equalConstantTime(std::string_view Left, std::string_view Right);

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_HASH_H
