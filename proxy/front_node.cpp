#include "proxy/front_node.h"
#include "core/text.h"
#include "proxy/admission_control.h"
#include "proxy/client_guard.h"
#include "proxy/group_coordinator.h"
#include "proxy/http_listener.h"
#include "proxy/management_port.h"
#include "proxy/object_watcher.h"
#include "proxy/peer_exchange.h"
#include "proxy/placement_notices.h"
#include "proxy/relay_ticks.h"
#include "proxy/store_session.h"
#include "proxy/zone_change_relay.h"
#include "servers/feed/known_objects.h"

#include "asio.hpp"

#include <algorithm>
#include <set>

namespace fulmarwinch {

namespace {

using std::chrono::milliseconds;

/// Period in which deadlines are checked, stalled streams are detected and
/// groups are planned.
constexpr Duration TickPeriod = milliseconds(20);
constexpr Duration FlushPeriod = milliseconds(100);
/// Pause after a watch that returned changes, on the holder of the group lease,
/// which has to react to changes quickly.
constexpr Duration LeaseHolderWatchPause = milliseconds(80);
/// Pause after a watch that returned changes, on the other nodes that watch the
/// store; usually one node in each zone does.
constexpr Duration WatchPause = milliseconds(150);
/// Period in which the node reselects the relay of its zone, checks that the
/// relay's messages are recent and updates its rank for the lease.
constexpr Duration RelayCheckPeriod = milliseconds(60);
/// Bounds of the Retry-After of a request that there is no memory for.
constexpr double MinMemoryRetryAfterSeconds = 0.3;
constexpr double MaxMemoryRetryAfterSeconds = 1.0;
/// Period in which a node sends its crash records to a random peer.
constexpr Duration CrashSharePeriod = milliseconds(500);
/// Settings of the watches on the entries of servers and on evacuations.
ObjectWatcherSettings entryWatchSettings(const FrontSettings &Node) {
  ObjectWatcherSettings Settings;
  Settings.m_RestorationTime = restorationTime(Node);
  return Settings;
}
/// Settings of the watch on the store's node objects. The delays are long,
/// because nodes rarely change and an outdated list only affects latency.
ObjectWatcherSettings nodeWatchSettings(const FrontSettings &Node) {
  ObjectWatcherSettings Settings = entryWatchSettings(Node);
  Settings.m_WatchTimeout = std::chrono::seconds(10);
  Settings.m_PauseAfterChanges = milliseconds(700);
  Settings.m_ForwardingWatchTimeout = std::chrono::seconds(5);
  Settings.m_MaxAgeFromSource = std::chrono::seconds(7);
  Settings.m_MaxAgeFromRelay = std::chrono::seconds(8);
  return Settings;
}
SelectorSettings selectorSettings(const FrontSettings &Node) {
  SelectorSettings Settings;
  Settings.m_EstimatesPlacement = Node.isEnabled(OptionalPart::Placement);
  return Settings;
}
constexpr const char *MetricsPath = "/metrics";
/// Descriptors for files, and for the connections to the store, peers, probes
/// and the ports for readiness and metrics.
constexpr std::size_t FileDescriptors = 200;
constexpr std::size_t OwnDescriptors = 48 + 2 * ManagementPort::MaxConnections;
/// Kind of the store's objects under which the nodes register themselves.
constexpr const char *NodeObjectKind = "fulmarwinch-nodes";
constexpr Duration RegistrationRetryDelay = milliseconds(700);
/// Share of the platform's retry limit that the nodes use. The rest is a margin
/// for the difference between the time windows of the nodes and that of the
/// limit.
constexpr double RetryBudgetShare = 0.85;
/// Minimum time between two stall reports of this node about one group.
constexpr Duration MinStallReportInterval = milliseconds(150);

std::int64_t inMs(Duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

} // namespace

struct FrontNode::Impl {
  Impl(asio::io_context &Loop, EventLog &Log, const FrontSettings &Settings,
       const PlatformBinding &Platform)
      : m_Loop(Loop), m_Log(Log), m_Settings(Settings),
        m_StoreSession(Loop, Platform, Log, m_Metrics),
        m_Platform(m_StoreSession.bind(Platform)), m_TickTimer(Loop),
        m_LogFlushTimer(Loop), m_RegistrationTimer(Loop),
        m_ServerSelector(selectorSettings(Settings)),
        m_Context(Loop, Log, m_Metrics, Platform.m_HeaderNames, m_Fleet,
                  m_ServerSelector, m_StallDetector),
        m_PeerExchange(Loop, Log, m_ServerSelector, Settings.m_NodeName,
                       {{Settings.m_Ip, Settings.m_PeerPort},
                        Settings.m_Zone,
                        Settings.m_LinkMbps}),
        m_ChangeRelay(Log, m_PeerExchange),
        m_Incarnation(concat(Settings.m_NodeName, "-", std::random_device()(),
                             "-", unixNow())),
        m_GroupCoordinator(m_Context, m_Platform, Settings, m_Incarnation),
        m_ServerWatcher(Loop, m_StoreSession, Log, m_Metrics,
                        Platform.m_ServerKind, serverHandlers(),
                        entryWatchSettings(Settings)),
        m_ConfigurationWatcher(Loop, m_StoreSession, Log, m_Metrics,
                               Platform.m_ConfigurationKind,
                               configurationHandlers()),
        m_EvacuationWatcher(Loop, m_StoreSession, Log, m_Metrics,
                            Platform.m_EvacuationKind, evacuationHandlers(),
                            entryWatchSettings(Settings)),
        m_NodeWatcher(Loop, m_StoreSession, Log, m_Metrics, NodeObjectKind,
                      nodeHandlers(), nodeWatchSettings(Settings)),
        m_ClientGuard(clientGuardOptions(), m_Metrics) {
    m_Context.m_FindShortage = [this] { return m_ClientGuard.findShortage(); };
    m_Context.m_HasSpareDescriptor = [this] {
      return m_ClientGuard.hasSpareDescriptor();
    };
    if (Settings.m_MemoryMb > 0.0)
      m_Context.m_Memory->setProcessLimit(Settings.m_MemoryMb);
    setRetryBudgets(1);
    SecondAttemptSettings SecondAttempts;
    SecondAttempts.m_MaxShare = Settings.m_SecondAttemptShare;
    m_Context.m_SecondAttempts = SecondAttemptPolicy(SecondAttempts);
    for (ObjectWatcher *Watcher : {&m_ServerWatcher, &m_ConfigurationWatcher,
                                   &m_EvacuationWatcher, &m_NodeWatcher})
      m_ChangeRelay.addWatcher(*Watcher);
    m_StoreSession.setOnRestored(
        [this](StoreEra Era) { onStoreRestored(Era); });
    m_Context.m_OnGroupStalled = [this](const ChosenServer &Server) {
      if (!Server.m_Group)
        return;
      const StallReport Report{Server.m_Id, *Server.m_Group, false};
      if (!mayReportStall(Report.m_Group))
        return;
      m_Log.write("group_silent",
                  {{"head", Server.m_Id}, {"group", Server.m_Group->m_Name}});
      m_PeerExchange.announce(Report);
      m_GroupCoordinator.onGroupStalled(Report);
    };
    m_Context.m_OnConnectionLost = [this](const ChosenServer &Server) {
      onConnectionLost(Server);
    };
    m_Context.m_OnSuspectClosed = [this](const ChosenServer &Server) {
      probeForCrash(Server);
    };
    m_Context.m_OnCrashRecordsCleared = [this] { announceCrashRecords(); };
    m_Context.m_OnLongPrompt = [this](const std::string &Server,
                                      Duration PrefillTime) {
      m_PeerExchange.announcePrompt(Server, PrefillTime);
    };
    exchangeTraffic();
    m_GroupCoordinator.setOnStallConfirmed([this](const StallReport &Report) {
      m_PeerExchange.announce(Report);
      onStallReport(Report);
    });
  }

