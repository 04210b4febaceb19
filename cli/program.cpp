#include "cli/program.h"

#include "cli/operator_client.h"

#include <ostream>

namespace fulmarwinch {

ExitCode runProgram(const std::vector<std::string> &Words,
                    const EnvironmentReader &Environment, const CommandIo &Io) {
  const ParsedCommandLine Parsed = parseCommandLine(Words, Environment);
  if (Parsed.m_Error) {
    printError(Io.m_Error, *Parsed.m_Error, false);
    return Parsed.m_Error->m_Code;
  }
  if (!Parsed.m_Line) {
    Io.m_Out << Parsed.m_Help;
    return ExitCode::Done;
  }
  OperatorClient Client(Parsed.m_Line->m_Server, Parsed.m_Line->m_Key);
  return CommandRunner(Io, Client, *Parsed.m_Line).run();
}

} // namespace fulmarwinch
