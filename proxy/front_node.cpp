#include "proxy/front_node.h"
#include "core/text.h"
#include "proxy/feed_relay.h"
#include "proxy/group_duty.h"
#include "proxy/http_listener.h"
#include "proxy/kind_watcher.h"
#include "proxy/peer_exchange.h"

#include "asio.hpp"

#include <algorithm>

namespace fulmarwinch {

namespace {

using std::chrono::milliseconds;

/// Resolution of time limits and of the watch for silent streams.
constexpr Duration TickPeriod = milliseconds(20);
constexpr Duration FlushPeriod = milliseconds(100);
/// The holder of the group lease acts on changes of servers.
constexpr Duration HolderPause = milliseconds(80);
/// Pause of the other nodes that ask the store, one of each zone as a rule.
constexpr Duration ChangePause = milliseconds(150);
/// Pause between two checks of who passes changes on, and of its silence.
constexpr Duration RolesPeriod = milliseconds(60);
/// Nodes come and go rarely, and nothing but speed depends on knowing them.
KindWatcherSettings nodeWatch() {
  KindWatcherSettings Settings;
  Settings.m_Wait = std::chrono::seconds(10);
  Settings.m_Pause = milliseconds(700);
  Settings.m_RelayWait = std::chrono::seconds(5);
  Settings.m_FollowLimit = std::chrono::seconds(8);
  return Settings;
}
/// The balancer needs two missed questions, a second apart, to stop sending
/// new connections; idle ones are closed only then.
constexpr Duration BalancerLag = milliseconds(2600);
/// Part of the grace period that is left for the process to end.
constexpr Duration ExitMargin = milliseconds(350);
constexpr const char *MetricsPath = "/metrics";
/// Nodes list themselves under this kind of the platform's store.
constexpr const char *NodeKind = "fulmarwinch-nodes";
constexpr Duration RegisterRetry = milliseconds(700);
/// Share of the platform's bound on repeats that is used. The rest covers the
/// difference between the nodes' windows and the bound's.
constexpr double BudgetUse = 0.85;
/// Pause between two notices of this node about one silent group.
constexpr Duration AnnouncePause = milliseconds(150);

std::int64_t inMs(Duration Length) {
  return std::chrono::duration_cast<milliseconds>(Length).count();
}

} // namespace

struct FrontNode::Impl {
  Impl(asio::io_context &Loop, EventLog &Log, const FrontSettings &Settings,
       const PlatformBinding &Platform)
      : m_Loop(Loop), m_Log(Log), m_Settings(Settings), m_Platform(Platform),
        m_Tick(Loop), m_Flush(Loop), m_Register(Loop),
        m_Context(Loop, Log, m_Figures, Platform.m_Dialect, m_Fleet, m_Selector,
                  m_Stalls),
        m_Peers(Loop, Log, m_Selector, Settings.m_Node,
                {{Settings.m_Ip, Settings.m_PeerPort}, Settings.m_Zone}),
        m_Relay(Log, m_Peers, Settings.m_Node, Settings.m_Zone),
        m_Incarnation(concat(Settings.m_Node, "-", std::random_device()(), "-",
                             unixNow())),
        m_Duty(m_Context, Platform, Settings, m_Incarnation),
        m_Servers(Loop, *Platform.m_Feed, Log, Platform.m_ServerKind,
                  serverHandlers()),
        m_Configurations(Loop, *Platform.m_Feed, Log,
                         Platform.m_ConfigurationKind, configurationHandlers()),
        m_Evacuations(Loop, *Platform.m_Feed, Log, Platform.m_EvacuationKind,
                      evacuationHandlers()),
        m_Nodes(Loop, *Platform.m_Feed, Log, NodeKind, nodeHandlers(),
                nodeWatch()) {
    setBudget(1);
    for (KindWatcher *Watcher :
         {&m_Servers, &m_Configurations, &m_Evacuations, &m_Nodes})
      m_Relay.add(*Watcher);
    m_Context.m_OnStalled = [this](const ChosenServer &Server) {
      if (!Server.m_Group)
        return;
      const StallNotice Notice{Server.m_Id, *Server.m_Group, false};
      if (!mayAnnounce(Notice.m_Group))
        return;
      m_Log.write("group_silent",
                  {{"head", Server.m_Id}, {"group", Server.m_Group->m_Name}});
      m_Peers.announce(Notice);
      m_Duty.onStalled(Notice);
    };
    m_Context.m_OnLongPrompt = [this](const std::string &Server,
                                      Duration Work) {
      m_Peers.announcePrompt(Server, Work);
    };
    m_Duty.setOnConfirmed([this](const StallNotice &Notice) {
      m_Peers.announce(Notice);
      onStallNotice(Notice);
    });
  }

