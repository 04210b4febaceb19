#ifndef FULMARWINCH_NODE_NODE_H
#define FULMARWINCH_NODE_NODE_H

#include "node/node_settings.h"

#include "absl/status/status.h"

#include <memory>

namespace fulmarwinch {

/// One node: the request path, the control plane and the operator endpoints.
class Node {
public:
  explicit Node(const NodeSettings &Settings);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  absl::Status start();

  /// Shuts down gracefully: first /readyz fails while new requests are still
  /// accepted for the grace period, then the requests in progress finish and
  /// the leases are released. Blocks until the node has stopped.
  void shutDown();

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_NODE_H
