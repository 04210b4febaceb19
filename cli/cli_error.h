#ifndef FULMARWINCH_CLI_CLI_ERROR_H
#define FULMARWINCH_CLI_CLI_ERROR_H

#include "cli/exit_code.h"
#include "core/json.h"

#include <string>

namespace fulmarwinch {

/// Why a command ended without success.
struct CliError {
  ExitCode m_Code = ExitCode::Failed;
  std::string m_Type;
  std::string m_Message;
  std::string m_Remedy;
};

/// Returns an error of the program itself; its type is the code's name.
CliError makeCliError(ExitCode Code, std::string Message, std::string Remedy);

/// Reads the error JSON of a response. A body that is not one, such as the
/// page of a proxy, is reported with its HTTP status.
CliError parseErrorBody(int HttpStatus, const std::string &Body);

/// Returns type, message and remedy as the lines shown to people.
std::string toText(const CliError &Error);
Json toJson(const CliError &Error);

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_CLI_ERROR_H
