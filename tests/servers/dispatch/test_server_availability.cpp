#include "servers/dispatch/server_availability.h"
#include "servers/dispatch/server_selector.h"

#include "cppunit/extensions/HelperMacros.h"

#include <algorithm>
#include <queue>
#include <random>

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Servers that leave, fail, or ask for a pause, and when they are sent
/// requests again.
class ServerAvailabilityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerAvailabilityTest);
  CPPUNIT_TEST(eachReasonIsNamed);
  CPPUNIT_TEST(oneRequestAtATimeUntilAResumingServerAnswers);
  CPPUNIT_TEST(passedOverServersAreCountedByReason);
  CPPUNIT_TEST(anotherProcessHasNoPause);
  CPPUNIT_TEST(outputDuringThePauseDoesNotEndIt);
  CPPUNIT_TEST(latestLeavingProcessesAreRemembered);
  CPPUNIT_TEST(pausingServersCostCallersNoAttempts);
  CPPUNIT_TEST_SUITE_END();

  FleetView m_Fleet;
  ServerAvailability m_Availability;
  MonotonicTime m_Now{seconds(1000)};
  std::uint64_t m_Revision = 1;

  const BackendServer &updateServer(const std::string &Id,
                                    std::int64_t StartedAtMs = 5,
                                    bool Draining = false) {
    BackendServer Server;
    Server.m_Id = Id;
    Server.m_Service = "plain";
    Server.m_Zone = "a";
    Server.m_Slots = 8;
    Server.m_StartedAtMs = StartedAtMs;
    Server.m_Draining = Draining;
    Server.m_Position = ++m_Revision;
    m_Fleet.update(std::move(Server), m_Now);
    return *m_Fleet.find(Id);
  }

  static ChosenServer chosen(const BackendServer &Server) {
    return {Server.m_Id, Server.m_StartedAtMs, {}, {}, std::nullopt};
  }

  Unavailability check(const std::string &Id) const {
    return m_Availability.check(m_Fleet, *m_Fleet.find(Id), m_Now);
  }

  void eachReasonIsNamed() {
    for (const char *Id : {"sound", "failed", "full", "pausing"})
      updateServer(Id);
    updateServer("draining", 5, true);
    m_Availability.onSuspected("failed", std::nullopt, m_Now);
    m_Availability.onNoFreeSlot("full", m_Now);
    m_Availability.onPauseRequested(chosen(*m_Fleet.find("pausing")),
                                    seconds(2), m_Now);
    CPPUNIT_ASSERT(check("sound") == Unavailability::None);
    CPPUNIT_ASSERT(check("failed") == Unavailability::Suspected);
    CPPUNIT_ASSERT(check("full") == Unavailability::BackedOff);
    CPPUNIT_ASSERT(check("pausing") == Unavailability::PauseRequested);
    CPPUNIT_ASSERT(check("draining") == Unavailability::Draining);
    m_Fleet.setLeaving("sound", 5);
    CPPUNIT_ASSERT(check("sound") == Unavailability::Draining);
    m_Fleet.setEvacuatedZones({"a"});
    CPPUNIT_ASSERT(check("full") == Unavailability::Evacuated);
  }

  /// Guards against all waiting requests going to a server in the moment in
  /// which its pause ends.
  void oneRequestAtATimeUntilAResumingServerAnswers() {
    const BackendServer &Server = updateServer("s");
    CPPUNIT_ASSERT(
        m_Availability.onPauseRequested(chosen(Server), seconds(2), m_Now));
    CPPUNIT_ASSERT(
        !m_Availability.onPauseRequested(chosen(Server), seconds(1), m_Now));
    m_Now += milliseconds(1990);
    CPPUNIT_ASSERT(check("s") == Unavailability::PauseRequested);
    m_Now = m_Availability.nextRequestAt(Server, m_Now);
    CPPUNIT_ASSERT(check("s") == Unavailability::None);
    m_Availability.onDispatched("s", m_Now);
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT(check("s") == Unavailability::Resuming);
    m_Now += milliseconds(150);
    CPPUNIT_ASSERT(check("s") == Unavailability::None);
    m_Availability.onDispatched("s", m_Now);
    m_Availability.onOutput("s", m_Now);
    CPPUNIT_ASSERT(check("s") == Unavailability::None);
  }

  /// Guards against a request in whose log lines the servers are missing that
  /// were passed over for it.
  void passedOverServersAreCountedByReason() {
    ServerSelector Selector;
    for (const char *Id : {"a", "b", "c", "sound"})
      updateServer(Id);
    updateServer("draining", 5, true);
    for (const char *Id : {"a", "b"})
      Selector.availability().onPauseRequested(chosen(*m_Fleet.find(Id)),
                                               seconds(2), m_Now);
    Selector.availability().onSuspected("c", std::nullopt, m_Now);
    ServiceSpec Service;
    Service.m_Name = "plain";
    ServerQuery Query;
    Query.m_Service = &Service;
    Query.m_Now = m_Now;
    CPPUNIT_ASSERT_EQUAL(std::string("sound"),
                         Selector.choose(m_Fleet, Query)->m_Id);
    CPPUNIT_ASSERT_EQUAL(
        std::string("draining:1 suspected:1 pause_requested:2"),
        Selector.passedOver());
  }

  /// Guards against a pause that outlives the process which asked for it.
  void anotherProcessHasNoPause() {
    m_Availability.onPauseRequested(chosen(updateServer("s", 5)), seconds(9),
                                    m_Now);
    updateServer("s", 6);
    CPPUNIT_ASSERT(check("s") == Unavailability::None);
  }

  /// A stream that began before the rejection goes on. Guards against taking it
  /// for the end of the pause.
  void outputDuringThePauseDoesNotEndIt() {
    m_Availability.onPauseRequested(chosen(updateServer("s")), seconds(2),
                                    m_Now);
    m_Availability.onOutput("s", m_Now + seconds(1));
    CPPUNIT_ASSERT(check("s") == Unavailability::PauseRequested);
  }

  /// Guards against forgetting a process that has just said that it leaves,
  /// once many have left.
  void latestLeavingProcessesAreRemembered() {
    constexpr int Count = 5000;
    const auto Id = [](int Index) {
      // Later processes sort before earlier ones.
      return "s" + std::to_string(99999 - Index);
    };
    for (int I = 0; I < Count; ++I)
      m_Fleet.setLeaving(Id(I), 5);
    for (const int I : {Count - 1, Count - 1000})
      CPPUNIT_ASSERT(updateServer(Id(I)).m_Draining);
  }

  struct ModelResult {
    int m_ServedAtFirst = 0;
    int m_ReachedPausing = 0;
    int m_MostInFirstInterval = 0;
    int m_Requests = 0;
  };

  struct Arrival {
    MonotonicTime m_At;
    int m_Attempt;
    bool operator<(const Arrival &Other) const { return m_At > Other.m_At; }
  };
  /// Servers of the requests in progress, by the time at which they end.
  using RequestEnds = std::multimap<MonotonicTime, std::string>;

  static void endRequests(ServerSelector &Selector, RequestEnds &Ends,
                          MonotonicTime Now) {
    for (; !Ends.empty() && Ends.begin()->first <= Now;
         Ends.erase(Ends.begin())) {
      Selector.onRequestEnded(Ends.begin()->second);
      Selector.availability().onOutput(Ends.begin()->second,
                                       Ends.begin()->first);
    }
  }

  /// One service of nine servers with eight slots. Three of them ask for a
  /// pause at the same time. Callers send 60 requests a second and repeat a
  /// rejected one up to three times after a second. With \p ReadsPause, the
  /// node honours the pause; otherwise it avoids the server as one without a
  /// free slot.
  ModelResult runModel(Duration Pause, bool ReadsPause) {
    constexpr int Servers = 9;
    constexpr int Requests = 900;
    constexpr Duration ServiceTime = milliseconds(200);
    const MonotonicTime PauseStart = m_Now + seconds(1);
    const MonotonicTime PauseEnd = PauseStart + Pause;
    for (int I = 0; I < Servers; ++I)
      updateServer("s" + std::to_string(I));
    ServiceSpec Service;
    Service.m_Name = "plain";
    ServerSelector Selector;
    std::minstd_rand Random(7);
    std::uniform_real_distribution<double> Uniform(0.0, 1.0);
    std::priority_queue<Arrival> Arrivals;
    for (int I = 0; I < Requests; ++I)
      Arrivals.push({m_Now + I * milliseconds(1000) / 60, 0});
    RequestEnds Ends;
    std::map<std::string, int> FirstInterval;
    ModelResult Result;
    Result.m_Requests = Requests;
    while (!Arrivals.empty()) {
      const Arrival Next = Arrivals.top();
      Arrivals.pop();
      endRequests(Selector, Ends, Next.m_At);
      ServerQuery Query;
      Query.m_Service = &Service;
      Query.m_Now = Next.m_At;
      Query.m_RandomDraw = Uniform(Random);
      const auto Chosen = Selector.choose(m_Fleet, Query);
      CPPUNIT_ASSERT(Chosen.has_value());
      Selector.onDispatched(Chosen->m_Id, Next.m_At);
      const bool Pauses = Chosen->m_Id < "s3";
      if (Pauses && Next.m_At >= PauseEnd &&
          Next.m_At < PauseEnd + milliseconds(100))
        Result.m_MostInFirstInterval = std::max(Result.m_MostInFirstInterval,
                                                ++FirstInterval[Chosen->m_Id]);
      if (!Pauses || Next.m_At < PauseStart || Next.m_At >= PauseEnd) {
        Ends.emplace(Next.m_At + ServiceTime, Chosen->m_Id);
        Result.m_ServedAtFirst += Next.m_Attempt == 0;
        continue;
      }
      ++Result.m_ReachedPausing;
      Selector.onRequestEnded(Chosen->m_Id);
      if (ReadsPause)
        Selector.availability().onPauseRequested(*Chosen, PauseEnd - Next.m_At,
                                                 Next.m_At);
      else
        Selector.availability().onNoFreeSlot(Chosen->m_Id, Next.m_At);
      if (Next.m_Attempt < 3)
        Arrivals.push({Next.m_At + seconds(1), Next.m_Attempt + 1});
    }
    return Result;
  }

  /// Reduced model of a loss. Guards against callers whose attempts go to
  /// servers that have said they take nothing.
  void pausingServersCostCallersNoAttempts() {
    std::string Rows;
    for (const int Seconds : {1, 3, 10}) {
      const ModelResult Before = runModel(seconds(Seconds), false);
      const ModelResult After = runModel(seconds(Seconds), true);
      const auto Row = [&](const char *Name, const ModelResult &Result) {
        Rows += "\n  pause " + std::to_string(Seconds) + " s, " + Name + ": " +
                std::to_string(Result.m_ServedAtFirst) + " of " +
                std::to_string(Result.m_Requests) +
                " served at the first attempt, " +
                std::to_string(Result.m_ReachedPausing) +
                " reached a pausing server";
      };
      Row("ignored", Before);
      Row("honoured", After);
      CPPUNIT_ASSERT(After.m_ReachedPausing <= 3);
      CPPUNIT_ASSERT(After.m_ServedAtFirst >= After.m_Requests - 3);
      CPPUNIT_ASSERT(After.m_ServedAtFirst > Before.m_ServedAtFirst);
      CPPUNIT_ASSERT(After.m_MostInFirstInterval <= 1);
    }
    printf("%s\n", Rows.c_str());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerAvailabilityTest);

} // namespace fulmarwinch
