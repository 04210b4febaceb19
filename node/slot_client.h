#ifndef FULMARWINCH_NODE_SLOT_CLIENT_H
#define FULMARWINCH_NODE_SLOT_CLIENT_H

#include "node/data_path.h"
#include "node/peer_service.h"
#include "node/view_receiver.h"
#include "servers/admission/slot_request_schedule.h"

#include <functional>

namespace fulmarwinch {

/// Requests slots from the shard holders for the cold groups that this node
/// routes to. Runs on the control thread.
class SlotClient {
public:
  /// \p QueueDepth returns the number of requests in the dispatch queue.
  SlotClient(DataPath &Path, PeerService &Peers, const ViewReceiver &Views,
             std::function<std::size_t()> QueueDepth);

  /// Sends the slot requests that are due for each group. Must be called every
  /// 250 ms and when requests begin to wait.
  void tick(MonotonicTime Now);
  void onGrant(const SlotGrant &Grant, MonotonicTime Now);

private:
  DataPath &m_DataPath;
  PeerService &m_Peers;
  const ViewReceiver &m_Views;
  std::function<std::size_t()> m_QueueDepth;
  SlotRequestSchedule m_Schedule;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_SLOT_CLIENT_H
