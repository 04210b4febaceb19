#include "cli/program.h"
#include "drivers/http/http_server.h"
#include "tests/support/free_port.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <cstdio>
#include <fstream>
#include <mutex>
#include <sstream>

namespace fulmarwinch {

namespace {

constexpr const char *ZoneBefore =
    R"({"kind":"zone","name":"a","inService":true})";
constexpr const char *ZoneAfter =
    R"({"kind":"zone","name":"a","inService":false})";

std::string errorBody(const char *Type) {
  return Json{
      {"error", {{"type", Type}, {"message", "why"}, {"remedy", "do this"}}}}
      .dump();
}

/// HTTP server with the operator API of a node whose operator key is "secret".
class FakeOperatorApi {
public:
  FakeOperatorApi() {
    HttpServerOptions Options;
    Options.m_Port = m_Port;
    CPPUNIT_ASSERT(m_Server
                       .start(Options,
                              [this](const HttpExchangePtr &Exchange) {
                                Exchange->respond(handle(Exchange->request()));
                              })
                       .ok());
  }
  ~FakeOperatorApi() { m_Server.stop(); }

  std::string url() const { return fmt::format("http://127.0.0.1:{}", m_Port); }
  std::string lastIntent() {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_LastIntent;
  }
  bool isConfirmed() {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Confirmed;
  }

private:
  HttpResponse handle(const HttpRequest &Request) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    if (findHeader(Request.m_Headers, "Authorization") != "Bearer secret")
      return jsonResponse(401, errorBody("unauthenticated"));
    const std::string MethodAndPath = Request.m_Method + " " + Request.m_Path;
    if (MethodAndPath == "POST /v1/intents") {
      m_LastIntent = Request.m_Body;
      return jsonResponse(200, plan().dump());
    }
    if (MethodAndPath == "GET /v1/plans/p1") {
      ++m_PlanReads;
      return jsonResponse(200, plan().dump());
    }
    if (MethodAndPath == "POST /v1/plans/p1/confirm") {
      m_Confirmed = true;
      return jsonResponse(200, R"({"plan":"p1","revision":5})");
    }
    if (MethodAndPath == "POST /v1/plans/old/confirm")
      return jsonResponse(409, errorBody("conflict"));
    if (MethodAndPath == "GET /v1/status")
      return jsonResponse(200, R"({"node":"n1","ready":true})");
    if (MethodAndPath == "GET /v1/configuration")
      return jsonResponse(
          200, Json{{"entries",
                     {{{"entry", Json::parse(ZoneBefore)}, {"revision", 4}}}}}
                   .dump());
    if (MethodAndPath == "GET /v1/audit")
      return jsonResponse(200, audit(Request).dump());
    return jsonResponse(404, errorBody("not_found"));
  }

  /// Returns plan p1. Node n2 counts as having applied the revision from the
  /// third read of the plan on.
  Json plan() const {
    Json Plan = {{"id", "p1"},
                 {"accepted", m_Confirmed},
                 {"entries", Json::array({{{"id", "zone/a"},
                                           {"before", ZoneBefore},
                                           {"after", ZoneAfter}}})}};
    const bool IsAppliedByAll = m_PlanReads > 2;
    if (m_Confirmed)
      Plan["progress"] = {
          {"revision", 5},
          {"applied", IsAppliedByAll ? Json{"n1", "n2"} : Json{"n1"}},
          {"notYet", IsAppliedByAll ? Json::array() : Json::array({"n2"})}};
    return Plan;
  }

  static Json audit(const HttpRequest &Request) {
    const bool IsFirstPage = !queryParameter(Request, "after").has_value();
    const Json Record = {{"who", IsFirstPage ? "ana" : "ben"},
                         {"when", IsFirstPage ? 20 : 10}};
    return {{"records", Json::array({Record})},
            {"after", IsFirstPage ? "audit/day/page 1" : ""}};
  }

