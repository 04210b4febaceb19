#ifndef FULMARWINCH_CLI_COMPLETION_H
#define FULMARWINCH_CLI_COMPLETION_H

#include <string>

namespace fulmarwinch {

/// Returns the completion script for bash.
std::string bashCompletion();

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_COMPLETION_H