  /// Exchanges demand, latencies and work with the other nodes.
  void exchangeTraffic() {
    m_PeerExchange.exchangeTraffic(
        [this] {
          const MonotonicTime Now = monotonicNow();
          WorkReport Work = m_Context.m_CompletionRate.ownReport(Now);
          // The shares of organisations are decided under overload only.
          if (m_Context.m_AdmissionShares.empty())
            Work.m_Organisations.clear();
          return PeerExchange::TrafficReport{
              m_Context.m_DemandEstimator.busyGroupsByModel(Now),
              m_Context.m_ReturningDemandEstimator.busyGroupsByModel(Now),
              m_Context.m_FirstEventLatency.ownReport(Now), std::move(Work)};
        },
        [this](const std::string &Peer, PeerExchange::TrafficReport Traffic) {
          const MonotonicTime Now = monotonicNow();
          m_Context.m_FleetDemand.setPeerDemand(
              Peer, std::move(Traffic.m_Demand), Now);
          m_Context.m_ReturningFleetDemand.setPeerDemand(
              Peer, std::move(Traffic.m_ReturningDemand), Now);
          m_Context.m_FirstEventLatency.setPeerReport(
              Peer, std::move(Traffic.m_Latencies), Now);
          m_Context.m_CompletionRate.setPeerReport(
              Peer, std::move(Traffic.m_Work), Now);
        });
  }