  /// Every stream of a silent group notices; one notice is enough.
  bool mayAnnounce(const GroupKey &Group) {
    const MonotonicTime Now = monotonicNow();
    for (auto Entry = m_AnnouncedAt.begin(); Entry != m_AnnouncedAt.end();)
      Entry = Now - Entry->second >= AnnouncePause ? m_AnnouncedAt.erase(Entry)
                                                   : std::next(Entry);
    return m_AnnouncedAt.emplace(Group, Now).second;
  }

  void onStallNotice(const StallNotice &Notice) {
    if (!Notice.m_Confirmed) {
      m_Duty.onStalled(Notice);
      return;
    }
    m_Log.write("group_stalled",
                {{"head", Notice.m_Head}, {"group", Notice.m_Group.m_Name}});
    m_Selector.onSuspected(Notice.m_Head, Notice.m_Group, monotonicNow());
  }

  KindWatcher::Handlers serverHandlers() {
    KindWatcher::Handlers Result;
    Result.m_OnListed = [this](const std::vector<StoredObject> &Objects) {
      std::vector<BackendServer> Servers;
      for (const StoredObject &Object : Objects)
        if (auto Server = readServer(Object))
          Servers.push_back(std::move(*Server));
      for (const std::string &Id :
           m_Fleet.replaceAll(std::move(Servers), monotonicNow()))
        logServer(Id);
    };
    Result.m_OnChange = [this](const ObjectChange &Change) {
      const StoredObject &Object = Change.m_Object;
      auto Server = Change.m_Deleted ? std::nullopt : readServer(Object);
      // An entry that cannot be read names no server to use.
      const bool Changed =
          Server ? m_Fleet.update(std::move(*Server), monotonicNow())
                 : m_Fleet.remove(Object.m_Name, Object.m_Revision);
      if (Changed)
        logServer(Object.m_Name);
    };
    Result.m_OnSettled = [] {};
    return Result;
  }

  std::optional<BackendServer> readServer(const StoredObject &Object) {
    auto Server = m_Platform.m_DecodeServer(Object);
    if (Server.ok())
      return std::move(*Server);
    m_Log.write("entry_unreadable",
                {{"name", Object.m_Name},
                 {"revision", static_cast<std::int64_t>(Object.m_Revision)},
                 {"problem", toView(Server.status().message())}});
    return std::nullopt;
  }

  /// Tells peers about requests that were found to crash servers.
  void checkCrash(const std::string &Id, std::int64_t StartedAtMs) {
    const MonotonicTime Now = monotonicNow();
    if (m_Context.m_Crashes.onServerChanged(Id, StartedAtMs, Now))
      m_Peers.announce(m_Context.m_Poison.records(Now));
  }

  void logServer(const std::string &Id) {
    const BackendServer *Server = m_Fleet.find(Id);
    checkCrash(Id, Server ? Server->m_StartedAtMs : 0);
    if (!Server) {
      m_Log.write("server_gone", {{"server", Id}});
      return;
    }
    const auto &Place = Server->m_Membership;
    m_Log.write("server",
                {{"server", Id},
                 {"revision", static_cast<std::int64_t>(Server->m_Revision)},
                 {"born", Server->m_StartedAtMs},
                 {"service", Server->m_Service},
                 {"domain", Server->m_Domain},
                 {"zone", Server->m_Zone},
                 {"draining", Server->m_Draining},
                 {"cold_ms", inMs(Server->m_ColdFor)},
                 {"staged", Server->m_StagedModels.empty()
                                ? std::string_view()
                                : Server->m_StagedModels.front()},
                 {"group", Place ? std::string_view(Place->m_Group.m_Name)
                                 : std::string_view()},
                 {"rank", Place ? std::int64_t{Place->m_Rank} : -1},
                 {"state", Place ? nameOf(MemberStateNames, Place->m_State)
                                 : std::string_view()}});
  }

  KindWatcher::Handlers configurationHandlers() {
    KindWatcher::Handlers Result;
    Result.m_OnListed = [this](const std::vector<StoredObject> &Objects) {
      for (const StoredObject &Object : Objects)
        readConfiguration(Object);
    };
    Result.m_OnChange = [this](const ObjectChange &Change) {
      if (!Change.m_Deleted)
        readConfiguration(Change.m_Object);
    };
    Result.m_OnSettled = [] {};
    return Result;
  }

