#include "node/slot_client.h"

#include "node/slot_codec.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

/// Bounds what one node asks for, whatever waits there.
constexpr std::size_t MostWanted = 64;

} // namespace

SlotClient::SlotClient(DataPath &Path, PeerService &Peers,
                       const ViewReceiver &Views,
                       std::function<std::size_t()> Waiting)
    : m_Path(Path), m_Peers(Peers), m_Views(Views),
      m_Waiting(std::move(Waiting)) {}

void SlotClient::tick(MonotonicTime Now) {
  const std::size_t Waiting = m_Waiting();
  for (const auto &[Group, Known] : m_Views.groups()) {
    const PublishedView &View = Known.m_View;
    if (!View.m_Serving || Known.m_Warm || View.m_Holder.empty())
      continue;
    SlotHolder &Slots = m_Path.slots();
    if (!m_Schedule.isDue(Group, Waiting > 0 || Slots.isActive(Group), Now))
      continue;
    const std::size_t Wanted =
        std::min(MostWanted, Slots.inFlight(Group) + Waiting + 1);
    const SlotRequest Request = Slots.makeRequest(Group, Wanted, Now);
    m_Peers.send(View.m_Holder, PeerChannel::Slots, toJson(Request));
  }
  m_Schedule.forget(Now - 2 * SlotAskSchedule::Idle);
}

void SlotClient::onGrant(const SlotGrant &Grant, MonotonicTime Now) {
  m_Path.slots().onGrant(Grant, Now);
}

} // namespace fulmarwinch
