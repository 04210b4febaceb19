#include "proxy/peer_exchange.h"
#include "tests/support/free_port.h"

#include "asio.hpp"
#include "cppunit/extensions/HelperMacros.h"

#include <fcntl.h>
#include <unistd.h>

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Slow servers in the load messages between nodes.
class PeerSpeedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerSpeedTest);
  CPPUNIT_TEST(peersLearnOfSlowServers);
  CPPUNIT_TEST_SUITE_END();

  struct Node {
    Node(asio::io_context &Loop, EventLog &Log, const std::string &Name,
         std::uint16_t Port)
        : m_Exchange(Loop, Log, m_Selector, Name,
                     {{"127.0.0.1", Port}, "a", 0.0}) {
      m_Exchange.start([](const StallReport &) {},
                       [](const std::vector<PoisonRecord> &) {},
                       [](const Json &, Duration) {});
    }

    ServerSelector m_Selector;
    PeerExchange m_Exchange;
  };

  static double slowness(Node &Of) {
    BackendServer Server;
    Server.m_Id = "s";
    Of.m_Selector.speed().refresh(monotonicNow());
    return Of.m_Selector.speed().slowness(Server);
  }

  static bool runUntil(asio::io_context &Loop,
                       const std::function<bool()> &Done) {
    for (const MonotonicTime End = monotonicNow() + seconds(10);
         monotonicNow() < End && !Done();) {
      Loop.restart();
      Loop.run_for(milliseconds(20));
    }
    return Done();
  }

  /// Guards against a slow server that one node has found and to which the
  /// others go on sending as much as to its peers, and against a server that
  /// stays slow for them once the node that found it reports nothing more.
  void peersLearnOfSlowServers() {
    asio::io_context Loop;
    const int Descriptor = ::open("/dev/null", O_WRONLY);
    EventLog Log(Descriptor);
    const std::uint16_t FirstPort = findFreePort();
    const std::uint16_t SecondPort = findFreePort();
    Node First(Loop, Log, "n1", FirstPort);
    Node Second(Loop, Log, "n2", SecondPort);
    const std::map<std::string, PeerAddress> Peers{
        {"n1", {{"127.0.0.1", FirstPort}, "a", 0.0}},
        {"n2", {{"127.0.0.1", SecondPort}, "a", 0.0}}};
    First.m_Exchange.setPeers(Peers);
    Second.m_Exchange.setPeers(Peers);
    const auto Serve = [&](const std::string &Id, Duration Observed) {
      ChosenServer Server;
      Server.m_Id = Id;
      const MonotonicTime Now = monotonicNow();
      FirstEventWait Wait = First.m_Selector.speed().beginWait(
          "llm/m", milliseconds(100), Now - Observed);
      First.m_Selector.speed().onFirstEvent(Wait, Server, Now);
    };
    for (int I = 0; I < 8; ++I)
      Serve("other", milliseconds(100));
    for (int I = 0; I < 3; ++I)
      Serve("s", milliseconds(900));
    CPPUNIT_ASSERT(runUntil(Loop, [&] { return slowness(Second) > 2.0; }));
    // The samples lose their weight.
    CPPUNIT_ASSERT(runUntil(Loop, [&] { return slowness(Second) == 1.0; }));
    ::close(Descriptor);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerSpeedTest);

} // namespace fulmarwinch
