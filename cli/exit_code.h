#ifndef FULMARWINCH_CLI_EXIT_CODE_H
#define FULMARWINCH_CLI_EXIT_CODE_H

#include "core/enum_names.h"

#include <array>

namespace fulmarwinch {

/// Exit codes of the command-line program. Operators' scripts depend on the
/// numbers.
enum class ExitCode {
  Done = 0,
  /// Refused by the server, declined by the operator, or failed.
  Failed = 1,
  Usage = 2,
  Conflict = 3,
  /// No complete response; the request may have been carried out.
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
