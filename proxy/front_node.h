#ifndef FULMARWINCH_PROXY_FRONT_NODE_H
#define FULMARWINCH_PROXY_FRONT_NODE_H

#include "core/event_log.h"
#include "proxy/front_settings.h"
#include "proxy/platform_binding.h"

#include "asio/io_context.hpp"

#include <memory>

namespace fulmarwinch {

/// A node that serves clients. It runs the HTTP listeners, the watches on the
/// platform's store, the message exchange with peer nodes and the formation of
/// backend groups on one event loop.
class FrontNode {
public:
  /// \p Loop, \p Log and \p Platform must outlive the node.
  FrontNode(asio::io_context &Loop, EventLog &Log,
            const FrontSettings &Settings, const PlatformBinding &Platform);
  ~FrontNode();
  FrontNode(const FrontNode &) = delete;
  FrontNode &operator=(const FrontNode &) = delete;

  /// Opens the listeners, registers the node and starts the watches.
  void start();
  /// Starts a graceful shutdown: fails readiness probes, completes the requests
  /// in progress within the grace period and then stops the event loop.
  void drain();

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_FRONT_NODE_H
