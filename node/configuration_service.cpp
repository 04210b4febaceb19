#include "node/configuration_service.h"

#include "core/log.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

constexpr const char *HeadKey = "configuration/head";
constexpr const char *FreshnessTopic = "configuration";

ConfigurationReplicaOptions replicaOptions(const NodeSettings &Settings) {
  ConfigurationReplicaOptions Options;
  Options.m_Node = Settings.m_Node;
  Options.m_Zone = Settings.m_Zone;
  Options.m_Freshness.m_Node = Settings.m_Node;
  Options.m_Freshness.m_Zone = Settings.m_Zone;
  Options.m_Freshness.m_ExpectedZoneCount =
      static_cast<std::size_t>(Settings.m_ExpectedZones);
  return Options;
}

/// Returns the version of the configuration head object, or 0 if \p Keys does
/// not contain it.
ObjectVersion headVersion(const std::vector<StoreKey> &Keys) {
  ObjectVersion Version;
  for (const StoreKey &Key : Keys)
    if (Key.m_Key == HeadKey)
      Version = std::max(Version, Key.m_Version);
  return Version;
}

std::set<std::string> zonesOutOfService(const ConfigurationView &View) {
  std::set<std::string> Zones;
  for (const auto &[Id, Entry] : View.entries())
    if (Id.m_Kind == EntryKind::Zone && !View.isZoneInService(Id.m_Name))
      Zones.insert(Id.m_Name);
  return Zones;
}

} // namespace

ConfigurationService::ConfigurationService(const NodeSettings &Settings,
                                           ObjectStore &Store,
                                           TaskThread &ControlThread,
                                           PeerService &Peers, DataPath &Path,
                                           ViewCallback OnView)
    : m_Store(Store), m_ControlThread(ControlThread), m_Peers(Peers),
      m_DataPath(Path), m_OnView(std::move(OnView)),
      m_Replica(replicaOptions(Settings), monotonicNow()) {
  m_Peers.setChannelHandler(
      PeerChannel::Configuration,
      [this](const std::string &From, const Json &Message) {
        onMessage(From, Message);
      });
  m_Peers.setTopic(
      FreshnessTopic,
      [this](const std::string &, MonotonicTime Now) {
        return toJson(m_Replica.freshness().pingAnswer(Now));
      },
      [this](const TopicReceived &Topic) { onFreshnessTopic(Topic); });
}

void ConfigurationService::tick(MonotonicTime Now) {
  updatePeers(Now);
  execute(m_Replica.onTick(Now, m_Random));
  publish(Now);
}

void ConfigurationService::applyCommitted(const ConfigurationChange &Change) {
  execute(m_Replica.onLocalChange(Change));
  publish(monotonicNow());
}

std::map<std::string, ConfigurationRevision>
ConfigurationService::revisionsByNode() const {
  std::map<std::string, ConfigurationRevision> Revisions;
  for (const MemberRecord &Member : m_Peers.reachableMembers()) {
    const auto Found = m_PeerRevisions.find(Member.m_NodeId);
    Revisions[Member.m_NodeId] =
        Found == m_PeerRevisions.end() ? 0 : Found->second;
  }
  Revisions[m_Peers.selfId()] = view()->revision();
  return Revisions;
}

void ConfigurationService::updatePeers(MonotonicTime Now) {
  std::vector<ConfigurationPeer> Peers;
  for (const auto &[Id, Member] : m_Peers.membership().table().members()) {
    if (Id == m_Peers.selfId() || Member.m_State == MemberState::Left)
      continue;
    Peers.push_back({Id, Member.m_Zone, Member.isReachable()});
  }
  const std::set<std::string> Neighbours = m_Peers.membership().peers();
  execute(
      m_Replica.setPeers(Peers, {Neighbours.begin(), Neighbours.end()}, Now));
}

