#ifndef FULMARWINCH_CLI_PROGRAM_H
#define FULMARWINCH_CLI_PROGRAM_H

#include "cli/command_runner.h"

#include <string>
#include <vector>

namespace fulmarwinch {

/// Runs the operators' command-line program with the arguments \p Words, the
/// program's name left out, and returns its exit code.
ExitCode runProgram(const std::vector<std::string> &Words,
                    const EnvironmentReader &Environment, const CommandIo &Io);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_PROGRAM_H
