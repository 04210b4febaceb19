#ifndef FULMARWINCH_CLI_CLI_ERROR_H
#define FULMARWINCH_CLI_CLI_ERROR_H

#include "cli/exit_code.h"
#include "core/json.h"

#include <string>

namespace fulmarwinch {

/// Error that a failed command reports to the operator.
struct CliError {
  ExitCode m_Code = ExitCode::Failed;
  /// Error kind as in the operator API, or the name of the exit code.
  std::string m_Type;
  std::string m_Message;
  /// What the operator can do about the error; may be empty.
  std::string m_Remedy;
};

/// Returns an error detected by this program; its type is the name of \p Code.
CliError makeCliError(ExitCode Code, std::string Message, std::string Remedy);

/// Parses the error JSON of a response. For any other body, such as the HTML
/// page of a proxy, the returned error contains the HTTP status instead.
CliError parseErrorBody(int HttpStatus, const std::string &Body);

/// Formats type, message and remedy as lines for the terminal.
std::string toText(const CliError &Error);
/// Returns the error in the JSON form that the operator API uses.
Json toJson(const CliError &Error);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_CLI_ERROR_H
