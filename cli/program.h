#ifndef FULMARWINCH_CLI_PROGRAM_H
#define FULMARWINCH_CLI_PROGRAM_H

#include "cli/command_runner.h"

#include <string>
#include <vector>

namespace fulmarwinch {

/// Runs the operators' command-line program and returns its exit code.
/// \p Arguments excludes the program's name.
ExitCode runProgram(const std::vector<std::string> &Arguments,
                    const EnvironmentReader &Environment, const CommandIo &Io);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_PROGRAM_H
