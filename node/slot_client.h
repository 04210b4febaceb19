#ifndef FULMARWINCH_NODE_SLOT_CLIENT_H
#define FULMARWINCH_NODE_SLOT_CLIENT_H

#include "node/data_path.h"
#include "node/peer_service.h"
#include "node/view_receiver.h"
#include "servers/admission/slot_ask_schedule.h"

#include <functional>

namespace fulmarwinch {

/// Asks the shard holders for slots on the cold groups that this node routes
/// to. Runs on the control thread.
class SlotClient {
public:
  /// \p Waiting tells how many requests wait for a place.
  SlotClient(DataPath &Path, PeerService &Peers, const ViewReceiver &Views,
             std::function<std::size_t()> Waiting);

  /// To be called every 250 ms and when requests begin to wait; the schedule
  /// decides which groups are asked for.
  void tick(MonotonicTime Now);
  void onGrant(const SlotGrant &Grant, MonotonicTime Now);

private:
  DataPath &m_Path;
  PeerService &m_Peers;
  const ViewReceiver &m_Views;
  std::function<std::size_t()> m_Waiting;
  SlotAskSchedule m_Schedule;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_SLOT_CLIENT_H
