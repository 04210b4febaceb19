#include "cli/cli_error.h"
#include "cli/command_line.h"

#include "cppunit/extensions/HelperMacros.h"

#include <string>
#include <vector>

namespace fulmarwinch {

namespace {

using Words = std::vector<std::string>;

std::string environment(const char *Name) {
  return std::string(Name) == "FULMARWINCH_KEY" ? "secret"
                                                : "http://127.0.0.1:1/";
}

ParsedCommandLine parse(const Words &Arguments) {
  return parseCommandLine(Arguments, environment);
}

bool isUsageError(const Words &Arguments) {
  const ParsedCommandLine Parsed = parse(Arguments);
  return Parsed.m_Error && Parsed.m_Error->m_Code == ExitCode::Usage &&
         !Parsed.m_Error->m_Message.empty() &&
         !Parsed.m_Error->m_Remedy.empty();
}

} // namespace

/// Arguments are checked before anything is sent.
class CommandLineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandLineTest);
  CPPUNIT_TEST(takesArgumentsInAnyOrder);
  CPPUNIT_TEST(everyCommandHasHelp);
  CPPUNIT_TEST(wrongArgumentsAreUsageErrors);
  CPPUNIT_TEST(serverAndKeyAreRequired);
  CPPUNIT_TEST(errorBodiesGiveExitCodes);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against an option's value that is taken for the command.
  void takesArgumentsInAnyOrder() {
    const auto Zone = parse({"--output", "json", "zone", "out", "a", "--yes"});
    CPPUNIT_ASSERT(Zone.m_Line.has_value());
    CPPUNIT_ASSERT(Zone.m_Line->m_Command == Command::Zone);
    CPPUNIT_ASSERT(Zone.m_Line->m_Out && Zone.m_Line->m_Yes);
    CPPUNIT_ASSERT(Zone.m_Line->m_Json);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Zone.m_Line->m_Target);
    CPPUNIT_ASSERT_EQUAL(std::string("http://127.0.0.1:1"),
                         Zone.m_Line->m_Server);
    CPPUNIT_ASSERT(!parse({"zone", "in", "a"}).m_Line->m_Out);
    const auto Confirm = parse({"--timeout", "7", "confirm", "p1", "--wait"});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, Confirm.m_Line->m_TimeoutSeconds);
    CPPUNIT_ASSERT(Confirm.m_Line->m_Wait);
    CPPUNIT_ASSERT_EQUAL(std::string("2026-12-04"),
                         parse({"audit", "--day", "2026-12-04"}).m_Line->m_Day);
    CPPUNIT_ASSERT(parse({"drain", "vm-1", "--undo"}).m_Line->m_Undo);
  }

  void everyCommandHasHelp() {
    CPPUNIT_ASSERT_EQUAL(generalHelp(), parse({"--help"}).m_Help);
    for (const EnumName<Command> &Row : CommandNames) {
      const std::string Name(Row.m_Name);
      CPPUNIT_ASSERT_EQUAL(helpOf(Row.m_Value), parse({Name, "--help"}).m_Help);
    }
    CPPUNIT_ASSERT(!parse({"--version"}).m_Help.empty());
  }

  /// Guards against a misspelt option that silently has no effect.
  void wrongArgumentsAreUsageErrors() {
    const std::vector<Words> Wrong = {{},
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
    for (const Words &Arguments : Wrong)
      CPPUNIT_ASSERT_MESSAGE(Arguments.empty() ? "none" : Arguments.front(),
                             isUsageError(Arguments));
  }

  void serverAndKeyAreRequired() {
    const EnvironmentReader Nothing = [](const char *) { return ""; };
    CPPUNIT_ASSERT(parseCommandLine({"status"}, Nothing).m_Error.has_value());
    CPPUNIT_ASSERT(
        parseCommandLine({"completion", "bash"}, Nothing).m_Line.has_value());
    CPPUNIT_ASSERT(isUsageError({"status", "--server", "10.0.0.1:1"}));
    CPPUNIT_ASSERT(isUsageError({"status", "--key-file", "/nonexistent/key"}));
    // A line break in a key would add header fields to the request.
    const EnvironmentReader Broken = [](const char *Name) {
      return std::string(Name) == "FULMARWINCH_KEY" ? "a\r\nb" : "http://a";
    };
    CPPUNIT_ASSERT(parseCommandLine({"status"}, Broken).m_Error.has_value());
  }

  /// Guards against scripts that take a conflict for another failure.
  void errorBodiesGiveExitCodes() {
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
    for (const char *Foreign : {"<html>", "[]", R"({"error":"text"})", ""}) {
      const CliError Error = parseErrorBody(502, Foreign);
      CPPUNIT_ASSERT(Error.m_Code == ExitCode::Failed);
      CPPUNIT_ASSERT(Error.m_Message.find("502") != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLineTest);

} // namespace fulmarwinch
