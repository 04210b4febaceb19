#ifndef FULMARWINCH_NODE_CONFIGURATION_SERVICE_H
#define FULMARWINCH_NODE_CONFIGURATION_SERVICE_H

#include "core/object_store.h"
#include "node/control_thread.h"
#include "node/data_path.h"
#include "node/peer_service.h"
#include "servers/configuration/configuration_replica.h"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace fulmarwinch {

/// Keeps the node's configuration current and tells the request path which
/// configuration is in force. Runs on the control thread.
class ConfigurationService {
public:
  using ViewCallback = std::function<void(ConfigurationView::Pointer)>;

  ConfigurationService(const NodeSettings &Settings, ObjectStore &Store,
                       ControlThread &Control, PeerService &Peers,
                       DataPath &Path, ViewCallback OnView);

  /// To be called every 50 ms.
  void tick(MonotonicTime Now);
  /// This node accepted \p Change.
  void onAccepted(const ConfigurationChange &Change);

  const ConfigurationView::Pointer &view() const { return m_Replica.view(); }
  Freshness freshness(MonotonicTime Now) const {
    return m_Replica.freshness().state(Now);
  }
  /// Last revision heard of from each node, this one included.
  std::map<std::string, ConfigurationRevision> knownRevisions() const;

private:
  void onMessage(const std::string &From, const Json &Message);
  void onTopic(const TopicReceived &Topic);
  void updatePeers(MonotonicTime Now);
  void carryOut(ConfigurationReplica::Actions Actions);
  void start(const GetObject &Action);
  void start(const WatchHead &Action);
  void start(const ListHead &Action);
  void start(const AskPeer &Action);
  void start(const SendUpdate &Action);
  void publish(MonotonicTime Now);

  ObjectStore &m_Store;
  ControlThread &m_Control;
  PeerService &m_Peers;
  DataPath &m_Path;
  const ViewCallback m_OnView;
  ConfigurationReplica m_Replica;
  std::mt19937_64 m_Random{std::random_device{}()};
  std::map<std::string, ConfigurationRevision> m_PeerRevisions;
  ConfigurationView::Pointer m_PublishedView;
  bool m_PublishedMayAccept = false;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_CONFIGURATION_SERVICE_H