  std::uint16_t m_Port = findFreePort();
  std::mutex m_Mutex;
  std::string m_LastIntent;
  bool m_Confirmed = false;
  int m_PlanReads = 0;
  HttpServer m_Server;
};

struct Result {
  ExitCode m_Code;
  std::string m_Out;
  std::string m_Error;
};

/// Runs the program with a clock that stands still. The sleep between two polls
/// reports an interrupt after \p SleepsBeforeInterrupt calls.
Result runProgramWith(const std::string &Server,
                      std::vector<std::string> Arguments,
                      const std::string &Input = "",
                      const std::string &Key = "secret",
                      int SleepsBeforeInterrupt = 5) {
  std::istringstream In(Input);
  std::ostringstream Out;
  std::ostringstream Error;
  const EnvironmentReader Environment = [&](const char *Name) {
    return std::string(Name) == "FULMARWINCH_KEY" ? Key : Server;
  };
  const CommandIo Io{In, Out, Error,
                     [&SleepsBeforeInterrupt](Duration) {
                       return SleepsBeforeInterrupt-- > 0;
                     },
                     [] { return MonotonicTime(); }};
  const ExitCode Code = runProgram(Arguments, Environment, Io);
  return {Code, Out.str(), Error.str()};
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

/// Runs the whole program against a fake operator API over HTTP.
class ProgramTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProgramTest);
  CPPUNIT_TEST(planChangesNothingUntilConfirmed);
  CPPUNIT_TEST(confirmWaitsUntilAllNodesApplied);
  CPPUNIT_TEST(confirmFailsIfPlanIsNotCarriedOut);
  CPPUNIT_TEST(zoneOutRequiresConsent);
  CPPUNIT_TEST(drainUndoRemovesEntry);
  CPPUNIT_TEST(auditMergesAllPagesByTime);
  CPPUNIT_TEST(getAndDescribeSelectEntries);
  CPPUNIT_TEST(watchReturnsDoneWhenInterrupted);
  CPPUNIT_TEST(exitCodesDistinguishErrors);
  CPPUNIT_TEST_SUITE_END();

  FakeOperatorApi m_FakeApi;

  Result run(const std::vector<std::string> &Arguments,
             const std::string &Input = "") {
    return runProgramWith(m_FakeApi.url(), Arguments, Input);
  }

