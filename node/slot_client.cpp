#include "node/slot_client.h"

#include "node/slot_codec.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

/// Maximum number of slots that one node requests per group, whatever its queue
/// depth.
constexpr std::size_t MaxRequestedSlots = 64;

} // namespace

SlotClient::SlotClient(DataPath &Path, PeerService &Peers,
                       const ViewReceiver &Views,
                       std::function<std::size_t()> QueueDepth)
    : m_DataPath(Path), m_Peers(Peers), m_Views(Views),
      m_QueueDepth(std::move(QueueDepth)) {}

void SlotClient::tick(MonotonicTime Now) {
  const std::size_t QueueDepth = m_QueueDepth();
  for (const auto &[Group, Received] : m_Views.groups()) {
    const PublishedView &View = Received.m_View;
    if (!View.m_Serving || Received.m_Warm || View.m_Holder.empty())
      continue;
    NodeSlots &Slots = m_DataPath.nodeSlots();
    if (!m_Schedule.isDue(Group, QueueDepth > 0 || Slots.hasWorkToReport(Group),
                          Now))
      continue;
    const std::size_t RequestedSlots =
        std::min(MaxRequestedSlots, Slots.inFlight(Group) + QueueDepth + 1);
    const SlotRequest Request = Slots.makeRequest(Group, RequestedSlots, Now);
    m_Peers.send(View.m_Holder, PeerChannel::Slots, toJson(Request));
  }
  m_Schedule.removeBefore(Now - 2 * SlotRequestSchedule::IdleInterval);
}

void SlotClient::onGrant(const SlotGrant &Grant, MonotonicTime Now) {
  m_DataPath.nodeSlots().onGrant(Grant, Now);
}

} // namespace fulmarwinch
