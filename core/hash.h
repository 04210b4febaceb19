#ifndef FULMARWINCH_CORE_HASH_H
#define FULMARWINCH_CORE_HASH_H

#include <string>
#include <string_view>

namespace fulmarwinch {

/// Returns the SHA-256 digest of \p Text in lower-case hexadecimal.
std::string sha256Hex(std::string_view Text);

/// Returns true if the texts are equal. For texts of equal length, the time
/// does not depend on their content, which prevents timing attacks on secrets.
bool equalsInConstantTime(std::string_view Left, std::string_view Right);

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_HASH_H
