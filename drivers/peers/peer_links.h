#ifndef FULMARWINCH_DRIVERS_PEERS_PEER_LINKS_H
#define FULMARWINCH_DRIVERS_PEERS_PEER_LINKS_H

#include "core/time.h"

#include "absl/status/status.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fulmarwinch {

struct PeerLinkOptions {
  /// IP address and port to listen on; port 0 lets the system choose.
  std::string m_Address = "127.0.0.1";
  std::uint16_t m_Port = 0;
  /// Larger messages close the link.
  std::size_t m_MaxMessageBytes = std::size_t(256) * 1024;
  /// A message that does not fit into the waiting bytes of its link is
  /// dropped: membership and its topics repeat what matters.
  std::size_t m_MaxQueuedBytes = std::size_t(1024) * 1024;
  /// Links without traffic are closed after this time, and a connection has
  /// to be open within it. Also the link timeout of design.md, 4.3.
  Duration m_LinkTimeout = std::chrono::seconds(2);
  /// Pause after a failed connection; doubles up to the maximum, with jitter.
  Duration m_ReconnectPause = std::chrono::milliseconds(100);
  Duration m_MaxReconnectPause = std::chrono::seconds(5);
};

/// Links to other nodes over WebSocket with binary messages.
class PeerLinks {
public:
  /// Receives a message; called on the thread of the links.
  using MessageHandler = std::function<void(const std::string &Bytes)>;

  PeerLinks(PeerLinkOptions Options, MessageHandler OnMessage);
  ~PeerLinks();
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;

  /// Listens and starts the thread.
  absl::Status start();
  /// Closes all links and ends the thread. Not to be called on that thread.
  void stop();

  /// Sends to "<ip>:<port>" over its link, which is opened if needed. May be
  /// called on any thread.
  void send(std::string Address, std::string Bytes);

  std::uint16_t port() const;
  /// Number of outgoing links that are open.
  std::size_t openLinks() const;
  /// Number of messages that were dropped, for any reason.
  std::uint64_t droppedMessages() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_PEERS_PEER_LINKS_H