void ConfigurationService::onFreshnessTopic(const TopicReceived &Topic) {
  const absl::StatusOr<FreshnessAnswer> Response =
      parseFreshnessAnswer(Topic.m_Value);
  if (!Response.ok())
    return;
  m_PeerRevisions[Topic.m_SenderId] = Response->m_Revision;
  // The greatest possible age of a response is known only if it answers a ping
  // of this node.
  if (!Topic.m_PingSentAt)
    return;
  const MonotonicTime Now = monotonicNow();
  execute(m_Replica.onPingAnswer(Topic.m_SenderId, *Response,
                                 *Topic.m_PingSentAt, Now));
  publish(Now);
}

void ConfigurationService::onMessage(const std::string &From,
                                     const Json &Message) {
  const MonotonicTime Now = monotonicNow();
  if (Message.contains("ask")) {
    execute(m_Replica.onUpdateRequest(
        From, fieldOr<ConfigurationRevision>(Message, "ask", 0)));
    return;
  }
  if (!Message.contains("update"))
    return;
  const absl::StatusOr<ConfigurationUpdate> Update =
      parseUpdate(Message["update"]);
  if (!Update.ok()) {
    logLine(LogLevel::Warning, "configuration",
            fmt::format("configuration update from node {} is invalid: {}",
                        From, std::string(Update.status().message())));
    return;
  }
  execute(m_Replica.onUpdate(From, *Update, Now));
  publish(Now);
}

void ConfigurationService::execute(ConfigurationReplica::Actions Actions) {
  for (const ConfigurationReplicaAction &Action : Actions)
    std::visit([this](const auto &Call) { start(Call); }, Action);
}

void ConfigurationService::start(const GetObject &Action) {
  m_Store.start(Action, [this](const StoreCompletion &Event) {
    m_ControlThread.post([this, Event] {
      const MonotonicTime Now = monotonicNow();
      execute(m_Replica.onGet(std::get<GetCompleted>(Event), Now));
      publish(Now);
    });
  });
}

void ConfigurationService::start(const WatchHead &Action) {
  const WatchKeys Request{HeadKey, Action.m_AfterStorePosition,
                          Action.m_Timeout};
  m_Store.watch(Request, [this, Id = Action.m_Id](const KeysWatched &Response) {
    const WatchCompleted Event{Id, Response.m_Outcome, Response.m_Position,
                               headVersion(Response.m_Events)};
    m_ControlThread.post(
        [this, Event] { execute(m_Replica.onWatch(Event, monotonicNow())); });
  });
}

void ConfigurationService::start(const ListHead &Action) {
  m_Store.list(
      {HeadKey, "", 1}, [this, Id = Action.m_Id](const KeysListed &Response) {
        const ListCompleted Event{Id, Response.m_Outcome, Response.m_Position,
                                  headVersion(Response.m_Keys)};
        m_ControlThread.post([this, Event] {
          execute(m_Replica.onList(Event, monotonicNow()));
        });
      });
}

void ConfigurationService::start(const RequestUpdate &Action) {
  m_Peers.send(Action.m_Peer, PeerChannel::Configuration,
               {{"ask", Action.m_AfterRevision}});
}

void ConfigurationService::start(const SendUpdate &Action) {
  m_Peers.send(Action.m_Peer, PeerChannel::Configuration,
               {{"update", toJson(Action.m_Update)}});
}

void ConfigurationService::publish(MonotonicTime Now) {
  const bool AcceptsNewWork = m_Replica.freshness().mayAcceptNewWork(Now);
  if (m_PublishedView == view() && m_PublishedAcceptsNewWork == AcceptsNewWork)
    return;
  if (m_PublishedAcceptsNewWork != AcceptsNewWork)
    logLine(LogLevel::Info, "configuration",
            fmt::format("new work is {}, configuration is {}",
                        AcceptsNewWork ? "accepted" : "refused",
                        nameOf(FreshnessNames, freshness(Now))));
  const bool IsNewView = m_PublishedView != view();
  m_PublishedView = view();
  m_PublishedAcceptsNewWork = AcceptsNewWork;
  m_DataPath.setConfiguration(
      {view(), zonesOutOfService(*view()), AcceptsNewWork});
  if (!IsNewView)
    return;
  logLine(LogLevel::Info, "configuration",
          fmt::format("revision {} is active", view()->revision()));
  m_OnView(view());
}

} // namespace fulmarwinch
