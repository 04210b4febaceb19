#include "proxy/feed_relay.h"

namespace fulmarwinch {

namespace {

using std::chrono::milliseconds;

/// A lost vouch must not send the followers to the store, so three fit into
/// what is left of the greatest age after the relay's own wait.
constexpr Duration VouchPeriod = milliseconds(200);
/// Content of one datagram; it leaves room for names and revisions.
constexpr std::size_t MaxPartBytes = 6000;
/// More than this is not passed on, since the relay's link is no wider than
/// those of its followers; they find the gap and ask the store.
constexpr std::size_t MaxPassedBytes = 36000;
/// A vouch is the last change, the revision and its age in milliseconds.
constexpr std::size_t VouchNumbers = 3;

} // namespace

FeedRelay::FeedRelay(EventLog &Log, PeerExchange &Peers, std::string Node,
                     std::string Zone)
    : m_Log(Log), m_Peers(Peers), m_Node(std::move(Node)),
      m_Zone(std::move(Zone)) {}

void FeedRelay::add(KindWatcher &Watcher) {
  m_Watchers.push_back(&Watcher);
  Watcher.setPublisher(
      [this](const KindChanges &Changes) { publish(Changes); });
}

void FeedRelay::tick(MonotonicTime Now,
                     const std::vector<std::string> &ZoneNodes,
                     bool NeedsStore) {
  const std::string Relay = relayOf(m_Zone, ZoneNodes).value_or("");
  if (Relay != m_Relay) {
    m_Relay = Relay;
    m_Log.write("feed_source", {{"relay", Relay.empty() ? "store" : Relay}});
  }
  m_Relays = Relay == m_Node;
  const bool Follows = !Relay.empty() && !m_Relays && !NeedsStore;
  for (KindWatcher *Watcher : m_Watchers) {
    Watcher->setRoles(Follows, m_Relays);
    Watcher->tick(Now);
  }
  if (m_Relays && Now >= m_NextVouch) {
    m_NextVouch = Now + VouchPeriod;
    vouch();
  }
}

void FeedRelay::vouch() {
  Json Kinds = Json::object();
  for (const KindWatcher *Watcher : m_Watchers)
    if (Watcher->isKnown())
      Kinds[Watcher->kind()] = {
          Watcher->lastChange(), Watcher->revision(),
          std::chrono::duration_cast<milliseconds>(Watcher->age()).count()};
  m_Peers.sendToZone({{"vouch", std::move(Kinds)}});
}

void FeedRelay::publish(const KindChanges &Changes) {
  std::vector<Json> Parts(1, Json::array());
  std::size_t PartBytes = 0;
  std::size_t Bytes = 0;
  for (const ObjectChange &Change : Changes.m_Changes) {
    Json Object{{"name", Change.m_Object.m_Name},
                {"revision", Change.m_Object.m_Revision},
                {"content", Change.m_Object.m_Content},
                {"deleted", Change.m_Deleted}};
    const std::size_t Size = Json::to_cbor(Object).size();
    Bytes += Size;
    if (Size > MaxPartBytes || Bytes > MaxPassedBytes)
      return;
    if (PartBytes + Size > MaxPartBytes) {
      Parts.push_back(Json::array());
      PartBytes = 0;
    }
    PartBytes += Size;
    Parts.back().push_back(std::move(Object));
  }
  for (std::size_t Index = 0; Index < Parts.size(); ++Index)
    m_Peers.sendToZone({{"kind", Changes.m_Kind},
                        {"from", Changes.m_From},
                        {"to", Changes.m_To},
                        {"part", Index},
                        {"parts", Parts.size()},
                        {"changes", std::move(Parts[Index])}});
}

std::optional<std::vector<ObjectChange>>
FeedRelay::assemble(const KindChanges &Part, std::size_t Index,
                    std::size_t Count) {
  Partial &Known = m_Partials[Part.m_Kind];
  if (Known.m_To != Part.m_To)
    Known = {Part.m_To, {}};
  Known.m_Parts[Index] = Part.m_Changes;
  if (Known.m_Parts.size() < Count)
    return std::nullopt;
  std::vector<ObjectChange> All;
  for (auto &[Place, Changes] : Known.m_Parts)
    All.insert(All.end(), Changes.begin(), Changes.end());
  m_Partials.erase(Part.m_Kind);
  return All;
}

void FeedRelay::onMessage(const Json &Message) {
  const Json Vouched = memberOr(Message, "vouch", Json::object());
  for (KindWatcher *Watcher : m_Watchers) {
    const auto Numbers = memberOr(Vouched, Watcher->kind().c_str(),
                                  std::vector<std::uint64_t>());
    if (Numbers.size() == VouchNumbers)
      Watcher->onPeerVouch(Numbers[0], Numbers[1], milliseconds(Numbers[2]));
  }
  KindChanges Passed;
  Passed.m_Kind = memberOr(Message, "kind", std::string());
  Passed.m_From = memberOr(Message, "from", std::uint64_t{0});
  Passed.m_To = memberOr(Message, "to", std::uint64_t{0});
  for (const Json &Object : memberOr(Message, "changes", Json::array()))
    Passed.m_Changes.push_back({{memberOr(Object, "name", std::string()),
                                 memberOr(Object, "revision", std::uint64_t{0}),
                                 memberOr(Object, "content", Json())},
                                memberOr(Object, "deleted", false)});
  for (KindWatcher *Watcher : m_Watchers) {
    if (Watcher->kind() != Passed.m_Kind)
      continue;
    auto All = assemble(Passed, memberOr(Message, "part", std::size_t{0}),
                        memberOr(Message, "parts", std::size_t{1}));
    if (!All)
      return;
    Passed.m_Changes = std::move(*All);
    Watcher->onPeerChanges(Passed);
  }
}

} // namespace fulmarwinch
