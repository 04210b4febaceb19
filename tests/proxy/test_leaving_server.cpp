#include "proxy/server_notices.h"
#include "tests/proxy/relay_fixture.h"

#include "cppunit/extensions/HelperMacros.h"

#include <thread>
#include <utility>

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Backend servers that say in their responses that they leave, or that they
/// want no requests for some time.
class LeavingServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeavingServerTest);
  CPPUNIT_TEST(leavingServerReceivesNoFurtherRequest);
  CPPUNIT_TEST(noticeIsReadWithTheHeadOfAStream);
  CPPUNIT_TEST(storeEntryDoesNotContradictTheNotice);
  CPPUNIT_TEST(serverThatLeavesBeforeTheFirstByteReceivesNothing);
  CPPUNIT_TEST(pausedNodeDoesNotSendWhatItDecidedBefore);
  CPPUNIT_TEST(misdirectedRequestIsNoNotice);
  CPPUNIT_TEST(serverIsSparedForAsLongAsItAsks);
  CPPUNIT_TEST(longestOfSeveralPausesCounts);
  CPPUNIT_TEST(pauseIsReadWithTheHead);
  CPPUNIT_TEST(allServersPausingMeansRejectionAtOnce);
  CPPUNIT_TEST(callersWaitForAPauseThatEndsInTime);
  CPPUNIT_TEST_SUITE_END();

  using ConnectionEnd = ScriptedServer::Response::ConnectionEnd;

  static void rewriteEntry(RelayFixture &Fixture, const std::string &Id,
                           std::int64_t StartedAtMs) {
    BackendServer Entry = *Fixture.m_Fleet.find(Id);
    Entry.m_StartedAtMs = StartedAtMs;
    Entry.m_Draining = false;
    ++Entry.m_Position.m_Revision;
    Fixture.m_Fleet.update(Entry, monotonicNow());
  }

  /// Guards against requests that reach a server after the client was told
  /// through this node that it leaves.
  void leavingServerReceivesNoFurtherRequest() {
    for (const int Status : {200, 500}) {
      RelayFixture Fixture;
      Fixture.configure(RequestKind::NonIdempotent, 1, false);
      addResponses(Fixture, 40, shortResponse(Status, "X-Leaving: 1\r\n"),
                   shortResponse(200, ""));
      for (int I = 0; I < 30; ++I)
        Fixture.request("", "payout");
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           Fixture.m_FirstServer->requests().size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{29},
                           Fixture.m_SecondServer->requests().size());
    }
  }

  /// A stream goes on for seconds after its head. Guards against a notice that
  /// is read only at the end of the response.
  void noticeIsReadWithTheHeadOfAStream() {
    RelayFixture Fixture;
    Fixture.configureGroups();
    const ScriptedServer::Response Stream{
        "HTTP/1.1 200 OK\r\nX-Id: 77\r\nX-Digest: d\r\nX-Leaving: 1\r\n\r\n"
        "id: 1\ndata: x\n\n",
        ConnectionEnd::KeepOpen};
    addResponses(Fixture, 1, Stream, Stream);
    Fixture.requestAndDisconnect(milliseconds(100), "X-Model: m\r\n");
    const bool IsFirst = !Fixture.m_FirstServer->requests().empty();
    CPPUNIT_ASSERT(Fixture.m_Fleet.find(IsFirst ? "s1" : "s2")->m_Draining);
    CPPUNIT_ASSERT(!Fixture.m_Fleet.find(IsFirst ? "s2" : "s1")->m_Draining);
  }

  /// The store is down or behind. Guards against an entry, read again, that
  /// lets a leaving process receive requests, and against another process under
  /// the same ID that receives none.
  void storeEntryDoesNotContradictTheNotice() {
    RelayFixture Fixture;
    CPPUNIT_ASSERT(Fixture.m_Fleet.setLeaving("s1", 0));
    CPPUNIT_ASSERT(!Fixture.m_Fleet.setLeaving("s1", 0));
    rewriteEntry(Fixture, "s1", 0);
    CPPUNIT_ASSERT(
        !Fixture.m_Fleet.acceptsNewWork(*Fixture.m_Fleet.find("s1")));
    const BackendServer Known = *Fixture.m_Fleet.find("s1");
    Fixture.m_Fleet.remove("s1", Known.m_Position);
    Fixture.m_Fleet.update(Known, monotonicNow());
    rewriteEntry(Fixture, "s1", 0);
    CPPUNIT_ASSERT(
        !Fixture.m_Fleet.acceptsNewWork(*Fixture.m_Fleet.find("s1")));
    rewriteEntry(Fixture, "s1", 1);
    CPPUNIT_ASSERT(Fixture.m_Fleet.acceptsNewWork(*Fixture.m_Fleet.find("s1")));
  }

  /// Calls \p Hook between the choice of a server for one prompt and the first
  /// byte to that server, and returns the client's response.
  static std::string
  requestWithHook(RelayFixture &Fixture,
                  const std::function<void(const std::string &)> &Hook) {
    Fixture.configureGroups();
    bool IsFirst = true;
    Fixture.m_Context.m_OnLongPrompt = [&](const std::string &Server,
                                           Duration) {
      if (std::exchange(IsFirst, false))
        Hook(Server);
    };
    const ScriptedServer::Response Stream{
        "HTTP/1.1 200 OK\r\nX-Id: 77\r\nX-Digest: d\r\n"
        "Connection: close\r\n\r\nid: 1\ndata: x\n\n"};
    addResponses(Fixture, 2, Stream, Stream);
    return Fixture.request("X-Model: m\r\nX-Tokens: 900,9\r\n");
  }

  /// Guards against a request that reaches a server because it had been chosen
  /// before the node learned that it leaves.
  void serverThatLeavesBeforeTheFirstByteReceivesNothing() {
    RelayFixture Fixture;
    std::string Chosen;
    const std::string Response =
        requestWithHook(Fixture, [&](const std::string &Server) {
          Chosen = Server;
          Fixture.m_Fleet.setLeaving(Server, 0);
        });
    const bool IsFirst = Chosen == "s1";
    CPPUNIT_ASSERT(Response.find(" 200 ") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, (IsFirst ? Fixture.m_FirstServer
                                                  : Fixture.m_SecondServer)
                                             ->requests()
                                             .size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, (IsFirst ? Fixture.m_SecondServer
                                                  : Fixture.m_FirstServer)
                                             ->requests()
                                             .size());
  }

  /// The process stands still while it connects to a server. Guards against a
  /// request that states the time which was left before the pause.
  void pausedNodeDoesNotSendWhatItDecidedBefore() {
    RelayFixture Fixture;
    const std::string Response =
        requestWithHook(Fixture, [](const std::string &) {
          std::this_thread::sleep_for(milliseconds(400));
        });
    CPPUNIT_ASSERT(Response.find(" 200 ") != std::string::npos);
    std::vector<std::string> Requests = Fixture.m_FirstServer->requests();
    for (const std::string &Request : Fixture.m_SecondServer->requests())
      Requests.push_back(Request);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Requests.size());
    const std::size_t Field = Requests.front().find("X-Left: ");
    CPPUNIT_ASSERT(std::stoi(Requests.front().substr(Field + 8)) <= 300);
  }

  void misdirectedRequestIsNoNotice() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    addResponses(Fixture, 1, shortResponse(421, "X-Leaving: 1\r\n"),
                 shortResponse(421, "X-Leaving: 1\r\n"));
    Fixture.request("", "payout");
    CPPUNIT_ASSERT(!Fixture.m_Fleet.find("s1")->m_Draining);
    CPPUNIT_ASSERT(!Fixture.m_Fleet.find("s2")->m_Draining);
  }

  /// Guards against requests that reach a server which turned one away and
  /// asked for a pause.
  void serverIsSparedForAsLongAsItAsks() {
    struct Case {
      const char *m_Value;
      std::size_t m_MaxRequests;
    };
    for (const Case &Pausing : {Case{"30", 1}, Case{"2.5", 1}, Case{"1e9", 1},
                                Case{"0", 30}, Case{"-3", 30}, Case{"soon", 30},
                                Case{"Fri, 04 Dec 2026 22:10:43 GMT", 30}}) {
      RelayFixture Fixture;
      Fixture.configure(RequestKind::NonIdempotent, 1, false);
      const std::string Fields = std::string("X-Not-Run: 1\r\nRetry-After: ") +
                                 Pausing.m_Value + "\r\n";
      addResponses(Fixture, 40, shortResponse(503, Fields),
                   shortResponse(200, ""));
      for (int I = 0; I < 20; ++I)
        CPPUNIT_ASSERT(Fixture.request("", "payout").find(" 200 ") !=
                       std::string::npos);
      CPPUNIT_ASSERT(Fixture.m_FirstServer->requests().size() <=
                     Pausing.m_MaxRequests);
    }
    CPPUNIT_ASSERT(*parseRequestedPause("1e9") == seconds(120));
    CPPUNIT_ASSERT(*parseRequestedPause("0.25") == milliseconds(250));
  }

  void longestOfSeveralPausesCounts() {
    const auto Pause = [](std::initializer_list<const char *> Values) {
      HttpHeaders Headers;
      for (const char *Value : Values)
        Headers.push_back({"retry-after", Value});
      return requestedPause(Headers);
    };
    CPPUNIT_ASSERT(!Pause({}));
    CPPUNIT_ASSERT(!Pause({"soon", "-1"}));
    CPPUNIT_ASSERT(*Pause({"2", "soon", "7", "3"}) == seconds(7));
  }

  /// The rejection breaks off, or its body has no end. Guards against a pause
  /// that counts only with a complete response.
  void pauseIsReadWithTheHead() {
    for (const ConnectionEnd End :
         {ConnectionEnd::Reset, ConnectionEnd::Close}) {
      RelayFixture Fixture;
      Fixture.configure(RequestKind::Idempotent, 2, false);
      const ScriptedServer::Response Broken{
          "HTTP/1.1 503 Any\r\nX-Id: 77\r\nRetry-After: 20\r\n"
          "Content-Length: 40\r\n\r\npart",
          End};
      addResponses(Fixture, 20, Broken, shortResponse(200, ""));
      for (int I = 0; I < 15; ++I)
        Fixture.request();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           Fixture.m_FirstServer->requests().size());
    }
  }

  /// Guards against callers that wait for servers which have said that they
  /// will take nothing.
  void allServersPausingMeansRejectionAtOnce() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    const ScriptedServer::Response Pause =
        shortResponse(503, "X-Not-Run: 1\r\nRetry-After: 20\r\n");
    addResponses(Fixture, 10, Pause, Pause);
    Fixture.request("", "payout");
    for (int I = 0; I < 5; ++I) {
      const std::string Rejection = Fixture.request("", "payout");
      CPPUNIT_ASSERT(Rejection.find("HTTP/1.1 503 ") != std::string::npos);
      CPPUNIT_ASSERT(Rejection.find("all_paused") != std::string::npos);
      const std::size_t Field = Rejection.find("Retry-After: ");
      CPPUNIT_ASSERT(Field != std::string::npos);
      // The servers come back after 20 s, later by a quarter at most each in
      // the node and at the caller.
      const double Seconds = std::stod(Rejection.substr(Field + 13));
      CPPUNIT_ASSERT(Seconds > 19.0 && Seconds < 20.0 * 1.25 * 1.25);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Fixture.m_FirstServer->requests().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Fixture.m_SecondServer->requests().size());
  }

  /// All servers pause for less time than a request waits for a server. Guards
  /// against rejections of requests that could be served in time.
  void callersWaitForAPauseThatEndsInTime() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    const ScriptedServer::Response Pause =
        shortResponse(503, "X-Not-Run: 1\r\nRetry-After: 0.01\r\n");
    addResponses(Fixture, 1, Pause, Pause);
    addResponses(Fixture, 5, shortResponse(200, ""), shortResponse(200, ""));
    CPPUNIT_ASSERT(Fixture.request("", "payout").find("HTTP/1.1 503 ") !=
                   std::string::npos);
    for (const std::string Id : {"s1", "s2"})
      Fixture.m_Selector.availability().onPauseRequested(
          {Id, 0, {}, {}, std::nullopt}, milliseconds(10), monotonicNow());
    CPPUNIT_ASSERT(Fixture.request("", "payout").find("HTTP/1.1 200 ") !=
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingServerTest);

} // namespace fulmarwinch
