#ifndef FULMARWINCH_NODE_CONFIGURATION_SERVICE_H
#define FULMARWINCH_NODE_CONFIGURATION_SERVICE_H

#include "core/object_store.h"
#include "node/data_path.h"
#include "node/peer_service.h"
#include "node/task_thread.h"
#include "servers/configuration/configuration_replica.h"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace fulmarwinch {

/// Keeps the node's configuration replica current from the object store and the
/// peers, and publishes the active configuration to the data path. Runs on the
/// control thread.
class ConfigurationService {
public:
  using ViewCallback = std::function<void(ConfigurationView::Pointer)>;

  ConfigurationService(const NodeSettings &Settings, ObjectStore &Store,
                       TaskThread &ControlThread, PeerService &Peers,
                       DataPath &Path, ViewCallback OnView);

  /// Must be called every 50 ms.
  void tick(MonotonicTime Now);
  /// Applies \p Change, which this node has committed to the object store.
  void applyCommitted(const ConfigurationChange &Change);

  const ConfigurationView::Pointer &view() const { return m_Replica.view(); }
  Freshness freshness(MonotonicTime Now) const {
    return m_Replica.freshness().state(Now);
  }
  /// Last revision that each reachable node has reported, this node included; 0
  /// if it has reported none.
  std::map<std::string, ConfigurationRevision> revisionsByNode() const;

private:
  void onMessage(const std::string &From, const Json &Message);
  void onFreshnessTopic(const TopicReceived &Topic);
  void updatePeers(MonotonicTime Now);
  void execute(ConfigurationReplica::Actions Actions);
  void start(const GetObject &Action);
  void start(const WatchHead &Action);
  void start(const ListHead &Action);
  void start(const RequestUpdate &Action);
  void start(const SendUpdate &Action);
  void publish(MonotonicTime Now);

  ObjectStore &m_Store;
  TaskThread &m_ControlThread;
  PeerService &m_Peers;
  DataPath &m_DataPath;
  const ViewCallback m_OnView;
  ConfigurationReplica m_Replica;
  std::mt19937_64 m_Random{std::random_device{}()};
  std::map<std::string, ConfigurationRevision> m_PeerRevisions;
  ConfigurationView::Pointer m_PublishedView;
  bool m_PublishedAcceptsNewWork = false;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_CONFIGURATION_SERVICE_H