  /// Begins to read anew what the store contains, which has returned from a
  /// copy.
  void onStoreRestored(StoreEra Era) {
    m_GroupCoordinator.onStoreRestored(Era);
    m_RegistrationVersion = {};
    if (!isDraining())
      registerNode();
    for (ObjectWatcher *Watcher : {&m_ServerWatcher, &m_ConfigurationWatcher,
                                   &m_EvacuationWatcher, &m_NodeWatcher})
      Watcher->onStoreRestored();
  }

  /// Limits the rate of stall reports, since every stream of a stalled group
  /// detects the stall. Returns true if the group may be reported now.
  bool mayReportStall(const GroupKey &Group) {
    const MonotonicTime Now = monotonicNow();
    for (auto Entry = m_StallReportedAt.begin();
         Entry != m_StallReportedAt.end();)
      Entry = Now - Entry->second >= MinStallReportInterval
                  ? m_StallReportedAt.erase(Entry)
                  : std::next(Entry);
    return m_StallReportedAt.emplace(Group, Now).second;
  }

  void onStallReport(const StallReport &Report) {
    if (!Report.m_IsConfirmed) {
      m_GroupCoordinator.onGroupStalled(Report);
      return;
    }
    m_Log.write("group_stalled", {{"head", Report.m_HeadServer},
                                  {"group", Report.m_Group.m_Name}});
    m_ServerSelector.availability().onSuspected(Report.m_HeadServer,
                                                Report.m_Group, monotonicNow());
  }

  ObjectWatcher::Handlers serverHandlers() {
    ObjectWatcher::Handlers Result;
    Result.m_OnListed = [this](const std::vector<StoredObject> &Objects) {
      std::vector<BackendServer> Servers;
      for (const StoredObject &Object : Objects)
        if (auto Server = readServer(Object))
          Servers.push_back(std::move(*Server));
      for (const std::string &Id : m_Fleet.replaceAll(
               std::move(Servers), monotonicNow(), m_ServerWatcher.trust()))
        logServer(Id);
      for (const auto &[Id, Server] : m_Fleet.excludedEntries())
        logExcluded(Server);
    };
    Result.m_OnChange = [this](const ObjectChange &Change) {
      const StoredObject &Object = Change.m_Object;
      auto Server = Change.m_Deleted ? std::nullopt : readServer(Object);
      // A server whose entry cannot be decoded is removed from the fleet.
      const bool Changed =
          Server ? m_Fleet.update(std::move(*Server), monotonicNow())
                 : m_Fleet.remove(Object.m_Name, Object.m_Position);
      if (Changed)
        logServer(Object.m_Name);
      const auto Excluded = m_Fleet.excludedEntries().find(Object.m_Name);
      if (Excluded != m_Fleet.excludedEntries().end())
        logExcluded(Excluded->second);
    };
    Result.m_OnBatchApplied = [] {};
    return Result;
  }

  std::optional<BackendServer> readServer(const StoredObject &Object) {
    auto Server = m_Platform.m_DecodeServer(Object);
    if (Server.ok())
      return std::move(*Server);
    m_Log.write(
        "entry_unreadable",
        {{"name", Object.m_Name},
         {"revision", static_cast<std::int64_t>(Object.m_Position.m_Revision)},
         {"problem", toStdView(Server.status().message())}});
    return std::nullopt;
  }

  void logExcluded(const BackendServer &Server) {
    m_Log.write(
        "entry_excluded",
        {{"name", Server.m_Id},
         {"revision", static_cast<std::int64_t>(Server.m_Position.m_Revision)},
         {"service", Server.m_Service}});
  }

  /// Sends the crash records to the peers if the changed entry of server \p Id
  /// completes the evidence that a request crashes servers.
  void reportCrash(const std::string &Id, std::int64_t StartedAtMs) {
    if (m_Context.m_CrashDetector.onServerEntryChanged(Id, StartedAtMs))
      announceCrashRecords();
  }

  void announceCrashRecords() {
    m_PeerExchange.announce(m_Context.m_PoisonDetector.records(monotonicNow()));
  }

  /// Probes a server that may have crashed. Its store entry shows the crash too
  /// late: further servers would crash meanwhile.
  void onConnectionLost(const ChosenServer &Server) {
    m_Context.m_OnGroupStalled(Server);
    probeForCrash(Server);
  }

