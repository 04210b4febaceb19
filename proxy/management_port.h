#ifndef FULMARWINCH_PROXY_MANAGEMENT_PORT_H
#define FULMARWINCH_PROXY_MANAGEMENT_PORT_H

#include "proxy/client_guard.h"

#include <functional>

namespace fulmarwinch {

/// Port on which a node answers requests about itself, without bodies, such as
/// readiness probes. Its connections and memory have limits of their own, so
/// that neither it nor the port for clients takes those of the other. Used by
/// one thread only.
class ManagementPort {
public:
  /// At this number of connections, idle ones are closed for further ones.
  static constexpr std::size_t MaxConnections = 16;
  /// Memory of all connections together.
  static constexpr std::size_t MaxBytes = std::size_t{2} * 1024 * 1024;

  using Handler =
      std::function<void(ClientConnection &, const ClientRequest &)>;

  /// Listens at \p Address. \p Handle must respond to each request before it
  /// returns.
  ManagementPort(asio::io_context &Loop, const Endpoint &Address,
                 Metrics &Registry, Handler Handle);

  /// Closes connections that do not read if they hold too much. Call it every
  /// few tens of milliseconds.
  void tick(MonotonicTime Now) { m_Guard.tick(Now); }

private:
  ConnectionHooks hooks(Handler Handle);

  std::shared_ptr<ClientMemory> m_Memory = std::make_shared<ClientMemory>();
  ClientGuard m_Guard;
  HttpListener m_Listener;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_MANAGEMENT_PORT_H
