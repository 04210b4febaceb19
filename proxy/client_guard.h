#ifndef FULMARWINCH_PROXY_CLIENT_GUARD_H
#define FULMARWINCH_PROXY_CLIENT_GUARD_H

#include "core/metrics.h"
#include "proxy/http_listener.h"

#include <functional>
#include <limits>
#include <memory>
#include <string_view>

namespace fulmarwinch {

/// Connections that were closed to free memory or descriptors.
struct ClosedClients {
  /// "memory" or "descriptors".
  std::string_view m_Cause;
  std::size_t m_Count = 0;
  std::size_t m_ReleasedBytes = 0;
  std::size_t m_HeldBytes = 0;
  std::size_t m_ByteLimit = 0;
  std::size_t m_Descriptors = 0;
  /// Time since which the first of them has been idle or has not read.
  Duration m_FirstSince{0};
};

struct ClientGuardOptions {
  /// Limit of the descriptors for clients and servers together.
  std::size_t m_MaxDescriptors = std::numeric_limits<std::size_t>::max();
  std::shared_ptr<ClientMemory> m_Memory;
  /// Returns the number of connections to servers that requests may have.
  std::function<std::size_t()> m_CountCalls = [] { return 0; };
  std::function<void(const ClosedClients &)> m_OnClosed =
      [](const ClosedClients &) {};
};

/// Keeps the memory and the descriptors that clients use within the limits of
/// the machine: closes connections, and states when requests must be rejected.
/// Used by one thread only.
class ClientGuard {
public:
  ClientGuard(ClientGuardOptions Options, Metrics &Registry);

  /// \p Listener must outlive its use here.
  void setListener(HttpListener &Listener) { m_Listener = &Listener; }

  /// Closes connections if the clients that do not read hold too much. Call it
  /// every few tens of milliseconds.
  void tick(MonotonicTime Now);
  /// True if a descriptor is left for a further connection. Closes unused
  /// connections if there is none.
  bool mayAccept();
  /// Returns what is missing for a request that has just begun, as the cause of
  /// its rejection; empty if nothing.
  std::string_view findShortage();
  /// True if a descriptor is left without closing a connection.
  bool hasSpareDescriptor() const;
  /// Sets the metrics of this object.
  void setGauges();

private:
  std::size_t descriptorsInUse() const;
  /// Frees descriptors until \p Count are left, if that is possible.
  bool freeDescriptors(std::size_t Count);
  void closeConnections(
      const std::vector<std::shared_ptr<ClientConnection>> &Connections,
      const std::vector<ConnectionState> &States,
      const std::vector<std::size_t> &Chosen, std::string_view Cause,
      MonotonicTime Now);

  ClientGuardOptions m_Options;
  Metrics &m_Metrics;
  HttpListener *m_Listener = nullptr;
  MonotonicTime m_NextSampleAt{};
  MonotonicTime m_NextEvictionAt{};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_CLIENT_GUARD_H