  void probeForCrash(const ChosenServer &Server) {
    const std::string Process =
        CrashDetector::processName(Server.m_Id, Server.m_StartedAtMs);
    const BackendServer *Entry = m_Fleet.find(Server.m_Id);
    if (!Entry || Entry->m_StartedAtMs != Server.m_StartedAtMs ||
        !m_Context.m_PoisonDetector.hasSuspects(Process) ||
        !m_CrashProbes.insert(Process).second)
      return;
    m_GroupCoordinator.checkLiveness(*Entry, [this, Server, Process,
                                              ProbedAt = monotonicNow()](
                                                 bool IsAlive,
                                                 UpstreamOutcome Outcome) {
      m_CrashProbes.erase(Process);
      m_Log.write("crash_probe",
                  {{"server", Server.m_Id},
                   {"born", Server.m_StartedAtMs},
                   {"alive", IsAlive},
                   {"end", nameOf(UpstreamOutcomeNames, Outcome)}});
      if (IsAlive) {
        if (m_Context.m_CrashDetector.onServerAlive(
                Server.m_Id, Server.m_StartedAtMs, ProbedAt, monotonicNow()))
          announceCrashRecords();
        return;
      }
      m_ServerSelector.availability().onSuspected(Server.m_Id, Server.m_Group,
                                                  monotonicNow());
      reportCrash(Server.m_Id, 0);
    });
  }

  /// Shares the crash records with one peer at a time. Crashes are announced to
  /// all peers, but a node may have been down or have lost the message.
  void shareCrashRecords(MonotonicTime Now) {
    m_Context.m_PoisonDetector.removeExpired(Now);
    std::vector<PoisonRecord> Records = m_Context.m_PoisonDetector.records(Now);
    if (!Records.empty())
      m_PeerExchange.sendToRandomPeer(std::move(Records));
  }

  void logServer(const std::string &Id) {
    const BackendServer *Server = m_Fleet.find(Id);
    reportCrash(Id, Server ? Server->m_StartedAtMs : 0);
    if (!Server) {
      m_Log.write("server_gone", {{"server", Id}});
      return;
    }
    const auto &Membership = Server->m_Membership;
    m_Log.write(
        "server",
        {{"server", Id},
         {"revision", static_cast<std::int64_t>(Server->m_Position.m_Revision)},
         {"born", Server->m_StartedAtMs},
         {"service", Server->m_Service},
         {"domain", Server->m_FabricDomain},
         {"zone", Server->m_Zone},
         {"draining", Server->m_Draining},
         {"cold_ms", inMs(Server->m_RemainingColdTime)},
         {"staged", Server->m_StagedModels.empty()
                        ? std::string_view()
                        : Server->m_StagedModels.front()},
         {"group", Membership ? std::string_view(Membership->m_Group.m_Name)
                              : std::string_view()},
         {"rank", Membership ? std::int64_t{Membership->m_Rank} : -1},
         {"state", Membership
                       ? nameOf(GroupMemberStateNames, Membership->m_State)
                       : std::string_view()}});
  }

  ObjectWatcher::Handlers configurationHandlers() {
    ObjectWatcher::Handlers Result;
    Result.m_OnListed = [this](const std::vector<StoredObject> &Objects) {
      for (const StoredObject &Object : Objects)
        readConfiguration(Object);
    };
    Result.m_OnChange = [this](const ObjectChange &Change) {
      if (!Change.m_Deleted)
        readConfiguration(Change.m_Object);
    };
    Result.m_OnBatchApplied = [] {};
    return Result;
  }

  void readConfiguration(const StoredObject &Object) {
    if (Object.m_Name != m_Platform.m_ConfigurationName)
      return;
    auto Content = m_Platform.m_DecodeConfiguration(Object);
    if (!Content.ok()) {
      m_Context.m_Metrics.increment("configurations_unreadable_total");
      m_Log.write("configuration_unreadable",
                  {{"revision",
                    static_cast<std::int64_t>(Object.m_Position.m_Revision)},
                   {"problem", toStdView(Content.status().message())}});
      return;
    }
    const ConfigurationOrder Order{Content->m_Version, Object.m_Position};
    if (!(m_ConfigurationOrder < Order)) {
      if (Order.m_Version == m_ConfigurationOrder.m_Version)
        return;
      m_Log.write("configuration_outdated",
                  {{"version", static_cast<std::int64_t>(Content->m_Version)},
                   {"revision",
                    static_cast<std::int64_t>(Object.m_Position.m_Revision)},
                   {"era", static_cast<std::int64_t>(m_StoreSession.era())}});
      return;
    }
    m_ConfigurationOrder = Order;
    m_Context.m_RouteTable = std::make_shared<RouteTable>(std::move(*Content));
    const TrafficConfiguration &Current =
        m_Context.m_RouteTable->configuration();
    std::set<std::string> Services;
    for (const ServiceSpec &Service : Current.m_Services)
      Services.insert(Service.m_Name);
    m_Fleet.setServices(std::move(Services), monotonicNow());
    m_Log.write(
        "configuration",
        {{"version", static_cast<std::int64_t>(Current.m_Version)},
         {"revision", static_cast<std::int64_t>(Object.m_Position.m_Revision)},
         {"era", static_cast<std::int64_t>(m_StoreSession.era())},
         {"routes", static_cast<std::int64_t>(Current.m_Routes.size())}});
  }