  void readConfiguration(const StoredObject &Object) {
    if (Object.m_Name != m_Platform.m_ConfigurationName)
      return;
    auto Content = m_Platform.m_DecodeConfiguration(Object);
    if (!Content.ok()) {
      m_Log.write("configuration_unreadable",
                  {{"revision", static_cast<std::int64_t>(Object.m_Revision)},
                   {"problem", toView(Content.status().message())}});
      return;
    }
    if (Object.m_Revision <= m_ConfigurationRevision)
      return;
    m_ConfigurationRevision = Object.m_Revision;
    m_Context.m_Table = std::make_shared<RouteTable>(std::move(*Content));
    const TrafficConfiguration &Now = m_Context.m_Table->configuration();
    m_Log.write("configuration",
                {{"version", static_cast<std::int64_t>(Now.m_Version)},
                 {"revision", static_cast<std::int64_t>(Object.m_Revision)},
                 {"routes", static_cast<std::int64_t>(Now.m_Routes.size())}});
  }

  KindWatcher::Handlers evacuationHandlers() {
    KindWatcher::Handlers Result;
    Result.m_OnListed = [this](const std::vector<StoredObject> &Objects) {
      m_EvacuatedZones.clear();
      for (const StoredObject &Object : Objects)
        m_EvacuatedZones.insert(Object.m_Name);
    };
    Result.m_OnChange = [this](const ObjectChange &Change) {
      if (Change.m_Deleted)
        m_EvacuatedZones.erase(Change.m_Object.m_Name);
      else
        m_EvacuatedZones.insert(Change.m_Object.m_Name);
      m_Log.write("evacuation", {{"zone", Change.m_Object.m_Name},
                                 {"in_force", !Change.m_Deleted}});
    };
    Result.m_OnSettled = [this] {
      m_Fleet.setEvacuatedZones(m_EvacuatedZones);
    };
    return Result;
  }

  KindWatcher::Handlers nodeHandlers() {
    KindWatcher::Handlers Result;
    Result.m_OnListed = [this](const std::vector<StoredObject> &Objects) {
      m_NodeAddresses.clear();
      for (const StoredObject &Object : Objects)
        readNode(Object);
    };
    Result.m_OnChange = [this](const ObjectChange &Change) {
      if (Change.m_Deleted)
        m_NodeAddresses.erase(Change.m_Object.m_Name);
      else
        readNode(Change.m_Object);
    };
    Result.m_OnSettled = [this] {
      m_Peers.setPeers(m_NodeAddresses);
      std::vector<std::string> Names;
      for (const auto &[Name, Address] : m_NodeAddresses)
        Names.push_back(Name);
      setBudget(std::max<std::size_t>(1, Names.size()));
      m_Selector.setNodes(m_Settings.m_Node, std::move(Names), monotonicNow());
    };
    return Result;
  }

  void readNode(const StoredObject &Object) {
    if (const auto Address =
            parseEndpoint(memberOr(Object.m_Content, "address", std::string())))
      m_NodeAddresses[Object.m_Name] = {
          *Address, memberOr(Object.m_Content, "zone", std::string())};
  }

  void setBudget(std::size_t NodeCount) {
    WindowedRetryBudgetSettings &Budget = m_Context.m_BudgetSettings;
    Budget.m_ShareOfRequests = m_Settings.m_RetryRatio * BudgetUse;
    Budget.m_Slack =
        m_Settings.m_RetrySlack * BudgetUse / static_cast<double>(NodeCount);
    Budget.m_Window = m_Settings.m_RetryWindow;
    Budget.m_StartedAt = m_StartedAt;
    for (auto &[Service, Each] : m_Context.m_Budgets)
      Each.setSlack(Budget.m_Slack);
  }

  /// Lists this node under its name, so that its peers find it.
  void registerNode() {
    const std::string Key = concat(NodeKind, "/", m_Settings.m_Node);
    const Json Content{
        {"address", concat(m_Settings.m_Ip, ":", m_Settings.m_PeerPort)},
        {"zone", m_Settings.m_Zone},
        {"incarnation", m_Incarnation}};
    m_Platform.m_StartStoreCall(
        PutObject{0, Key, m_NodeVersion, Content.dump()},
        [this](const StoreCompletion &Result) {
          const auto &Put = std::get<PutCompleted>(Result);
          if (Put.m_Outcome == StoreOutcome::Applied) {
            m_NodeVersion = Put.m_Version;
            return;
          }
          if (Put.m_Outcome == StoreOutcome::Conflict)
            m_NodeVersion = Put.m_Version;
          m_Register.expires_after(RegisterRetry);
          m_Register.async_wait([this](const asio::error_code &Error) {
            if (!Error && !m_Draining)
              registerNode();
          });
        });
  }

