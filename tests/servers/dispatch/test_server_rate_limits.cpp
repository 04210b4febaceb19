#include "servers/dispatch/rate_limit_codec.h"
#include "servers/dispatch/server_rate_limits.h"

#include "cppunit/extensions/HelperMacros.h"

#include <deque>
#include <random>

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Servers that name a limit for the requests of all nodes together.
class ServerRateLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerRateLimitsTest);
  CPPUNIT_TEST(nodesTogetherStayWithinTheLimit);
  CPPUNIT_TEST(nodesWithDifferentViewsStayWithinTheLimit);
  CPPUNIT_TEST(limitIsUsed);
  CPPUNIT_TEST(limitEndsWithTheAnswerToALaterRequest);
  CPPUNIT_TEST(anotherProcessHasNoLimit);
  CPPUNIT_TEST(probesUseTheShareOfTheirNode);
  CPPUNIT_TEST(peersLearnThatALimitHasBegunAndEnded);
  CPPUNIT_TEST(limitThatNobodyHearsAgainIsForgotten);
  CPPUNIT_TEST(eachFormOfALimitHasADefinedResult);
  CPPUNIT_TEST(malformedStatementsAreSkipped);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::int64_t Started = 5;
  static constexpr Duration Window = seconds(4);
  MonotonicTime m_Now{seconds(1000)};
  std::minstd_rand m_Random{7};

  static std::vector<std::string> nodeNames(std::size_t Count) {
    std::vector<std::string> Names;
    for (std::size_t I = 0; I < Count; ++I)
      Names.push_back("n" + std::to_string(I));
    return Names;
  }

  /// Returns nodes of which each misses \p LostShare of the others.
  std::vector<ServerRateLimits> newNodes(std::size_t Count, double LostShare) {
    const std::vector<std::string> Names = nodeNames(Count);
    std::vector<ServerRateLimits> Nodes(Count);
    std::uniform_real_distribution<double> Draw(0.0, 1.0);
    for (std::size_t I = 0; I < Count; ++I) {
      std::vector<std::string> Live;
      for (std::size_t Other = 0; Other < Count; ++Other)
        if (Other == I || Draw(m_Random) >= LostShare)
          Live.push_back(Names[Other]);
      Nodes[I].setNodes(Names[I], Count, std::move(Live));
    }
    return Nodes;
  }

  /// Lets all nodes send as often as they may for \p Length. Returns the
  /// greatest number of requests that reach the server within one window.
  std::size_t mostInOneWindow(std::vector<ServerRateLimits> &Nodes,
                              double Limit, Duration Length) {
    for (ServerRateLimits &Node : Nodes)
      CPPUNIT_ASSERT(Node.onLimitNamed("s", Started, Limit, m_Now));
    const MonotonicTime End = m_Now + Length;
    std::deque<MonotonicTime> Arrivals;
    std::size_t Most = 0;
    for (; m_Now < End; m_Now += milliseconds(20))
      for (ServerRateLimits &Node : Nodes)
        if (Node.tryAcquire("s", Started, m_Now)) {
          CPPUNIT_ASSERT(!Node.onLimitNamed("s", Started, Limit, m_Now));
          Arrivals.push_back(m_Now);
          while (m_Now - Arrivals.front() >= Window)
            Arrivals.pop_front();
          Most = std::max(Most, Arrivals.size());
        }
    return Most;
  }

  static double allowedInOneWindow(double Limit) {
    constexpr double Excess = 1.5;
    constexpr double Slack = 5.0;
    return Excess * Limit * std::chrono::duration<double>(Window).count() +
           Slack;
  }

  /// Guards against a server that gets more requests than it takes because each
  /// node acts on its own.
  void nodesTogetherStayWithinTheLimit() {
    for (const std::size_t Count : {1U, 2U, 9U, 95U, 1000U})
      for (const double Limit : {0.0, 0.3, 1.0, 4.7, 40.0, 900.0}) {
        std::vector<ServerRateLimits> Nodes = newNodes(Count, 0.0);
        CPPUNIT_ASSERT(
            static_cast<double>(mostInOneWindow(Nodes, Limit, seconds(30))) <=
            allowedInOneWindow(Limit));
      }
  }

  /// Each node misses some messages of its peers. Guards against a limit that
  /// holds only while all nodes agree who is alive.
  void nodesWithDifferentViewsStayWithinTheLimit() {
    for (const std::size_t Count : {9U, 95U})
      for (const double Limit : {0.0, 1.0, 4.7, 20.0}) {
        std::vector<ServerRateLimits> Nodes = newNodes(Count, 0.15);
        CPPUNIT_ASSERT(
            static_cast<double>(mostInOneWindow(Nodes, Limit, seconds(30))) <=
            allowedInOneWindow(Limit));
      }
  }

  /// Guards against a limit that is kept by sending next to nothing.
  void limitIsUsed() {
    for (const std::size_t Count : {1U, 9U, 95U})
      for (const double Limit : {1.0, 4.7, 40.0}) {
        std::vector<ServerRateLimits> Nodes = newNodes(Count, 0.0);
        CPPUNIT_ASSERT(
            static_cast<double>(mostInOneWindow(Nodes, Limit, seconds(30))) >=
            Limit * std::chrono::duration<double>(Window).count() * 0.8);
      }
  }

  bool maySend(const ServerRateLimits &Node,
               std::int64_t StartedAtMs = Started) const {
    return Node.nextRequestAt("s", StartedAtMs, m_Now) <= m_Now;
  }

  /// Guards against a limit that an answer ends which the server had sent
  /// before it named the limit.
  void limitEndsWithTheAnswerToALaterRequest() {
    ServerRateLimits Node;
    const MonotonicTime BeforeLimit = m_Now;
    m_Now += milliseconds(50);
    CPPUNIT_ASSERT(Node.onLimitNamed("s", Started, 0.0, m_Now));
    m_Now += milliseconds(50);
    CPPUNIT_ASSERT(!Node.onNoLimitNamed("s", Started, BeforeLimit));
    CPPUNIT_ASSERT(!maySend(Node));
    CPPUNIT_ASSERT(!Node.onNoLimitNamed("s", Started + 1, m_Now));
    CPPUNIT_ASSERT(Node.onNoLimitNamed("s", Started, m_Now));
    CPPUNIT_ASSERT(maySend(Node));
    CPPUNIT_ASSERT(!Node.onNoLimitNamed("s", Started, m_Now));
  }

  void anotherProcessHasNoLimit() {
    ServerRateLimits Node;
    Node.onLimitNamed("s", Started, 0.0, m_Now);
    CPPUNIT_ASSERT(!maySend(Node));
    CPPUNIT_ASSERT(maySend(Node, Started + 1));
    CPPUNIT_ASSERT(Node.tryAcquire("s", Started + 1, m_Now));
    CPPUNIT_ASSERT(Node.tryAcquire("s", Started + 1, m_Now));
  }

  /// Guards against requests that exceed a limit together with the probes and
  /// orders of their node.
  void probesUseTheShareOfTheirNode() {
    ServerRateLimits Node;
    Node.setNodes("n", 1, {"n"});
    Node.onLimitNamed("s", Started, 1.0, m_Now);
    m_Now += seconds(2);
    CPPUNIT_ASSERT(maySend(Node));
    Node.onUnlimitedCall("s", Started, m_Now);
    CPPUNIT_ASSERT(!maySend(Node));
    CPPUNIT_ASSERT(!Node.tryAcquire("s", Started, m_Now));
  }

  /// Guards against nodes without a share of the limit, which hear nothing from
  /// the server itself and would spare it for good.
  void peersLearnThatALimitHasBegunAndEnded() {
    ServerRateLimits Sender;
    ServerRateLimits Peer;
    const auto Exchange = [&] {
      Peer.mergePeerStatements(
          parseRateLimitStatements(toJson(Sender.ownStatements(m_Now))), m_Now);
    };
    Sender.onLimitNamed("s", Started, 0.0, m_Now);
    Exchange();
    CPPUNIT_ASSERT(!maySend(Peer));
    CPPUNIT_ASSERT(Peer.ownStatements(m_Now).empty());
    m_Now += seconds(9);
    Sender.onNoLimitNamed("s", Started, m_Now);
    m_Now += seconds(1);
    Exchange();
    CPPUNIT_ASSERT(maySend(Peer));

    // An older statement of another node does not bring the limit back.
    ServerRateLimits Late;
    Late.onLimitNamed("s", Started, 0.0, m_Now - seconds(5));
    Peer.mergePeerStatements(Late.ownStatements(m_Now), m_Now);
    CPPUNIT_ASSERT(maySend(Peer));
  }

  void limitThatNobodyHearsAgainIsForgotten() {
    ServerRateLimits Node;
    Node.setNodes("n", 2, {"n", "m"});
    Node.onLimitNamed("s", Started, 0.0, m_Now);
    m_Now += seconds(61);
    CPPUNIT_ASSERT(maySend(Node));
    CPPUNIT_ASSERT(Node.ownStatements(m_Now).empty());
  }

  void eachFormOfALimitHasADefinedResult() {
    for (const char *Malformed : {"", "-1", "soon", "5 per second", "nan"})
      CPPUNIT_ASSERT(!parseRateLimit(Malformed));
    CPPUNIT_ASSERT_EQUAL(0.0, *parseRateLimit("0"));
    CPPUNIT_ASSERT_EQUAL(2.5, *parseRateLimit(" 2.5"));
    for (const char *Huge : {"1e300", "inf"}) {
      ServerRateLimits Node;
      Node.setNodes("n", 2, {"n", "m"});
      Node.onLimitNamed("s", Started, *parseRateLimit(Huge), m_Now);
      m_Now += milliseconds(1);
      CPPUNIT_ASSERT(maySend(Node));
    }
  }

  void malformedStatementsAreSkipped() {
    const Json Value{{"a", {5, 1, 2.5}}, {"b", {5, 1}},      {"c", {5}},
                     {"d", "x"},         {"e", {5, 1, "x"}}, {"f", {5, 1, -1}},
                     {"g", {"x", 1}}};
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         parseRateLimitStatements(Value).size());
    CPPUNIT_ASSERT(parseRateLimitStatements(Json::array()).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerRateLimitsTest);

} // namespace fulmarwinch
