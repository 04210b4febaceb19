#include "cli/cli_error.h"
#include "cli/command_line.h"

#include "cppunit/extensions/HelperMacros.h"

#include <string>
#include <vector>

namespace fulmarwinch {

namespace {

using ArgumentList = std::vector<std::string>;

std::string readTestEnvironment(const char *Name) {
  return std::string(Name) == "FULMARWINCH_KEY" ? "secret"
                                                : "http://127.0.0.1:1/";
}

ParsedCommandLine parse(const ArgumentList &Arguments) {
  return parseCommandLine(Arguments, readTestEnvironment);
}

bool isUsageError(const ArgumentList &Arguments) {
  const ParsedCommandLine Parsed = parse(Arguments);
  return Parsed.m_Error && Parsed.m_Error->m_Code == ExitCode::Usage &&
         !Parsed.m_Error->m_Message.empty() &&
         !Parsed.m_Error->m_Remedy.empty();
}

} // namespace

/// Parsing and validation of arguments, and the exit codes of error responses.
class CommandLineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandLineTest);
  CPPUNIT_TEST(parsesOptionsBeforeAndAfterCommand);
  CPPUNIT_TEST(everyCommandPrintsItsHelp);
  CPPUNIT_TEST(rejectsInvalidArgumentsAsUsageErrors);
  CPPUNIT_TEST(rejectsMissingOrInvalidServerAndKey);
  CPPUNIT_TEST(mapsErrorResponsesToExitCodes);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against parsing the value of a leading option as the command.
  void parsesOptionsBeforeAndAfterCommand() {
    const auto Zone = parse({"--output", "json", "zone", "out", "a", "--yes"});
    CPPUNIT_ASSERT(Zone.m_CommandLine.has_value());
    CPPUNIT_ASSERT(Zone.m_CommandLine->m_Command == Command::Zone);
    CPPUNIT_ASSERT(Zone.m_CommandLine->m_IsZoneOut &&
                   Zone.m_CommandLine->m_SkipPrompt);
    CPPUNIT_ASSERT(Zone.m_CommandLine->m_JsonOutput);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Zone.m_CommandLine->m_Argument);
    CPPUNIT_ASSERT_EQUAL(std::string("http://127.0.0.1:1"),
                         Zone.m_CommandLine->m_ServerUrl);
    CPPUNIT_ASSERT(!parse({"zone", "in", "a"}).m_CommandLine->m_IsZoneOut);
    const auto Confirm = parse({"--timeout", "7", "confirm", "p1", "--wait"});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7},
                         Confirm.m_CommandLine->m_WaitTimeoutSeconds);
    CPPUNIT_ASSERT(Confirm.m_CommandLine->m_WaitUntilApplied);
    CPPUNIT_ASSERT_EQUAL(
        std::string("2026-12-04"),
        parse({"audit", "--day", "2026-12-04"}).m_CommandLine->m_AuditDay);
    CPPUNIT_ASSERT(
        parse({"drain", "vm-1", "--undo"}).m_CommandLine->m_UndoDrain);
  }

  void everyCommandPrintsItsHelp() {
    CPPUNIT_ASSERT_EQUAL(programHelp(), parse({"--help"}).m_InfoText);
    for (const EnumName<Command> &Row : CommandNames) {
      const std::string Name(Row.m_Name);
      CPPUNIT_ASSERT_EQUAL(commandHelp(Row.m_Value),
                           parse({Name, "--help"}).m_InfoText);
    }
    CPPUNIT_ASSERT(!parse({"--version"}).m_InfoText.empty());
  }

  /// Guards against ignoring a misspelt option.
  void rejectsInvalidArgumentsAsUsageErrors() {
    const std::vector<ArgumentList> InvalidCases = {
        {},
        {"unknown"},
        {"plan"},
        {"plan", "a", "b"},
        {"zone", "a"},
        {"zone", "up", "a"},
        {"status", "--wiat"},
        {"status", "--key", "secret"},
        {"status", "--output", "xml"},
        {"confirm", "p", "--timeout", "soon"},
        {"confirm", "p", "--timeout", "0"},
        {"audit", "--day", "yesterday"},
        {"completion", "fish"}};
    for (const ArgumentList &Arguments : InvalidCases)
      CPPUNIT_ASSERT_MESSAGE(Arguments.empty() ? "none" : Arguments.front(),
                             isUsageError(Arguments));
  }

  void rejectsMissingOrInvalidServerAndKey() {
    const EnvironmentReader EmptyEnvironment = [](const char *) { return ""; };
    CPPUNIT_ASSERT(
        parseCommandLine({"status"}, EmptyEnvironment).m_Error.has_value());
    CPPUNIT_ASSERT(parseCommandLine({"completion", "bash"}, EmptyEnvironment)
                       .m_CommandLine.has_value());
    CPPUNIT_ASSERT(isUsageError({"status", "--server", "10.0.0.1:1"}));
    CPPUNIT_ASSERT(isUsageError({"status", "--key-file", "/nonexistent/key"}));
    // A line break in the key would let it add header fields to the request.
    const EnvironmentReader KeyWithLineBreak = [](const char *Name) {
      return std::string(Name) == "FULMARWINCH_KEY" ? "a\r\nb" : "http://a";
    };
    CPPUNIT_ASSERT(
        parseCommandLine({"status"}, KeyWithLineBreak).m_Error.has_value());
  }

  /// Guards against a conflict whose exit code scripts cannot distinguish from
  /// other failures.
  void mapsErrorResponsesToExitCodes() {
    const CliError Conflict = parseErrorBody(
        409, R"({"error":{"type":"conflict","message":"m","remedy":"r"}})");
    CPPUNIT_ASSERT(Conflict.m_Code == ExitCode::Conflict);
    CPPUNIT_ASSERT_EQUAL(std::string("error: conflict: m\nremedy: r\n"),
                         toText(Conflict));
    for (const char *Type :
         {"forbidden", "not_found", "store_unavailable", "in_progress"})
      CPPUNIT_ASSERT(
          parseErrorBody(503, Json{{"error", {{"type", Type}}}}.dump())
              .m_Code == ExitCode::Failed);
    for (const char *NonErrorBody :
         {"<html>", "[]", R"({"error":"text"})", ""}) {
      const CliError Error = parseErrorBody(502, NonErrorBody);
      CPPUNIT_ASSERT(Error.m_Code == ExitCode::Failed);
      CPPUNIT_ASSERT(Error.m_Message.find("502") != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLineTest);

} // namespace fulmarwinch