  ObjectWatcher::Handlers evacuationHandlers() {
    ObjectWatcher::Handlers Result;
    Result.m_OnListed = [this](const std::vector<StoredObject> &Objects) {
      std::map<std::string, Evacuation> Zones;
      for (const StoredObject &Object : Objects)
        Zones.emplace(Object.m_Name, Evacuation());
      m_Evacuations.replaceAll(std::move(Zones), m_EvacuationWatcher.trust());
    };
    Result.m_OnChange = [this](const ObjectChange &Change) {
      if (Change.m_Deleted)
        m_Evacuations.remove(Change.m_Object.m_Name);
      else
        m_Evacuations.set(Change.m_Object.m_Name, {});
      m_Log.write("evacuation", {{"zone", Change.m_Object.m_Name},
                                 {"in_force", !Change.m_Deleted}});
    };
    Result.m_OnBatchApplied = [this] {
      std::set<std::string> Zones;
      for (const auto &[Zone, Content] : m_Evacuations.objects())
        Zones.insert(Zone);
      m_Fleet.setEvacuatedZones(std::move(Zones));
    };
    return Result;
  }

  ObjectWatcher::Handlers nodeHandlers() {
    ObjectWatcher::Handlers Result;
    Result.m_OnListed = [this](const std::vector<StoredObject> &Objects) {
      std::map<std::string, PeerAddress> Addresses;
      for (const StoredObject &Object : Objects)
        if (const auto Address = readNode(Object))
          Addresses.emplace(Object.m_Name, *Address);
      m_Nodes.replaceAll(std::move(Addresses), m_NodeWatcher.trust());
    };
    Result.m_OnChange = [this](const ObjectChange &Change) {
      if (Change.m_Deleted)
        m_Nodes.remove(Change.m_Object.m_Name);
      else if (const auto Address = readNode(Change.m_Object))
        m_Nodes.set(Change.m_Object.m_Name, *Address);
    };
    Result.m_OnBatchApplied = [this] {
      m_PeerExchange.setPeers(m_Nodes.objects());
      std::vector<std::string> Names;
      for (const auto &[Name, Address] : m_Nodes.objects())
        Names.push_back(Name);
      setRetryBudgets(std::max<std::size_t>(1, Names.size()));
      m_ServerSelector.setNodes(m_Settings.m_NodeName, std::move(Names),
                                monotonicNow());
    };
    return Result;
  }

  static std::optional<PeerAddress> readNode(const StoredObject &Object) {
    const auto Address =
        parseEndpoint(fieldOr(Object.m_Content, "address", std::string()));
    if (!Address)
      return std::nullopt;
    return PeerAddress{*Address,
                       fieldOr(Object.m_Content, "zone", std::string()),
                       fieldOr(Object.m_Content, "link_mbps", 0.0)};
  }

  void setRetryBudgets(std::size_t NodeCount) {
    WindowedRetryBudgetSettings &Settings = m_Context.m_RetryBudgetSettings;
    Settings.m_RetriesPerRequest =
        m_Settings.m_RetryBudgetRatio * RetryBudgetShare;
    Settings.m_FixedRetriesPerWindow = m_Settings.m_RetryBudgetSlack *
                                       RetryBudgetShare /
                                       static_cast<double>(NodeCount);
    Settings.m_Window = m_Settings.m_RetryBudgetWindow;
    Settings.m_StartedAt = m_StartedAt;
    for (auto &[Service, ServiceBudget] : m_Context.m_RetryBudgets)
      ServiceBudget.setFixedRetriesPerWindow(Settings.m_FixedRetriesPerWindow);
  }

  /// Registers this node's address in the store, so that its peers find it.
  void registerNode() {
    const std::string Key = concat(NodeObjectKind, "/", m_Settings.m_NodeName);
    const Json Content{
        {"address", concat(m_Settings.m_Ip, ":", m_Settings.m_PeerPort)},
        {"zone", m_Settings.m_Zone},
        {"link_mbps", m_Settings.m_LinkMbps},
        {"incarnation", m_Incarnation}};
    m_Metrics.increment("store_calls_total{kind=\"nodes\",reason=\"write\"}");
    m_Platform.m_StartStoreCall(
        PutObject{0, Key, m_RegistrationVersion, Content.dump()},
        [this](const StoreCompletion &Result) {
          const auto &Put = std::get<WriteCompleted>(Result);
          if (Put.m_Outcome == StoreOutcome::Succeeded) {
            m_RegistrationVersion = Put.m_Version;
            return;
          }
          if (Put.m_Outcome == StoreOutcome::Conflict)
            m_RegistrationVersion = Put.m_Version;
          m_RegistrationTimer.expires_after(RegistrationRetryDelay);
          m_RegistrationTimer.async_wait([this](const asio::error_code &Error) {
            if (!Error && !isDraining())
              registerNode();
          });
        });
  }

