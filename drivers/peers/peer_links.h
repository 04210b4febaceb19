#ifndef FULMARWINCH_DRIVERS_PEERS_PEER_LINKS_H
#define FULMARWINCH_DRIVERS_PEERS_PEER_LINKS_H

#include "core/time.h"

#include "absl/status/status.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fulmarwinch {

/// Listening address, limits and timeouts of the peer links of one node.
struct PeerLinkOptions {
  /// IP address and port to listen on; with port 0 the operating system chooses
  /// a free port.
  std::string m_Address = "127.0.0.1";
  std::uint16_t m_Port = 0;
  /// Largest message in bytes. send() drops a larger one; a link over which a
  /// larger one arrives is closed.
  std::size_t m_MaxMessageBytes = std::size_t(256) * 1024;
  /// Limit on the bytes queued for one link. A message that would exceed it is
  /// dropped; the membership protocol and its topics send their state again
  /// later.
  std::size_t m_MaxQueuedBytes = std::size_t(1024) * 1024;
  /// Time without traffic after which a link is closed, and timeout of its
  /// opening and closing handshakes. It is also the link timeout of
  /// docs/design.md, section 4.3.
  Duration m_LinkTimeout = std::chrono::seconds(2);
  /// Delay before the first attempt to reconnect. Each further failure doubles
  /// it up to the maximum, and jitter shortens it by up to a half.
  Duration m_MinReconnectDelay = std::chrono::milliseconds(100);
  Duration m_MaxReconnectDelay = std::chrono::seconds(5);
};

/// Sends binary messages to other nodes and receives theirs, over WebSocket
/// connections that are opened when needed and closed when idle. Messages may
/// be lost.
class PeerLinks {
public:
  /// Called with each received message, on the thread of the links.
  using MessageHandler = std::function<void(const std::string &Bytes)>;

  PeerLinks(PeerLinkOptions Options, MessageHandler OnMessage);
  ~PeerLinks();
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;

  /// Listens on the address and starts the thread. Returns an error that names
  /// the address if listening on it fails.
  absl::Status start();
  /// Closes all links and joins the thread. Must not be called on that thread.
  void stop();

  /// Queues \p Bytes for the peer at \p Address, "<ip>:<port>", and opens a
  /// link to it if there is none. The message is dropped if the host is not an
  /// IP address or a limit is exceeded. May be called on any thread.
  void send(std::string Address, std::string Bytes);

  /// Port on which start() listens, 0 before.
  std::uint16_t port() const;
  /// Number of outgoing links whose connection is open.
  std::size_t openLinkCount() const;
  /// Number of outgoing messages dropped since the start, for any reason.
  std::uint64_t droppedMessageCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_PEERS_PEER_LINKS_H
