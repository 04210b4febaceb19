#include "cli/program.h"

#include "cli/http_operator_api_client.h"

#include <ostream>

namespace fulmarwinch {

ExitCode runProgram(const std::vector<std::string> &Arguments,
                    const EnvironmentReader &Environment, const CommandIo &Io) {
  const ParsedCommandLine Parsed = parseCommandLine(Arguments, Environment);
  if (Parsed.m_Error) {
    printError(Io.m_ErrorOutput, *Parsed.m_Error, false);
    return Parsed.m_Error->m_Code;
  }
  if (!Parsed.m_CommandLine) {
    Io.m_Output << Parsed.m_InfoText;
    return ExitCode::Done;
  }
  HttpOperatorApiClient Client(Parsed.m_CommandLine->m_ServerUrl,
                               Parsed.m_CommandLine->m_OperatorKey);
  return CommandRunner(Io, Client, *Parsed.m_CommandLine).run();
}

} // namespace fulmarwinch