  bool isDraining() const { return m_Context.m_PlannedStop.hasBegun(); }

  bool isReady() const {
    return !isDraining() && m_Context.m_RouteTable &&
           m_ServerWatcher.hasListed();
  }

  /// Returns when the client of a request may send it again, of which this node
  /// has no memory for \p Part. The memory is free again once running requests
  /// have ended; other nodes may have some at once.
  HttpHeaders onRequestRefused(RequestPart Part) {
    const bool IsBody = Part == RequestPart::Body;
    const MemoryBudget &Budget = IsBody ? *m_Context.m_Memory->bodyBudget()
                                        : *m_Context.m_Memory->budget();
    m_Metrics.increment(IsBody ? "request_bodies_refused_total"
                               : "request_heads_refused_total");
    m_Log.write(IsBody ? "body_refused" : "head_refused",
                {{"bytes_held", static_cast<std::int64_t>(Budget.used())},
                 {"limit", static_cast<std::int64_t>(Budget.limit())}});
    std::uniform_real_distribution<double> Seconds(MinMemoryRetryAfterSeconds,
                                                   MaxMemoryRetryAfterSeconds);
    return {{"Retry-After", concat(Seconds(m_Context.m_Random))}};
  }

  ClientGuardOptions clientGuardOptions() {
    ClientGuardOptions Options;
    if (m_Settings.m_MaxFds > 0)
      Options.m_MaxDescriptors =
          m_Settings.m_MaxFds - FileDescriptors - OwnDescriptors;
    Options.m_Memory = m_Context.m_Memory;
    Options.m_CountCalls = [this] {
      return m_Context.m_ActiveRequests.size() + m_Context.m_SecondAttemptCount;
    };
    Options.m_OnClosed = [this](const ClosedClients &Closed) {
      m_Log.write(
          "clients_closed",
          {{"cause", Closed.m_Cause},
           {"count", static_cast<std::int64_t>(Closed.m_Count)},
           {"released", static_cast<std::int64_t>(Closed.m_ReleasedBytes)},
           {"held", static_cast<std::int64_t>(Closed.m_HeldBytes)},
           {"limit", static_cast<std::int64_t>(Closed.m_ByteLimit)},
           {"descriptors", static_cast<std::int64_t>(Closed.m_Descriptors)},
           {"first_since_ms", inMs(Closed.m_FirstSince)}});
    };
    return Options;
  }

  ConnectionHooks clientHooks() {
    ConnectionHooks Hooks;
    Hooks.m_GetLimits = [this] {
      return m_Context.m_RouteTable
                 ? m_Context.m_RouteTable->configuration().m_Limits
                 : ClientLimits();
    };
    Hooks.m_IsDraining = [this] { return isDraining(); };
    Hooks.m_Memory = m_Context.m_Memory;
    Hooks.m_BodyBudget = m_Context.m_Memory->bodyBudget();
    Hooks.m_MayAccept = [this] { return m_ClientGuard.mayAccept(); };
    Hooks.m_OnRefused = [this](RequestPart Part) {
      return onRequestRefused(Part);
    };
    Hooks.m_OnRequest = [this](std::shared_ptr<ClientConnection> Client,
                               ClientRequest Request) {
      std::make_shared<RequestRelay>(m_Context, std::move(Client),
                                     std::move(Request))
          ->start();
    };
    return Hooks;
  }

  void respondWithReadiness(ClientConnection &Client,
                            const ClientRequest &Request) {
    if (Request.m_Head.m_Target != m_Platform.m_ReadinessPath)
      Client.respond(404, "Not Found", {}, "");
    else if (isReady())
      Client.respond(200, "OK", {}, "");
    else
      Client.respond(503, "Service Unavailable", {}, "");
  }

  void respondWithMetrics(ClientConnection &Client,
                          const ClientRequest &Request) {
    if (Request.m_Head.m_Target != MetricsPath) {
      Client.respond(404, "Not Found", {}, "");
      return;
    }
    setGauges();
    Client.respond(200, "OK", {{"Content-Type", "text/plain"}},
                   m_Metrics.prometheusText());
  }

