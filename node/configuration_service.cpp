#include "node/configuration_service.h"

#include "core/log.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

constexpr const char *HeadKey = "configuration/head";
constexpr const char *FreshnessTopic = "configuration";

ReplicaOptions replicaOptions(const NodeSettings &Settings) {
  ReplicaOptions Options;
  Options.m_Node = Settings.m_Node;
  Options.m_Zone = Settings.m_Zone;
  Options.m_Freshness.m_Node = Settings.m_Node;
  Options.m_Freshness.m_Zone = Settings.m_Zone;
  Options.m_Freshness.m_ExpectedZones =
      static_cast<std::size_t>(Settings.m_ExpectedZones);
  return Options;
}

/// Version of the head in a listing or in watch events; 0 if it is not there.
ObjectVersion headVersion(const std::vector<StoreKey> &Keys) {
  ObjectVersion Version = 0;
  for (const StoreKey &Key : Keys)
    if (Key.m_Key == HeadKey)
      Version = std::max(Version, Key.m_Version);
  return Version;
}

std::set<std::string> zonesOut(const ConfigurationView &View) {
  std::set<std::string> Zones;
  for (const auto &[Id, Entry] : View.entries())
    if (Id.m_Kind == EntryKind::Zone && !View.isZoneInService(Id.m_Name))
      Zones.insert(Id.m_Name);
  return Zones;
}

} // namespace

ConfigurationService::ConfigurationService(const NodeSettings &Settings,
                                           ObjectStore &Store,
                                           ControlThread &Control,
                                           PeerService &Peers, DataPath &Path,
                                           ViewCallback OnView)
    : m_Store(Store), m_Control(Control), m_Peers(Peers), m_Path(Path),
      m_OnView(std::move(OnView)),
      m_Replica(replicaOptions(Settings), monotonicNow()) {
  m_Peers.onChannel(PeerChannel::Configuration,
                    [this](const std::string &From, const Json &Message) {
                      onMessage(From, Message);
                    });
  m_Peers.setTopic(
      FreshnessTopic,
      [this](const std::string &, MonotonicTime Now) {
        return toJson(m_Replica.freshness().answer(Now));
      },
      [this](const TopicReceived &Topic) { onTopic(Topic); });
}

void ConfigurationService::tick(MonotonicTime Now) {
  updatePeers(Now);
  carryOut(m_Replica.onTick(Now, m_Random));
  publish(Now);
}

void ConfigurationService::onAccepted(const ConfigurationChange &Change) {
  carryOut(m_Replica.onAccepted(Change));
  publish(monotonicNow());
}

std::map<std::string, ConfigurationRevision>
ConfigurationService::knownRevisions() const {
  std::map<std::string, ConfigurationRevision> Revisions;
  for (const MemberRecord &Member : m_Peers.reachableMembers()) {
    const auto Found = m_PeerRevisions.find(Member.m_Id);
    Revisions[Member.m_Id] = Found == m_PeerRevisions.end() ? 0 : Found->second;
  }
  Revisions[m_Peers.self()] = view()->revision();
  return Revisions;
}

void ConfigurationService::updatePeers(MonotonicTime Now) {
  std::vector<ConfigurationPeer> Peers;
  for (const auto &[Id, Member] : m_Peers.membership().table().members()) {
    if (Id == m_Peers.self() || Member.m_State == MemberState::Left)
      continue;
    Peers.push_back({Id, Member.m_Zone, Member.isReachable()});
  }
  const std::set<std::string> Neighbours = m_Peers.membership().peers();
  carryOut(
      m_Replica.onPeers(Peers, {Neighbours.begin(), Neighbours.end()}, Now));
}

