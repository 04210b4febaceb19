#include "tests/proxy/peer_pair.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::milliseconds;

/// Slow servers in the load messages between nodes.
class PeerSpeedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerSpeedTest);
  CPPUNIT_TEST(peersLearnOfSlowServers);
  CPPUNIT_TEST_SUITE_END();

  static double slowness(PeerPair::Node &Of) {
    BackendServer Server;
    Server.m_Id = "s";
    Of.m_Selector.speed().refresh(monotonicNow());
    return Of.m_Selector.speed().slowness(Server);
  }

  /// Guards against a slow server that one node has found and to which the
  /// others go on sending as much as to its peers, and against a server that
  /// stays slow for them once the node that found it reports nothing more.
  void peersLearnOfSlowServers() {
    PeerPair Nodes;
    const auto Serve = [&](const std::string &Id, Duration Observed) {
      ChosenServer Server;
      Server.m_Id = Id;
      const MonotonicTime Now = monotonicNow();
      FirstEventWait Wait = Nodes.m_First.m_Selector.speed().beginWait(
          "llm/m", milliseconds(100), Now - Observed);
      Nodes.m_First.m_Selector.speed().onFirstEvent(Wait, Server, Now);
    };
    for (int I = 0; I < 8; ++I)
      Serve("other", milliseconds(100));
    for (int I = 0; I < 3; ++I)
      Serve("s", milliseconds(900));
    CPPUNIT_ASSERT(
        Nodes.runUntil([&] { return slowness(Nodes.m_Second) > 2.0; }));
    // The samples lose their weight.
    CPPUNIT_ASSERT(
        Nodes.runUntil([&] { return slowness(Nodes.m_Second) == 1.0; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerSpeedTest);

} // namespace fulmarwinch
