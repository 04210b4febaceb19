#include "proxy/zone_change_relay.h"

namespace fulmarwinch {

namespace {

using std::chrono::milliseconds;

/// Period of freshness messages. The age limits of relays and followers exceed
/// that of the node before them by two periods, so that one lost message does
/// not cause them to query the store.
constexpr Duration FreshnessPeriod = milliseconds(200);
/// Count of numbers for each kind in a freshness message: the revision of the
/// last change, the current revision, its age in milliseconds and the store's
/// era.
constexpr std::size_t FreshnessNumbers = 4;

} // namespace

ZoneChangeRelay::ZoneChangeRelay(EventLog &Log, PeerExchange &Peers)
    : m_Log(Log), m_Peers(Peers) {}

void ZoneChangeRelay::addWatcher(ObjectWatcher &Watcher) {
  m_Watchers.push_back(&Watcher);
  Watcher.setChangePublisher(
      [this](const ObjectChangeBatch &Changes) { publish(Changes); });
}

void ZoneChangeRelay::tick(MonotonicTime Now,
                           const std::vector<RelayCandidate> &LiveNodes,
                           bool IsLeaseHolder) {
  const std::string PreviousRelay = m_Plan.m_ZoneRelay;
  m_Plan = planFeed(m_Peers.ownNode(), LiveNodes, IsLeaseHolder);
  if (m_Plan.m_ZoneRelay != PreviousRelay)
    m_Log.write(
        "feed_source",
        {{"relay", m_Plan.m_ZoneRelay.empty() ? "store" : m_Plan.m_ZoneRelay}});
  for (ObjectWatcher *Watcher : m_Watchers) {
    Watcher->setRole(m_Plan.m_Role);
    Watcher->tick(Now);
  }
  if (!m_Plan.m_Receivers.empty() && Now >= m_NextFreshnessAt) {
    m_NextFreshnessAt = Now + FreshnessPeriod;
    sendFreshness();
  }
}

void ZoneChangeRelay::sendFreshness() {
  Json Kinds = Json::object();
  for (const ObjectWatcher *Watcher : m_Watchers)
    if (Watcher->hasListed())
      Kinds[Watcher->kind()] = {
          Watcher->lastChange().m_Revision, Watcher->position().m_Revision,
          std::chrono::duration_cast<milliseconds>(Watcher->stateAge()).count(),
          Watcher->position().m_Era};
  m_Peers.sendFeed(m_Plan.m_Receivers, {{"vouch", std::move(Kinds)}});
}

void ZoneChangeRelay::publish(const ObjectChangeBatch &Changes) {
  if (m_Plan.m_Receivers.empty())
    return;
  for (const Json &Part : encodeChangeBatch(
           Changes, maxForwardedBytes(m_Peers.ownNode().m_LinkMbps,
                                      m_Plan.m_Receivers.size())))
    m_Peers.sendFeed(m_Plan.m_Receivers, {{"batch", Part}});
}

void ZoneChangeRelay::onMessage(const Json &Message, Duration Delay) {
  const Json Freshness = fieldOr(Message, "vouch", Json::object());
  for (ObjectWatcher *Watcher : m_Watchers) {
    const auto Numbers = fieldOr(Freshness, Watcher->kind().c_str(),
                                 std::vector<std::uint64_t>());
    if (Numbers.size() != FreshnessNumbers)
      continue;
    const StoreEra Era = Numbers[3];
    Watcher->onForwardedFreshness({Era, Numbers[0]}, {Era, Numbers[1]},
                                  milliseconds(Numbers[2]) + Delay);
  }
  const auto Part = Message.is_object() ? Message.find("batch") : Message.end();
  if (Part == Message.end())
    return;
  if (const auto Batch = m_Assembler.addPart(*Part))
    for (ObjectWatcher *Watcher : m_Watchers)
      if (Watcher->kind() == Batch->m_Kind)
        Watcher->onForwardedChanges(*Batch);
}

} // namespace fulmarwinch
