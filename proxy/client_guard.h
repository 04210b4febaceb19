#ifndef FULMARWINCH_PROXY_CLIENT_GUARD_H
#define FULMARWINCH_PROXY_CLIENT_GUARD_H

#include "core/event_log.h"
#include "core/metrics.h"
#include "proxy/front_settings.h"
#include "proxy/http_listener.h"

#include <functional>
#include <memory>
#include <string_view>

namespace fulmarwinch {

/// Keeps the memory and the descriptors that clients use within the limits of
/// the machine: closes connections, and states when requests must be rejected.
/// Used by one thread only.
class ClientGuard {
public:
  /// \p RequestsInProgress returns the number of requests, each of which may
  /// have a connection to a server.
  ClientGuard(const FrontSettings &Settings, EventLog &Log, Metrics &Registry,
              std::shared_ptr<ClientMemory> Memory,
              std::function<std::size_t()> RequestsInProgress);

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

  EventLog &m_Log;
  Metrics &m_Metrics;
  std::shared_ptr<ClientMemory> m_Memory;
  std::function<std::size_t()> m_RequestsInProgress;
  /// Limit of the descriptors for clients and servers together.
  std::size_t m_MaxDescriptors;
  HttpListener *m_Listener = nullptr;
  MonotonicTime m_NextSampleAt{};
  MonotonicTime m_NextEvictionAt{};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_CLIENT_GUARD_H
