#ifndef FULMARWINCH_CLI_COMPLETION_H
#define FULMARWINCH_CLI_COMPLETION_H

#include <string>

namespace fulmarwinch {

/// Returns the bash completion script of `fulmarwinch`.
std::string bashCompletion();

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_COMPLETION_H
