#include "tests/proxy/relay_fixture.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Backend servers that name in their responses how many requests a second they
/// take.
class LimitedServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitedServerTest);
  CPPUNIT_TEST(limitedServerGetsNoMoreThanItTakes);
  CPPUNIT_TEST(limitThatIsNamedDuringTheConnectHoldsTheRequestBack);
  CPPUNIT_TEST(requestsBeyondAllLimitsAreRejectedAtOnce);
  CPPUNIT_TEST(answerWithoutALimitEndsIt);
  CPPUNIT_TEST(misdirectedRequestNamesNoLimit);
  CPPUNIT_TEST_SUITE_END();

  static std::size_t firstRequests(const RelayFixture &Fixture) {
    return Fixture.m_FirstServer->requests().size();
  }

  /// Guards against a server that gets far more requests than the limit that it
  /// names, while others could take them.
  void limitedServerGetsNoMoreThanItTakes() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    addResponses(Fixture, 300, shortResponse(200, "X-Limit: 2.0\r\n"),
                 shortResponse(200, ""));
    const MonotonicTime End = monotonicNow() + seconds(4);
    int Sent = 0;
    for (; Sent < 300 && monotonicNow() < End; ++Sent) {
      CPPUNIT_ASSERT(Fixture.request("", "payout").find(" 200 ") !=
                     std::string::npos);
      Fixture.runFor(milliseconds(10));
    }
    CPPUNIT_ASSERT(Sent > 50);
    // 1.5 times what the limit allows in 4 s, and 5 requests.
    CPPUNIT_ASSERT(firstRequests(Fixture) <= 17);
  }

  /// Guards against a request that reaches a server because it had been chosen
  /// before the node learned of the limit.
  void limitThatIsNamedDuringTheConnectHoldsTheRequestBack() {
    RelayFixture Fixture;
    Fixture.configureGroups();
    std::string Chosen;
    Fixture.m_Context.m_OnLongPrompt = [&](const std::string &Server,
                                           Duration) {
      if (Chosen.empty()) {
        Chosen = Server;
        Fixture.m_Selector.availability().rateLimits().onLimitNamed(
            Server, Fixture.m_Fleet.find(Server)->m_StartedAtMs, 0.0,
            monotonicNow());
      }
    };
    const ScriptedServer::Response Stream{
        "HTTP/1.1 200 OK\r\nX-Id: 77\r\nX-Digest: d\r\n"
        "Connection: close\r\n\r\nid: 1\ndata: x\n\n"};
    addResponses(Fixture, 2, Stream, Stream);
    CPPUNIT_ASSERT(
        Fixture.request("X-Model: m\r\nX-Tokens: 900,9\r\n").find(" 200 ") !=
        std::string::npos);
    const bool IsFirst = Chosen == "s1";
    CPPUNIT_ASSERT_EQUAL(IsFirst ? std::size_t{0} : std::size_t{1},
                         firstRequests(Fixture));
    CPPUNIT_ASSERT_EQUAL(IsFirst ? std::size_t{1} : std::size_t{0},
                         Fixture.m_SecondServer->requests().size());
  }

  /// Guards against callers that wait until their deadline for servers which
  /// take no more requests.
  void requestsBeyondAllLimitsAreRejectedAtOnce() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    const ScriptedServer::Response Limited =
        shortResponse(200, "X-Limit: 0.1\r\nX-Limit: 3\r\n");
    addResponses(Fixture, 50, Limited, Limited);
    int Served = 0;
    for (int I = 0; I < 40; ++I) {
      const MonotonicTime SentAt = monotonicNow();
      const std::string Received = Fixture.request("", "payout");
      if (Received.find(" 200 ") != std::string::npos) {
        ++Served;
        continue;
      }
      CPPUNIT_ASSERT(Received.find(" 503 ") != std::string::npos);
      CPPUNIT_ASSERT(Received.find("all_rate_limited") != std::string::npos);
      CPPUNIT_ASSERT(Received.find("Retry-After: ") != std::string::npos);
      CPPUNIT_ASSERT(monotonicNow() - SentAt < milliseconds(200));
    }
    CPPUNIT_ASSERT(Served >= 2 && Served <= 6);
  }

  static bool isLimited(const RelayFixture &Fixture,
                        const std::string &Server) {
    return Fixture.m_Selector.availability().rateLimits().isLimited(
        Server, 0, monotonicNow());
  }

  void answerWithoutALimitEndsIt() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    addResponses(Fixture, 1, shortResponse(200, "X-Limit: 5\r\n"),
                 shortResponse(200, "X-Limit: 5\r\n"));
    addResponses(Fixture, 400, shortResponse(200, ""), shortResponse(200, ""));
    const MonotonicTime End = monotonicNow() + seconds(4);
    const auto AreBothUsed = [&] {
      return firstRequests(Fixture) > 1 &&
             Fixture.m_SecondServer->requests().size() > 1;
    };
    while (!AreBothUsed() && monotonicNow() < End) {
      Fixture.request("", "payout");
      Fixture.runFor(milliseconds(10));
    }
    for (const char *Server : {"s1", "s2"})
      CPPUNIT_ASSERT(!isLimited(Fixture, Server));
  }

  /// Another process at the address answered.
  void misdirectedRequestNamesNoLimit() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    addResponses(Fixture, 1, shortResponse(421, "X-Limit: 1\r\n"),
                 shortResponse(421, "X-Limit: 1\r\n"));
    Fixture.request("", "payout");
    for (const char *Server : {"s1", "s2"})
      CPPUNIT_ASSERT(
          Fixture.m_Selector.availability().rateLimits().nextRequestAt(
              Server, 0, monotonicNow()) == MonotonicTime{});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitedServerTest);

} // namespace fulmarwinch
