#ifndef FULMARWINCH_PROXY_PLATFORM_BINDING_H
#define FULMARWINCH_PROXY_PLATFORM_BINDING_H

#include "core/object_feed.h"
#include "core/object_store.h"
#include "proxy/request_dialect.h"
#include "servers/fleet/backend_server.h"
#include "servers/replicas/member_order.h"
#include "servers/routes/traffic_configuration.h"

#include "absl/status/statusor.h"

#include <functional>
#include <string>

namespace fulmarwinch {

/// Everything that a front node needs of the platform it runs on, supplied by
/// the adapter of that platform.
struct PlatformBinding {
  RequestDialect m_Dialect;
  std::string m_ReadyPath;
  std::string m_OrderPath;
  std::string m_ReportPath;
  /// Kinds of the objects that others write.
  std::string m_ServerKind;
  std::string m_ConfigurationKind;
  std::string m_ConfigurationName;
  std::string m_EvacuationKind;
  ObjectFeed *m_Feed = nullptr;
  std::function<void(StoreAction, std::function<void(StoreCompletion)>)>
      m_StartStoreCall;
  std::function<absl::StatusOr<BackendServer>(const StoredObject &)>
      m_DecodeServer;
  std::function<absl::StatusOr<TrafficConfiguration>(const StoredObject &)>
      m_DecodeConfiguration;
  std::function<std::string(const MemberOrder &)> m_EncodeOrder;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_PLATFORM_BINDING_H
