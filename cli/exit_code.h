#ifndef FULMARWINCH_CLI_EXIT_CODE_H
#define FULMARWINCH_CLI_EXIT_CODE_H

#include "core/enum_names.h"

#include <array>

namespace fulmarwinch {

/// Exit codes of the command-line program. Operators' scripts depend on the
/// numbers.
enum class ExitCode {
  Done = 0,
  /// The server refused the command, the operator declined the plan, or the
  /// command failed.
  Failed = 1,
  Usage = 2,
  Conflict = 3,
  /// No complete response was received; the server may have carried out the
  /// request.
  NotReachable = 4,
};

inline constexpr std::array<EnumName<ExitCode>, 5> ExitCodeNames{{
    {ExitCode::Done, "done"},
    {ExitCode::Failed, "failed"},
    {ExitCode::Usage, "usage"},
    {ExitCode::Conflict, "conflict"},
    {ExitCode::NotReachable, "not_reachable"},
}};

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_EXIT_CODE_H
