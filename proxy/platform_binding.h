#ifndef FULMARWINCH_PROXY_PLATFORM_BINDING_H
#define FULMARWINCH_PROXY_PLATFORM_BINDING_H

#include "core/object_feed.h"
#include "core/object_store.h"
#include "proxy/header_names.h"
#include "servers/fleet/backend_server.h"
#include "servers/replicas/member_order.h"
#include "servers/routes/traffic_configuration.h"

#include "absl/status/statusor.h"

#include <functional>
#include <string>

namespace fulmarwinch {

/// Platform-specific names, paths and functions that a front node uses. The
/// platform adapter supplies them.
struct PlatformBinding {
  HeaderNames m_HeaderNames;
  /// Path of this node's readiness probe.
  std::string m_ReadinessPath;
  /// Path of a backend server that receives orders to group members.
  std::string m_OrderPath;
  /// Path of a backend server that returns its load report.
  std::string m_LoadReportPath;
  /// Kinds of the store's objects that the operator and the backend servers
  /// write.
  std::string m_ServerKind;
  std::string m_ConfigurationKind;
  /// Name of the object with the current traffic configuration.
  std::string m_ConfigurationName;
  std::string m_EvacuationKind;
  /// Lists and watches the store's objects.
  ObjectFeed *m_ObjectFeed = nullptr;
  /// Starts one read or conditional write of the store.
  std::function<void(StoreAction, std::function<void(StoreCompletion)>)>
      m_StartStoreCall;
  std::function<absl::StatusOr<BackendServer>(const StoredObject &)>
      m_DecodeServer;
  std::function<absl::StatusOr<TrafficConfiguration>(const StoredObject &)>
      m_DecodeConfiguration;
  std::function<std::string(const MemberOrder &)> m_EncodeOrder;
  /// Reads the state of a server that orders are decided on from its load
  /// report; nothing if the report is malformed.
  std::function<std::optional<OrderState>(const std::string &)>
      m_DecodeOrderState;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_PLATFORM_BINDING_H