  void setGauges() {
    const auto Set = [this](const char *Name, double Value) {
      m_Metrics.setGauge(Name, Value);
    };
    const auto Age = [](const ObjectWatcher &Watcher) {
      return std::chrono::duration<double>(Watcher.stateAge()).count();
    };
    Set("requests_in_progress",
        static_cast<double>(m_Context.m_ActiveRequests.size()));
    Set("belief_age_seconds{kind=\"servers\"}", Age(m_ServerWatcher));
    Set("belief_age_seconds{kind=\"configuration\"}",
        Age(m_ConfigurationWatcher));
    Set("belief_age_seconds{kind=\"evacuations\"}", Age(m_EvacuationWatcher));
    Set("servers_known", static_cast<double>(m_Fleet.servers().size()));
    Set("server_entries_excluded",
        static_cast<double>(m_Fleet.excludedEntries().size()));
    const MemoryBudget &Bodies = *m_Context.m_Memory->bodyBudget();
    Set("request_body_bytes", static_cast<double>(Bodies.used()));
    Set("request_body_bytes_limit", static_cast<double>(Bodies.limit()));
    m_ClientGuard.setGauges();
    Set("store_era", static_cast<double>(m_StoreSession.era()));
    Set("nodes_known", static_cast<double>(m_Nodes.objects().size()));
    Set("lease_held", m_GroupCoordinator.holdsLease() ? 1.0 : 0.0);
    Set("log_lines_dropped", static_cast<double>(m_Log.discardedLines()));
    m_AdmissionControl.setGauges(monotonicNow());
    std::map<std::string, double> OpenGroups;
    for (const auto &[Key, Group] : m_Fleet.groups())
      if (Group.m_Head &&
          Group.m_Head->m_Membership->m_State == GroupMemberState::Open)
        OpenGroups[Group.m_Model] += 1.0;
    for (const auto &[Model, Count] : OpenGroups)
      m_Metrics.setGauge(concat("groups_open{model=\"", Model, "\"}"), Count);
    for (auto &[Service, Budget] : m_Context.m_RetryBudgets)
      m_Metrics.setGauge(concat("repeats_left{service=\"", Service, "\"}"),
                         Budget.available(monotonicNow()));
  }

  void scheduleTick() {
    m_TickTimer.expires_after(TickPeriod);
    m_TickTimer.async_wait([this](const asio::error_code &Error) {
      if (Error)
        return;
      tick(monotonicNow());
      scheduleTick();
    });
  }

  void tick(MonotonicTime Now) {
    tickActiveRequests(m_Context, Now);
    m_ClientGuard.tick(Now);
    m_ReadinessPort->tick(Now);
    m_MetricsPort->tick(Now);
    m_GroupCoordinator.tick(Now);
    m_ServerWatcher.setPauseAfterChanges(
        m_GroupCoordinator.holdsLease() ? LeaseHolderWatchPause : WatchPause);
    if (Now >= m_NextRelayCheckAt) {
      m_NextRelayCheckAt = Now + RelayCheckPeriod;
      const std::vector<RelayCandidate> LiveNodes =
          m_PeerExchange.liveNodes(Now);
      m_GroupCoordinator.setLiveNodes(LiveNodes);
      m_ChangeRelay.tick(Now, LiveNodes, m_GroupCoordinator.holdsLease());
    }
    for (const std::string &Id : m_Fleet.removeMissing(Now))
      logServer(Id);
    if (m_AdmissionControl.tick(Now) && m_ServerSelector.estimatesPlacement())
      reportPlacement(m_Context);
    if (m_Context.m_CrashDetector.removeExpired(Now))
      announceCrashRecords();
    if (Now >= m_NextCrashShareAt) {
      m_NextCrashShareAt = Now + CrashSharePeriod;
      shareCrashRecords(Now);
    }
    if (isDraining())
      continueDrain(Now);
  }

  void scheduleLogFlush() {
    m_LogFlushTimer.expires_after(FlushPeriod);
    m_LogFlushTimer.async_wait([this](const asio::error_code &Error) {
      m_Log.flush();
      if (!Error)
        scheduleLogFlush();
    });
  }

  void drain() {
    if (isDraining())
      return;
    m_Context.m_PlannedStop.begin(monotonicNow(), m_Settings.m_GracePeriod);
    m_GroupCoordinator.stop();
    m_Log.write("draining",
                {{"in_progress", static_cast<std::int64_t>(
                                     m_Context.m_ActiveRequests.size())}});
  }

