#include "proxy/zone_change_relay.h"

namespace fulmarwinch {

namespace {

using std::chrono::milliseconds;

/// Period of the relay's freshness messages. A follower's age limit exceeds the
/// relay's watch timeout by three periods, so that one lost message does not
/// cause followers to query the store.
constexpr Duration FreshnessPeriod = milliseconds(200);
/// Maximum size of the changes in one datagram; the rest of the datagram holds
/// names and revisions.
constexpr std::size_t MaxPartBytes = 6000;
/// Maximum size of a batch that the relay forwards, since it sends each batch
/// to every follower over a link with no more bandwidth than theirs. After a
/// larger batch, the followers detect the gap in the revisions and query the
/// store.
constexpr std::size_t MaxForwardedBytes = 36000;
/// Count of numbers for each kind in a freshness message: the revision of the
/// last change, the current revision and its age in milliseconds.
constexpr std::size_t FreshnessNumbers = 3;

} // namespace

ZoneChangeRelay::ZoneChangeRelay(EventLog &Log, PeerExchange &Peers,
                                 std::string Node, std::string Zone)
    : m_Log(Log), m_Peers(Peers), m_NodeName(std::move(Node)),
      m_Zone(std::move(Zone)) {}

void ZoneChangeRelay::addWatcher(ObjectWatcher &Watcher) {
  m_Watchers.push_back(&Watcher);
  Watcher.setChangePublisher(
      [this](const ObjectChangeBatch &Changes) { publish(Changes); });
}

void ZoneChangeRelay::tick(MonotonicTime Now,
                           const std::vector<std::string> &ZoneNodes,
                           bool NeedsDirectWatch) {
  const std::string RelayNode = relayForZone(m_Zone, ZoneNodes).value_or("");
  if (RelayNode != m_RelayNode) {
    m_RelayNode = RelayNode;
    m_Log.write("feed_source",
                {{"relay", RelayNode.empty() ? "store" : RelayNode}});
  }
  m_IsRelay = RelayNode == m_NodeName;
  const bool FollowsRelay =
      !RelayNode.empty() && !m_IsRelay && !NeedsDirectWatch;
  for (ObjectWatcher *Watcher : m_Watchers) {
    Watcher->setRelayRoles(FollowsRelay, m_IsRelay);
    Watcher->tick(Now);
  }
  if (m_IsRelay && Now >= m_NextFreshnessAt) {
    m_NextFreshnessAt = Now + FreshnessPeriod;
    sendFreshness();
  }
}

void ZoneChangeRelay::sendFreshness() {
  Json Kinds = Json::object();
  for (const ObjectWatcher *Watcher : m_Watchers)
    if (Watcher->hasListed())
      Kinds[Watcher->kind()] = {
          Watcher->lastChangeRevision(), Watcher->revision(),
          std::chrono::duration_cast<milliseconds>(Watcher->stateAge())
              .count()};
  m_Peers.sendToZone({{"vouch", std::move(Kinds)}});
}

void ZoneChangeRelay::publish(const ObjectChangeBatch &Changes) {
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
    if (Size > MaxPartBytes || Bytes > MaxForwardedBytes)
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
                        {"from", Changes.m_FromRevision},
                        {"to", Changes.m_ToRevision},
                        {"part", Index},
                        {"parts", Parts.size()},
                        {"changes", std::move(Parts[Index])}});
}

std::optional<std::vector<ObjectChange>>
ZoneChangeRelay::addPart(const ObjectChangeBatch &Part, std::size_t Index,
                         std::size_t Count) {
  PartialBatch &Batch = m_PartialBatches[Part.m_Kind];
  if (Batch.m_ToRevision != Part.m_ToRevision)
    Batch = {Part.m_ToRevision, {}};
  Batch.m_Parts[Index] = Part.m_Changes;
  if (Batch.m_Parts.size() < Count)
    return std::nullopt;
  std::vector<ObjectChange> AllChanges;
  for (auto &[PartIndex, Changes] : Batch.m_Parts)
    AllChanges.insert(AllChanges.end(), Changes.begin(), Changes.end());
  m_PartialBatches.erase(Part.m_Kind);
  return AllChanges;
}

void ZoneChangeRelay::onMessage(const Json &Message) {
  const Json Freshness = fieldOr(Message, "vouch", Json::object());
  for (ObjectWatcher *Watcher : m_Watchers) {
    const auto Numbers = fieldOr(Freshness, Watcher->kind().c_str(),
                                 std::vector<std::uint64_t>());
    if (Numbers.size() == FreshnessNumbers)
      Watcher->onRelayFreshness(Numbers[0], Numbers[1],
                                milliseconds(Numbers[2]));
  }
  ObjectChangeBatch Received;
  Received.m_Kind = fieldOr(Message, "kind", std::string());
  Received.m_FromRevision = fieldOr(Message, "from", std::uint64_t{0});
  Received.m_ToRevision = fieldOr(Message, "to", std::uint64_t{0});
  for (const Json &Object : fieldOr(Message, "changes", Json::array()))
    Received.m_Changes.push_back(
        {{fieldOr(Object, "name", std::string()),
          fieldOr(Object, "revision", std::uint64_t{0}),
          fieldOr(Object, "content", Json())},
         fieldOr(Object, "deleted", false)});
  for (ObjectWatcher *Watcher : m_Watchers) {
    if (Watcher->kind() != Received.m_Kind)
      continue;
    auto AllChanges =
        addPart(Received, fieldOr(Message, "part", std::size_t{0}),
                fieldOr(Message, "parts", std::size_t{1}));
    if (!AllChanges)
      return;
    Received.m_Changes = std::move(*AllChanges);
    Watcher->onRelayChanges(Received);
  }
}

} // namespace fulmarwinch