  bool isReady() const {
    return !m_Draining && m_Context.m_Table && m_Servers.isKnown();
  }

  ConnectionHooks clientHooks() {
    ConnectionHooks Hooks;
    Hooks.m_Limits = [this] {
      return m_Context.m_Table ? m_Context.m_Table->configuration().m_Limits
                               : ClientLimits();
    };
    Hooks.m_IsDraining = [this] { return m_Draining; };
    Hooks.m_OnRequest = [this](std::shared_ptr<ClientConnection> Client,
                               ClientRequest Request) {
      std::make_shared<RequestRelay>(m_Context, std::move(Client),
                                     std::move(Request))
          ->start();
    };
    return Hooks;
  }

  ConnectionHooks readinessHooks() {
    ConnectionHooks Hooks;
    Hooks.m_Limits = [] { return ClientLimits(); };
    Hooks.m_IsDraining = [] { return false; };
    Hooks.m_OnRequest = [this](const std::shared_ptr<ClientConnection> &Client,
                               const ClientRequest &Request) {
      if (Request.m_Head.m_Target != m_Platform.m_ReadyPath)
        Client->respond(404, "Not Found", {}, "");
      else if (isReady())
        Client->respond(200, "OK", {}, "");
      else
        Client->respond(503, "Service Unavailable", {}, "");
    };
    return Hooks;
  }

  ConnectionHooks metricsHooks() {
    ConnectionHooks Hooks;
    Hooks.m_Limits = [] { return ClientLimits(); };
    Hooks.m_IsDraining = [] { return false; };
    Hooks.m_OnRequest = [this](const std::shared_ptr<ClientConnection> &Client,
                               const ClientRequest &Request) {
      if (Request.m_Head.m_Target != MetricsPath) {
        Client->respond(404, "Not Found", {}, "");
        return;
      }
      setGauges();
      Client->respond(200, "OK", {{"Content-Type", "text/plain"}},
                      m_Figures.prometheusText());
    };
    return Hooks;
  }

  void setGauges() {
    const auto Set = [this](const char *Name, double Value) {
      m_Figures.setGauge(Name, Value);
    };
    const auto Age = [](const KindWatcher &Watcher) {
      return std::chrono::duration<double>(Watcher.age()).count();
    };
    Set("requests_in_progress", static_cast<double>(m_Context.m_Active.size()));
    Set("belief_age_seconds{kind=\"servers\"}", Age(m_Servers));
    Set("belief_age_seconds{kind=\"configuration\"}", Age(m_Configurations));
    Set("belief_age_seconds{kind=\"evacuations\"}", Age(m_Evacuations));
    Set("servers_known", static_cast<double>(m_Fleet.servers().size()));
    Set("nodes_known", static_cast<double>(m_NodeAddresses.size()));
    Set("lease_held", m_Duty.isHeld() ? 1.0 : 0.0);
    Set("log_lines_dropped", static_cast<double>(m_Log.droppedLines()));
    std::map<std::string, double> Open;
    for (const auto &[Key, Group] : m_Fleet.groups())
      if (Group.m_Head &&
          Group.m_Head->m_Membership->m_State == MemberState::Open)
        Open[Group.m_Model] += 1.0;
    for (const auto &[Model, Count] : Open)
      m_Figures.setGauge(concat("groups_open{model=\"", Model, "\"}"), Count);
    for (auto &[Service, Budget] : m_Context.m_Budgets)
      m_Figures.setGauge(concat("repeats_left{service=\"", Service, "\"}"),
                         Budget.available(monotonicNow()));
  }

  void armTick() {
    m_Tick.expires_after(TickPeriod);
    m_Tick.async_wait([this](const asio::error_code &Error) {
      if (Error)
        return;
      tick(monotonicNow());
      armTick();
    });
  }

  void tick(MonotonicTime Now) {
    const std::vector<std::shared_ptr<RequestRelay>> Active(
        m_Context.m_Active.begin(), m_Context.m_Active.end());
    for (const std::shared_ptr<RequestRelay> &Relay : Active)
      Relay->tick(Now);
    m_Duty.tick(Now, m_Peers.liveNodes(Now));
    m_Servers.setPause(m_Duty.isHeld() ? HolderPause : ChangePause);
    if (Now >= m_NextRoles) {
      m_NextRoles = Now + RolesPeriod;
      m_Relay.tick(Now, m_Peers.liveZoneNodes(Now), m_Duty.isHeld());
    }
    m_Context.m_Crashes.removeExpired(Now);
    if (m_Draining)
      continueDrain(Now);
  }