void ConfigurationService::onTopic(const TopicReceived &Topic) {
  const absl::StatusOr<FreshnessAnswer> Answer =
      parseFreshnessAnswer(Topic.m_Value);
  if (!Answer.ok())
    return;
  m_PeerRevisions[Topic.m_From] = Answer->m_Revision;
  // Only the answer to an own ping has an age that this node can rely on.
  if (!Topic.m_AskedAt)
    return;
  const MonotonicTime Now = monotonicNow();
  carryOut(m_Replica.onAnswer(Topic.m_From, *Answer, *Topic.m_AskedAt, Now));
  publish(Now);
}

void ConfigurationService::onMessage(const std::string &From,
                                     const Json &Message) {
  const MonotonicTime Now = monotonicNow();
  if (Message.contains("ask")) {
    carryOut(m_Replica.onAsked(
        From, memberOr<ConfigurationRevision>(Message, "ask", 0)));
    return;
  }
  if (!Message.contains("update"))
    return;
  const absl::StatusOr<ConfigurationUpdate> Update =
      parseUpdate(Message["update"]);
  if (!Update.ok()) {
    logLine(LogLevel::Warning, "configuration",
            fmt::format("update from {} is not valid: {}", From,
                        std::string(Update.status().message())));
    return;
  }
  carryOut(m_Replica.onUpdate(From, *Update, Now));
  publish(Now);
}

void ConfigurationService::carryOut(ConfigurationReplica::Actions Actions) {
  for (const ReplicaAction &Action : Actions)
    std::visit([this](const auto &Call) { start(Call); }, Action);
}

void ConfigurationService::start(const GetObject &Action) {
  m_Store.start(Action, [this](const StoreCompletion &Event) {
    m_Control.post([this, Event] {
      const MonotonicTime Now = monotonicNow();
      carryOut(m_Replica.onGet(std::get<GetCompleted>(Event), Now));
      publish(Now);
    });
  });
}

void ConfigurationService::start(const WatchHead &Action) {
  const WatchKeys Request{HeadKey, Action.m_Since, Action.m_Timeout};
  m_Store.watch(Request, [this, Id = Action.m_Id](const KeysWatched &Answer) {
    const WatchCompleted Event{Id, Answer.m_Outcome, Answer.m_Revision,
                               headVersion(Answer.m_Events)};
    m_Control.post(
        [this, Event] { carryOut(m_Replica.onWatch(Event, monotonicNow())); });
  });
}

void ConfigurationService::start(const ListHead &Action) {
  m_Store.list(
      {HeadKey, "", 1}, [this, Id = Action.m_Id](const KeysListed &Answer) {
        const ListCompleted Event{Id, Answer.m_Outcome, Answer.m_Revision,
                                  headVersion(Answer.m_Keys)};
        m_Control.post([this, Event] {
          carryOut(m_Replica.onList(Event, monotonicNow()));
        });
      });
}

void ConfigurationService::start(const AskPeer &Action) {
  m_Peers.send(Action.m_Peer, PeerChannel::Configuration,
               {{"ask", Action.m_Have}});
}

void ConfigurationService::start(const SendUpdate &Action) {
  m_Peers.send(Action.m_Peer, PeerChannel::Configuration,
               {{"update", toJson(Action.m_Update)}});
}

void ConfigurationService::publish(MonotonicTime Now) {
  const bool MayAccept = m_Replica.freshness().mayAcceptNewWork(Now);
  if (m_PublishedView == view() && m_PublishedMayAccept == MayAccept)
    return;
  if (m_PublishedMayAccept != MayAccept)
    logLine(LogLevel::Info, "configuration",
            fmt::format("new work is {}, configuration is {}",
                        MayAccept ? "accepted" : "refused",
                        nameOf(FreshnessNames, freshness(Now))));
  const bool IsNewView = m_PublishedView != view();
  m_PublishedView = view();
  m_PublishedMayAccept = MayAccept;
  m_Path.setConfiguration({view(), zonesOut(*view()), MayAccept});
  if (!IsNewView)
    return;
  logLine(LogLevel::Info, "configuration",
          fmt::format("revision {} is in force", view()->revision()));
  m_OnView(view());
}

} // namespace fulmarwinch
