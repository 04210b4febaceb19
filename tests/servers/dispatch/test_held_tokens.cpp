#include "servers/dispatch/server_selector.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Servers that are close to the capacity of their KV cache.
class HeldTokensTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeldTokensTest);
  CPPUNIT_TEST(tokensOfAllNodesAreEstimated);
  CPPUNIT_TEST(fullServerReceivesNoRequest);
  CPPUNIT_TEST_SUITE_END();

  MonotonicTime m_Now{std::chrono::seconds(1000)};

  /// Guards against a total that ignores the requests of the peers, or of nodes
  /// whose reports are missing, and against tokens that stay after their
  /// request has ended.
  void tokensOfAllNodesAreEstimated() {
    HeldTokens Held;
    Held.onDispatched("s", "m", 1000);
    Held.onDispatched("s", "m", 3000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4000}, Held.own("s"));
    const double Mean = Held.total("s", "m", {1.0, 0.0}, 10) - 4000.0;
    CPPUNIT_ASSERT(Mean > 1000.0 && Mean < 3000.0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(8000.0 + 2 * Mean,
                                 Held.total("s", "m", {2.0, 1.0}, 10), 0.1);
    // Requests of a model that this node has not sent count like its own one.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4030.0,
                                 Held.total("s", "other", {3.0, 0.0}, 10), 0.1);
    CPPUNIT_ASSERT(Held.fits(0, "s", "m", {1000.0, 0.0}, 100000));
    CPPUNIT_ASSERT(Held.fits(10000, "s", "m", {0.0, 0.0}, 5000));
    CPPUNIT_ASSERT(!Held.fits(10000, "s", "m", {0.0, 0.0}, 5001));
    Held.onEnded("s", 3000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000}, Held.own("s"));
    Held.onEnded("s", 1000);
    Held.onEnded("s", 1000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Held.ownTotal());
  }

  /// Guards against a request that makes a server crash: its memory holds fewer
  /// tokens than long prompts in all slots have.
  void fullServerReceivesNoRequest() {
    FleetView Fleet;
    ServerSelector Selector;
    ServiceSpec Service;
    Service.m_Name = "llm";
    Service.m_Engine.m_Slots = 20;
    Service.m_Engine.m_KvCapacityTokens = 20000;
    Service.m_Engine.m_Models = {
        {"m", 1, 1.0, 1.0, std::chrono::seconds(16), std::chrono::seconds(1)}};
    BackendServer Server;
    Server.m_Id = "s";
    Server.m_Service = "llm";
    Server.m_Membership =
        GroupMembership{{"m.1.1", 1}, 0, GroupMemberState::Open};
    Server.m_Position = 1;
    Fleet.update(Server, m_Now);
    ServerQuery Query;
    Query.m_Service = &Service;
    Query.m_Model = "m";
    Query.m_Request.m_PromptTokens = 4000;
    Query.m_Request.m_OutputTokens = 1000;
    Query.m_Now = m_Now;
    for (int Request = 0; Request < 2; ++Request) {
      CPPUNIT_ASSERT(Selector.choose(Fleet, Query));
      Selector.onDispatched("s", m_Now, "m", 5000);
    }
    Selector.setPeerInFlight("n2", {{"s", 1}});
    CPPUNIT_ASSERT(!Selector.choose(Fleet, Query));
    CPPUNIT_ASSERT(Selector.noServerReason() == NoServerReason::AllFull);
    CPPUNIT_ASSERT_EQUAL(std::string("tokens:1"), Selector.passedOver());
    Selector.onRequestEnded("s", 5000);
    CPPUNIT_ASSERT(Selector.choose(Fleet, Query));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldTokensTest);

} // namespace fulmarwinch