  void armFlush() {
    m_Flush.expires_after(FlushPeriod);
    m_Flush.async_wait([this](const asio::error_code &Error) {
      m_Log.flush();
      if (!Error)
        armFlush();
    });
  }

  void drain() {
    if (m_Draining)
      return;
    m_Draining = true;
    m_DrainingSince = monotonicNow();
    m_Duty.stop();
    m_Log.write("draining", {{"in_progress", static_cast<std::int64_t>(
                                                 m_Context.m_Active.size())}});
  }

  void continueDrain(MonotonicTime Now) {
    const Duration Elapsed = Now - m_DrainingSince;
    if (Elapsed < BalancerLag)
      return;
    m_Clients->stopAccepting();
    m_Clients->closeIdle();
    if (m_Context.m_Active.empty() && m_Clients->isEmpty()) {
      finish("drained");
      return;
    }
    if (Elapsed >= m_Settings.m_GracePeriod - ExitMargin)
      finish("grace_over");
  }

  void finish(std::string_view Cause) {
    m_Log.write("stopped", {{"cause", Cause},
                            {"in_progress", static_cast<std::int64_t>(
                                                m_Context.m_Active.size())}});
    m_Log.flush();
    m_Loop.stop();
  }

  asio::io_context &m_Loop;
  EventLog &m_Log;
  FrontSettings m_Settings;
  const PlatformBinding &m_Platform;
  asio::steady_timer m_Tick;
  asio::steady_timer m_Flush;
  asio::steady_timer m_Register;
  Metrics m_Figures;
  FleetView m_Fleet;
  ServerSelector m_Selector;
  StallDetector m_Stalls;
  RelayContext m_Context;
  PeerExchange m_Peers;
  FeedRelay m_Relay;
  std::string m_Incarnation;
  GroupDuty m_Duty;
  KindWatcher m_Servers;
  KindWatcher m_Configurations;
  KindWatcher m_Evacuations;
  KindWatcher m_Nodes;
  std::unique_ptr<HttpListener> m_Clients;
  std::unique_ptr<HttpListener> m_Readiness;
  std::unique_ptr<HttpListener> m_Metrics;
  std::set<std::string> m_EvacuatedZones;
  std::map<std::string, PeerAddress> m_NodeAddresses;
  MonotonicTime m_NextRoles{};
  std::map<GroupKey, MonotonicTime> m_AnnouncedAt;
  const MonotonicTime m_StartedAt = monotonicNow();
  std::uint64_t m_ConfigurationRevision = 0;
  ObjectVersion m_NodeVersion = 0;
  bool m_Draining = false;
  MonotonicTime m_DrainingSince{};
};

FrontNode::FrontNode(asio::io_context &Loop, EventLog &Log,
                     const FrontSettings &Settings,
                     const PlatformBinding &Platform)
    : m_Impl(std::make_unique<Impl>(Loop, Log, Settings, Platform)) {}

FrontNode::~FrontNode() = default;

void FrontNode::start() {
  Impl &Self = *m_Impl;
  Self.m_Clients = std::make_unique<HttpListener>(
      Self.m_Loop, Self.m_Settings.m_Clients, Self.clientHooks());
  Self.m_Readiness = std::make_unique<HttpListener>(
      Self.m_Loop, Self.m_Settings.m_Readiness, Self.readinessHooks());
  Self.m_Metrics = std::make_unique<HttpListener>(
      Self.m_Loop,
      Endpoint{Self.m_Settings.m_Ip, Self.m_Settings.m_MetricsPort},
      Self.metricsHooks());
  Self.m_Peers.start(
      [&Self](const StallNotice &Notice) { Self.onStallNotice(Notice); },
      [&Self](const std::vector<PoisonRecord> &Records) {
        Self.m_Context.m_Poison.merge(Records, monotonicNow());
      },
      [&Self](const Json &Message) { Self.m_Relay.onMessage(Message); });
  Self.registerNode();
  Self.m_Servers.start();
  Self.m_Configurations.start();
  Self.m_Evacuations.start();
  Self.m_Nodes.start();
  Self.armTick();
  Self.armFlush();
}

void FrontNode::drain() { m_Impl->drain(); }

} // namespace fulmarwinch
