#ifndef FULMARWINCH_PROXY_FRONT_NODE_H
#define FULMARWINCH_PROXY_FRONT_NODE_H

#include "core/event_log.h"
#include "proxy/front_settings.h"
#include "proxy/platform_binding.h"

#include "asio/io_context.hpp"

#include <memory>

namespace fulmarwinch {

/// A node that serves clients: listeners, watches of the platform's store, the
/// exchange with its peers and group formation, all on one event loop.
class FrontNode {
public:
  /// The arguments must outlive the node.
  FrontNode(asio::io_context &Loop, EventLog &Log,
            const FrontSettings &Settings, const PlatformBinding &Platform);
  ~FrontNode();
  FrontNode(const FrontNode &) = delete;
  FrontNode &operator=(const FrontNode &) = delete;

  void start();
  /// Stops being ready, finishes the work at hand and then stops the loop.
  void drain();

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_FRONT_NODE_H