  void continueDrain(MonotonicTime Now) {
    const PlannedStop &Stop = m_Context.m_PlannedStop;
    if (Now < Stop.stopsAcceptingAt())
      return;
    m_ClientListener->stopAccepting();
    m_ClientListener->closeIdleConnections();
    if (Now >= Stop.responsesDueAt())
      m_ClientListener->rejectIncompleteRequests();
    if (m_Context.m_ActiveRequests.empty() &&
        m_ClientListener->hasNoConnections()) {
      finish("drained");
      return;
    }
    if (Now >= Stop.exitsAt())
      finish("grace_over");
  }

  void finish(std::string_view Cause) {
    m_Log.write("stopped",
                {{"cause", Cause},
                 {"in_progress", static_cast<std::int64_t>(
                                     m_Context.m_ActiveRequests.size())}});
    m_Log.flush();
    m_Loop.stop();
  }

  asio::io_context &m_Loop;
  EventLog &m_Log;
  FrontSettings m_Settings;
  Metrics m_Metrics;
  StoreSession m_StoreSession;
  PlatformBinding m_Platform;
  asio::steady_timer m_TickTimer;
  asio::steady_timer m_LogFlushTimer;
  asio::steady_timer m_RegistrationTimer;
  FleetView m_Fleet;
  ServerSelector m_ServerSelector;
  StallDetector m_StallDetector;
  RequestRelayContext m_Context;
  AdmissionControl m_AdmissionControl{m_Context};
  PeerExchange m_PeerExchange;
  ZoneChangeRelay m_ChangeRelay;
  std::string m_Incarnation;
  GroupCoordinator m_GroupCoordinator;
  ObjectWatcher m_ServerWatcher;
  ObjectWatcher m_ConfigurationWatcher;
  ObjectWatcher m_EvacuationWatcher;
  ObjectWatcher m_NodeWatcher;
  ClientGuard m_ClientGuard;
  std::unique_ptr<HttpListener> m_ClientListener;
  std::unique_ptr<ManagementPort> m_ReadinessPort;
  std::unique_ptr<ManagementPort> m_MetricsPort;
  /// An evacuation has no content; its name is the zone.
  struct Evacuation {};
  KnownObjects<Evacuation> m_Evacuations;
  KnownObjects<PeerAddress> m_Nodes;
  MonotonicTime m_NextRelayCheckAt{};
  MonotonicTime m_NextCrashShareAt{};
  /// Processes of backend servers that are being probed after a lost
  /// connection.
  std::set<std::string> m_CrashProbes;
  std::map<GroupKey, MonotonicTime> m_StallReportedAt;
  const MonotonicTime m_StartedAt = monotonicNow();
  ConfigurationOrder m_ConfigurationOrder;
  ObjectVersion m_RegistrationVersion;
};

FrontNode::FrontNode(asio::io_context &Loop, EventLog &Log,
                     const FrontSettings &Settings,
                     const PlatformBinding &Platform)
    : m_Impl(std::make_unique<Impl>(Loop, Log, Settings, Platform)) {}

FrontNode::~FrontNode() = default;

void FrontNode::start() {
  Impl &Self = *m_Impl;
  Self.m_ClientListener = std::make_unique<HttpListener>(
      Self.m_Loop, Self.m_Settings.m_ClientEndpoint, Self.clientHooks());
  Self.m_ClientGuard.setListener(*Self.m_ClientListener);
  Self.m_ReadinessPort = std::make_unique<ManagementPort>(
      Self.m_Loop, Self.m_Settings.m_ReadinessEndpoint, Self.m_Metrics,
      [&Self](ClientConnection &Client, const ClientRequest &Request) {
        Self.respondWithReadiness(Client, Request);
      });
  Self.m_MetricsPort = std::make_unique<ManagementPort>(
      Self.m_Loop,
      Endpoint{Self.m_Settings.m_Ip, Self.m_Settings.m_MetricsPort},
      Self.m_Metrics,
      [&Self](ClientConnection &Client, const ClientRequest &Request) {
        Self.respondWithMetrics(Client, Request);
      });
  Self.m_PeerExchange.start(
      [&Self](const StallReport &Report) { Self.onStallReport(Report); },
      [&Self](const std::vector<PoisonRecord> &Records) {
        if (Self.m_Context.m_PoisonDetector.merge(Records, monotonicNow()))
          Self.announceCrashRecords();
      },
      [&Self](const Json &Message, Duration Delay) {
        Self.m_ChangeRelay.onMessage(Message, Delay);
      });
  Self.registerNode();
  Self.m_ServerWatcher.start();
  Self.m_ConfigurationWatcher.start();
  Self.m_EvacuationWatcher.start();
  Self.m_NodeWatcher.start();
  Self.scheduleTick();
  Self.scheduleLogFlush();
}

void FrontNode::drain() { m_Impl->drain(); }

} // namespace fulmarwinch