  void planChangesNothingUntilConfirmed() {
    const std::string Path =
        fmt::format("/tmp/fulmarwinch-intent-{}.json", findFreePort());
    std::ofstream(Path) << R"({"entries":[]})";
    const Result Plan = run({"plan", Path});
    std::remove(Path.c_str());
    CPPUNIT_ASSERT(Plan.m_Code == ExitCode::Done);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"entries":[]})"),
                         m_FakeApi.lastIntent());
    CPPUNIT_ASSERT(contains(Plan.m_Out, "~ inService: true -> false"));
    CPPUNIT_ASSERT(contains(Plan.m_Out, "fulmarwinch confirm p1\n"));
    CPPUNIT_ASSERT(!m_FakeApi.isConfirmed());
    const Result Confirm = run({"confirm", "p1", "--output", "json"});
    CPPUNIT_ASSERT(Confirm.m_Code == ExitCode::Done);
    CPPUNIT_ASSERT_EQUAL(5, Json::parse(Confirm.m_Out)["revision"].get<int>());
  }

  void confirmWaitsUntilAllNodesApplied() {
    const Result Confirm = run({"confirm", "p1", "--wait"});
    CPPUNIT_ASSERT(Confirm.m_Code == ExitCode::Done);
    CPPUNIT_ASSERT_EQUAL(
        std::string("plan p1 is accepted as revision 5\n"
                    "revision 5: applied by 1 of 2 nodes, not yet by n2\n"
                    "revision 5: applied by 2 of 2 nodes\n"),
        Confirm.m_Out);
  }

  /// Guards against reporting success to a script although a node has not
  /// applied the plan.
  void confirmFailsIfPlanIsNotCarriedOut() {
    const Result Confirm = runProgramWith(
        m_FakeApi.url(), {"confirm", "p1", "--wait"}, "", "secret", 0);
    CPPUNIT_ASSERT(Confirm.m_Code == ExitCode::Failed);
    CPPUNIT_ASSERT(contains(Confirm.m_Error, "accepted but not carried out"));
  }

  /// Guards against taking an availability zone out of service without consent,
  /// including when standard input is closed.
  void zoneOutRequiresConsent() {
    for (const char *Answer : {"n\n", "", "\n", "maybe\n"}) {
      const Result Declined = run({"zone", "out", "a"}, Answer);
      CPPUNIT_ASSERT(Declined.m_Code == ExitCode::Failed);
      CPPUNIT_ASSERT(!m_FakeApi.isConfirmed());
    }
    CPPUNIT_ASSERT(run({"zone", "out", "a"}, "y\n").m_Code == ExitCode::Done);
    CPPUNIT_ASSERT(m_FakeApi.isConfirmed());
    CPPUNIT_ASSERT_EQUAL(
        fmt::format(R"({{"entries":[{}]}})", Json::parse(ZoneAfter).dump()),
        m_FakeApi.lastIntent());
  }

  void drainUndoRemovesEntry() {
    const Result DrainUndo = run({"drain", "vm-1", "--undo", "--yes"});
    CPPUNIT_ASSERT(DrainUndo.m_Code == ExitCode::Done);
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            R"({"entries":[{"kind":"vm_drain","name":"vm-1","remove":true}]})"),
        m_FakeApi.lastIntent());
  }

  /// Guards against printing only the first page of the audit trail.
  void auditMergesAllPagesByTime() {
    const Result Audit = run({"audit", "--output", "json"});
    const Json Records = Json::parse(Audit.m_Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Records.size());
    CPPUNIT_ASSERT_EQUAL(std::string("ben"),
                         Records[0]["who"].get<std::string>());
    CPPUNIT_ASSERT(contains(run({"audit"}).m_Out, "1970-01-01T00:00:10Z  ben"));
  }

  void getAndDescribeSelectEntries() {
    CPPUNIT_ASSERT(contains(run({"get", "zone"}).m_Out, "zone/a"));
    CPPUNIT_ASSERT_EQUAL(std::string("no entries\n"),
                         run({"get", "service"}).m_Out);
    CPPUNIT_ASSERT(contains(run({"describe", "zone/a"}).m_Out, "inService:"));
    CPPUNIT_ASSERT(run({"describe", "zone/b"}).m_Code == ExitCode::Failed);
    CPPUNIT_ASSERT(run({"describe", "zone"}).m_Code == ExitCode::Usage);
    CPPUNIT_ASSERT(run({"get", "zones"}).m_Code == ExitCode::Usage);
  }

  void watchReturnsDoneWhenInterrupted() {
    const Result Watch = run({"watch", "--output", "json"});
    CPPUNIT_ASSERT(Watch.m_Code == ExitCode::Done);
    CPPUNIT_ASSERT(contains(Watch.m_Out, R"("item":"ready")"));
  }

  /// Guards against exit codes by which scripts would retry a command that must
  /// not be retried.
  void exitCodesDistinguishErrors() {
    const Result Conflict = run({"confirm", "old"});
    CPPUNIT_ASSERT(Conflict.m_Code == ExitCode::Conflict);
    CPPUNIT_ASSERT_EQUAL(std::string("error: conflict: why\nremedy: do this\n"),
                         Conflict.m_Error);
    CPPUNIT_ASSERT(run({"confirm", "none"}).m_Code == ExitCode::Failed);
    const Result WrongKey =
        runProgramWith(m_FakeApi.url(), {"status"}, "", "other");
    CPPUNIT_ASSERT(WrongKey.m_Code == ExitCode::Failed);
    CPPUNIT_ASSERT(!contains(WrongKey.m_Error, "other"));
    CPPUNIT_ASSERT(run({"plan", "/nonexistent"}).m_Code == ExitCode::Usage);
    const Result Unreachable = runProgramWith(
        fmt::format("http://127.0.0.1:{}", findFreePort()), {"status"});
    CPPUNIT_ASSERT(Unreachable.m_Code == ExitCode::NotReachable);
    CPPUNIT_ASSERT(contains(Unreachable.m_Error, "error: not_reachable: "));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgramTest);

} // namespace fulmarwinch
