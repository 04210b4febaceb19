#include "tests/proxy/relay_fixture.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::milliseconds;

/// Requests with one prompt part that crashes each backend server that begins
/// to respond.
class DeadlyPromptPartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeadlyPromptPartTest);
  CPPUNIT_TEST(furtherRequestsWithThePartReachNoServer);
  CPPUNIT_TEST(partThatCrashesServersAfterAnEventReachesNoFurtherServer);
  CPPUNIT_TEST(errorsOfServersAcquitNoPart);
  CPPUNIT_TEST(partBehindManyOthersIsRecognised);
  CPPUNIT_TEST(closeAfterAWholeEventAcquitsNoPart);
  CPPUNIT_TEST(brokenStreamsBlameNoPartThatIsServedElsewhere);
  CPPUNIT_TEST(endOfALeavingServerBlamesNothing);
  CPPUNIT_TEST_SUITE_END();

  using ConnectionEnd = ScriptedServer::Response::ConnectionEnd;

  static std::string responseHead() {
    return "HTTP/1.1 200 OK\r\nX-Id: 77\r\nX-Digest: d\r\n\r\n";
  }

  static ScriptedServer::Response sound() {
    return {responseHead() + "id: 1\ndata: x\n\n", ConnectionEnd::Close};
  }

  /// Parts that all requests share, before the one that the request names.
  static std::string leadingParts(int Count) {
    std::string Result = "5c1e:40";
    for (int I = 1; I < Count; ++I)
      Result += ",5c1e" + std::to_string(I) + ":40";
    return Result;
  }

  static std::string partsField(const std::string &Shared, int Request) {
    return "X-Parts: " + Shared + ":800,own" + std::to_string(Request) +
           ":20\r\n";
  }

  static bool isServed(const std::string &Received) {
    return Received.find("id: 1\n") != std::string::npos;
  }

  static std::size_t receivedRequests(const RelayFixture &Fixture) {
    return Fixture.m_FirstServer->requests().size() +
           Fixture.m_SecondServer->requests().size();
  }

  /// Lets each lost connection be the crash of a server, which is back at once
  /// as another process.
  static void crashOnLostConnection(RelayFixture &Fixture) {
    Fixture.m_Context.m_OnConnectionLost = [&](const ChosenServer &Server) {
      restartServer(Fixture, Server.m_Id);
    };
    Fixture.m_Context.m_OnSuspectClosed = [&](const ChosenServer &Server) {
      const MonotonicTime Now = monotonicNow();
      Fixture.m_Context.m_CrashDetector.onServerAlive(
          Server.m_Id, Server.m_StartedAtMs, Now, Now);
    };
  }

  static void restartServer(RelayFixture &Fixture, const std::string &Id) {
    BackendServer Restarted = *Fixture.m_Fleet.find(Id);
    ++Restarted.m_StartedAtMs;
    ++Restarted.m_Position.m_Revision;
    Fixture.m_Fleet.update(Restarted, monotonicNow());
    Fixture.m_Context.m_CrashDetector.onServerEntryChanged(
        Id, Restarted.m_StartedAtMs);
  }

  static std::string send(RelayFixture &Fixture, const std::string &Part,
                          int Request, const ScriptedServer::Response &Response,
                          int LeadingParts = 1) {
    for (ScriptedServer *Server :
         {Fixture.m_FirstServer.get(), Fixture.m_SecondServer.get()})
      Server->replaceResponses(Response);
    // Crashes in quick succession count as one.
    Fixture.runFor(milliseconds(120));
    return Fixture.request(
        "X-Model: m\r\n" +
            partsField(leadingParts(LeadingParts) + "," + Part, Request),
        "prompt " + std::to_string(Request));
  }

  static RelayFixture &configured(RelayFixture &Fixture) {
    Fixture.configureGroups();
    TrafficConfiguration Changed =
        Fixture.m_Context.m_RouteTable->configuration();
    Changed.m_Routes.front().m_MaxAttempts = 1;
    Fixture.m_Context.m_RouteTable = std::make_shared<RouteTable>(Changed);
    crashOnLostConnection(Fixture);
    return Fixture;
  }

  /// Guards against requests of one kind that keep crashing backend servers,
  /// one after the other, and against sound requests refused beside them.
  void furtherRequestsWithThePartReachNoServer() {
    RelayFixture Fixture;
    configured(Fixture);
    const ScriptedServer::Response Crash{"HTTP/1.1 2", ConnectionEnd::Reset};
    for (int I = 0; I < 3; ++I) {
      CPPUNIT_ASSERT(!isServed(send(Fixture, "dead", 2 * I, Crash)));
      CPPUNIT_ASSERT(isServed(send(Fixture, "good", 2 * I + 1, sound())));
    }
    const std::size_t Before = receivedRequests(Fixture);
    const std::string Refused = send(Fixture, "dead", 10, Crash);
    CPPUNIT_ASSERT(Refused.find("HTTP/1.1 503 ") != std::string::npos);
    CPPUNIT_ASSERT(Refused.find("crashes_servers") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(Before, receivedRequests(Fixture));
    CPPUNIT_ASSERT(isServed(send(Fixture, "good", 11, sound())));
    CPPUNIT_ASSERT(isServed(send(Fixture, "other", 12, sound())));
  }

  /// Lets requests with the part `dead` get \p Crash, and sound ones between
  /// them be served, and expects that the fourth reaches no server.
  static void assertRefusedAfterThree(const ScriptedServer::Response &Crash,
                                      int LeadingParts = 1) {
    RelayFixture Fixture;
    configured(Fixture);
    for (int I = 0; I < 3; ++I) {
      const std::size_t Before = receivedRequests(Fixture);
      send(Fixture, "dead", 2 * I, Crash, LeadingParts);
      CPPUNIT_ASSERT_EQUAL(Before + 1, receivedRequests(Fixture));
      CPPUNIT_ASSERT(
          isServed(send(Fixture, "good", 2 * I + 1, sound(), LeadingParts)));
    }
    const std::size_t Before = receivedRequests(Fixture);
    const std::string Refused = send(Fixture, "dead", 10, Crash, LeadingParts);
    CPPUNIT_ASSERT(Refused.find("crashes_servers") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(Before, receivedRequests(Fixture));
    CPPUNIT_ASSERT(isServed(send(Fixture, "good", 11, sound(), LeadingParts)));
  }

  /// Guards against a part that crashes one server after the other because the
  /// first event of a response counts as proof that it is sound.
  void partThatCrashesServersAfterAnEventReachesNoFurtherServer() {
    const std::string First = "id: 1\ndata: x\n\n";
    for (const std::string &Events :
         {First, First + "id: 2\ndata: y\n\n", First + "id: 2\nda"})
      assertRefusedAfterThree({responseHead() + Events, ConnectionEnd::Reset});
  }

  /// Guards against a part that crashes one server after the other because only
  /// the first parts of a prompt are watched.
  void partBehindManyOthersIsRecognised() {
    assertRefusedAfterThree({"HTTP/1.1 2", ConnectionEnd::Reset}, 100);
  }

  /// The crash of a server ends a response without a length as its end does.
  /// Guards against a part that is acquitted by its own crashes.
  void closeAfterAWholeEventAcquitsNoPart() {
    RelayFixture Fixture;
    configured(Fixture);
    const std::function<void(const ChosenServer &)> IsAlive =
        Fixture.m_Context.m_OnSuspectClosed;
    for (int I = 0; I < 3; ++I) {
      const std::size_t First = Fixture.m_FirstServer->requests().size();
      Fixture.m_Context.m_OnSuspectClosed = [](const ChosenServer &) {};
      CPPUNIT_ASSERT(isServed(send(Fixture, "dead", 2 * I, sound())));
      restartServer(Fixture, Fixture.m_FirstServer->requests().size() > First
                                 ? "s1"
                                 : "s2");
      Fixture.m_Context.m_OnSuspectClosed = IsAlive;
      CPPUNIT_ASSERT(isServed(send(Fixture, "good", 2 * I + 1, sound())));
    }
    CPPUNIT_ASSERT(send(Fixture, "dead", 10, sound()).find("crashes_servers") !=
                   std::string::npos);
    CPPUNIT_ASSERT(isServed(send(Fixture, "good", 11, sound())));
  }

  /// A server may send an error before it begins to run a request. Guards
  /// against a part that is acquitted by errors between its crashes.
  void errorsOfServersAcquitNoPart() {
    for (const int Status : {404, 500}) {
      RelayFixture Fixture;
      configured(Fixture);
      const ScriptedServer::Response Crash{"HTTP/1.1 2", ConnectionEnd::Reset};
      const ScriptedServer::Response Error = shortResponse(Status, "");
      const std::string StatusLine = "HTTP/1.1 " + std::to_string(Status) + " ";
      for (int I = 0; I < 3; ++I) {
        send(Fixture, "dead", 2 * I, Crash);
        CPPUNIT_ASSERT(send(Fixture, "dead", 2 * I + 1, Error)
                           .find(I < 2 ? StatusLine : "crashes_servers") !=
                       std::string::npos);
      }
    }
  }

  /// Servers end for reasons of their own under streams that have begun. Guards
  /// against refusing a part that other servers serve to the end.
  void brokenStreamsBlameNoPartThatIsServedElsewhere() {
    RelayFixture Fixture;
    configured(Fixture);
    const ScriptedServer::Response Interrupted{
        responseHead() + "id: 1\ndata: x\n\n", ConnectionEnd::Reset};
    for (int I = 0; I < 5; ++I) {
      CPPUNIT_ASSERT(isServed(send(Fixture, "good", 2 * I, Interrupted)));
      CPPUNIT_ASSERT(isServed(send(Fixture, "good", 2 * I + 1, sound())));
    }
  }

  void endOfALeavingServerBlamesNothing() {
    RelayFixture Fixture;
    configured(Fixture);
    const ScriptedServer::Response Leaving{"HTTP/1.1 2", ConnectionEnd::Reset};
    const auto SetDraining = [&](bool IsDraining) {
      for (const char *Id : {"s1", "s2"}) {
        BackendServer Server = *Fixture.m_Fleet.find(Id);
        Server.m_Draining = IsDraining;
        ++Server.m_Position.m_Revision;
        Fixture.m_Fleet.update(Server, monotonicNow());
      }
    };
    for (ScriptedServer *Server :
         {Fixture.m_FirstServer.get(), Fixture.m_SecondServer.get()})
      Server->onRequest([&] { SetDraining(true); });
    for (int I = 0; I < 5; ++I) {
      SetDraining(false);
      const std::size_t Before = receivedRequests(Fixture);
      send(Fixture, "good", I, Leaving);
      CPPUNIT_ASSERT_EQUAL(Before + 1, receivedRequests(Fixture));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeadlyPromptPartTest);

} // namespace fulmarwinch
