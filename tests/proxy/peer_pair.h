#ifndef FULMARWINCH_TESTS_PROXY_PEER_PAIR_H
#define FULMARWINCH_TESTS_PROXY_PEER_PAIR_H

#include "proxy/peer_exchange.h"
#include "tests/support/free_port.h"

#include "asio.hpp"

#include <fcntl.h>
#include <functional>
#include <string>

namespace fulmarwinch {

/// Two nodes `n1` and `n2` that exchange messages on loopback.
struct PeerPair {
  struct Node {
    Node(PeerPair &Pair, const std::string &Name, std::uint16_t Port)
        : m_Exchange(Pair.m_Loop, Pair.m_Log, m_Selector, Name,
                     {{"127.0.0.1", Port}, "a", 0.0}) {
      m_Exchange.start([](const StallReport &) {},
                       [](const std::vector<PoisonRecord> &) {},
                       [](const Json &, Duration) {});
    }

    ServerSelector m_Selector;
    PeerExchange m_Exchange;
  };

  PeerPair() {
    const std::map<std::string, PeerAddress> Peers{
        {"n1", {{"127.0.0.1", m_FirstPort}, "a", 0.0}},
        {"n2", {{"127.0.0.1", m_SecondPort}, "a", 0.0}}};
    m_First.m_Exchange.setPeers(Peers);
    m_Second.m_Exchange.setPeers(Peers);
  }

  /// Runs both nodes until \p Done returns true, for ten seconds at most.
  /// Returns what it returned last.
  bool runUntil(const std::function<bool()> &Done) {
    for (const MonotonicTime End = monotonicNow() + std::chrono::seconds(10);
         monotonicNow() < End && !Done();) {
      m_Loop.restart();
      m_Loop.run_for(std::chrono::milliseconds(20));
    }
    return Done();
  }

  asio::io_context m_Loop;
  EventLog m_Log{open("/dev/null", O_WRONLY)};
  const std::uint16_t m_FirstPort = findFreePort();
  const std::uint16_t m_SecondPort = findFreePort();
  Node m_First{*this, "n1", m_FirstPort};
  Node m_Second{*this, "n2", m_SecondPort};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_TESTS_PROXY_PEER_PAIR_H
