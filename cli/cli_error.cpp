#include "cli/cli_error.h"

#include "cli/terminal_text.h"
#include "core/error.h"

#include "fmt/format.h"

namespace fulmarwinch {

CliError makeCliError(ExitCode Code, std::string Message, std::string Remedy) {
  return {Code, std::string(nameOf(ExitCodeNames, Code)), std::move(Message),
          std::move(Remedy)};
}

CliError parseErrorBody(int HttpStatus, const std::string &Body) {
  const absl::StatusOr<Json> ParsedBody = parseJson(Body, "the response");
  const Json ErrorObject =
      ParsedBody.ok() ? fieldOr(*ParsedBody, "error", Json()) : Json();
  CliError Error;
  Error.m_Type = fieldOr<std::string>(ErrorObject, "type", "");
  Error.m_Message = fieldOr<std::string>(ErrorObject, "message", "");
  Error.m_Remedy = fieldOr<std::string>(ErrorObject, "remedy", "");
  if (Error.m_Type.empty())
    return makeCliError(
        ExitCode::Failed,
        fmt::format(
            "the server returned HTTP status {} without an error object",
            HttpStatus),
        "check that --server names the operator endpoint of a node");
  if (valueOf(ErrorKindNames, Error.m_Type) == ErrorKind::Conflict)
    Error.m_Code = ExitCode::Conflict;
  return Error;
}

std::string toText(const CliError &Error) {
  std::string Text =
      fmt::format("error: {}: {}\n", replaceControlBytes(Error.m_Type),
                  replaceControlBytes(Error.m_Message));
  if (!Error.m_Remedy.empty())
    Text += fmt::format("remedy: {}\n", replaceControlBytes(Error.m_Remedy));
  return Text;
}

Json toJson(const CliError &Error) {
  return {{"error",
           {{"type", Error.m_Type},
            {"message", Error.m_Message},
            {"remedy", Error.m_Remedy}}}};
}

} // namespace fulmarwinch
