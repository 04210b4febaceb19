#include "node/node.h"

#include "core/log.h"
#include "drivers/platform/http_object_store.h"
#include "node/claim_service.h"
#include "node/configuration_service.h"
#include "node/data_path.h"
#include "node/engine_client.h"
#include "node/failure_gossip.h"
#include "node/gateway.h"
#include "node/group_control.h"
#include "node/group_monitor.h"
#include "node/operator_api.h"
#include "node/peer_service.h"
#include "node/poison_exchange.h"
#include "node/slot_client.h"
#include "node/slot_codec.h"
#include "node/view_receiver.h"

#include "fmt/format.h"

#include <atomic>
#include <random>
#include <thread>

namespace fulmarwinch {

namespace {

constexpr Duration GatewayPeriod = std::chrono::milliseconds(5);
constexpr Duration ClaimPeriod = std::chrono::milliseconds(2);
constexpr Duration ConfigurationPeriod = std::chrono::milliseconds(50);
constexpr Duration LeasePeriod = std::chrono::milliseconds(100);
constexpr Duration GroupPeriod = std::chrono::milliseconds(250);
constexpr Duration VmListPeriod = std::chrono::seconds(2);
constexpr Duration FailureExpiryPeriod = std::chrono::minutes(1);
constexpr Duration ClaimGarbagePeriod = std::chrono::minutes(10);
constexpr Duration ShutdownPollInterval = std::chrono::milliseconds(20);
/// Longest wait at shutdown until leases are released and claims and audit
/// records are written.
constexpr Duration ReleaseTimeout = std::chrono::seconds(5);

/// Returns an ID that is unique for each start of the process, so that a
/// restarted node does not mistake a write of its previous process for its own.
std::string writerId(const NodeSettings &Settings) {
  std::random_device Device;
  return fmt::format("{}.{:08x}{:08x}", Settings.m_Node, Device(), Device());
}

std::unique_ptr<SelectionStrategy> defaultStrategy() {
  return std::move(makeStrategy("affinity", SelectionSettings{}).value());
}

} // namespace

struct Node::Impl {
  explicit Impl(const NodeSettings &Settings);

  void registerChannelHandlers();
  void startTimers();
  void onSlotMessage(const std::string &From, const Json &Message);
  void requestSlotsOnFirstWait();
  bool pollUntil(Duration Timeout,
                 const std::function<bool()> &Condition) const;
  bool isReleaseComplete();
  /// Stops both HTTP clients and discards the waiting requests of clients.
  void endPendingCalls();

  const NodeSettings m_Settings;
  const std::string m_Writer;
  std::atomic<bool> m_IsStopping{false};
  /// True if requests were waiting at the last check. Only used on the thread
  /// of m_DataTimer.
  bool m_HadWaitingRequests = false;
  Metrics m_Metrics;
  HttpClient m_DataClient{2, maxPooledConnections(m_Settings)};
  HttpClient m_ControlClient{1, maxPooledConnections(m_Settings)};
  TaskThread m_ControlThread;
  TaskThread m_DataTimer;
  HttpObjectStore m_ObjectStore;
  DataPath m_DataPath;
  PeerService m_PeerService;
  EngineClient m_EngineClient;
  ClaimService m_ClaimService;
  Gateway m_Gateway;
  ViewReceiver m_ViewReceiver;
  GroupMonitor m_GroupMonitor;
  GroupControl m_GroupControl;
  ConfigurationService m_Configuration;
  SlotClient m_SlotClient;
  PoisonExchange m_PoisonExchange;
  OperatorApi m_OperatorApi;
  FailureGossip m_FailureGossip;
};

Node::Impl::Impl(const NodeSettings &Settings)
    : m_Settings(Settings), m_Writer(writerId(Settings)),
      m_ObjectStore({toText(Settings.m_PlatformEndpoint)}, m_ControlClient),
      m_DataPath(m_Writer, defaultStrategy(), m_Metrics),
      m_PeerService(m_Settings, m_ControlThread, m_Metrics),
      m_EngineClient(m_ControlClient, m_ControlThread),
      m_ClaimService(m_Writer, m_ObjectStore,
                     // This node cannot tell whether a writer has stopped. A
                     // running one may still execute its claim, so each writer
                     // counts as alive.
                     [](const std::string &) { return true; }),
      m_Gateway(m_Settings, m_DataPath, m_DataClient, m_ClaimService),
      m_ViewReceiver(m_DataPath, Settings.m_Zone),
      m_GroupMonitor(m_PeerService, m_EngineClient),
      m_GroupControl(m_Settings, m_Writer, m_ObjectStore, m_ControlThread,
                     m_PeerService, m_EngineClient, m_Metrics),
      m_Configuration(m_Settings, m_ObjectStore, m_ControlThread, m_PeerService,
                      m_DataPath,
                      [this](ConfigurationView::Pointer View) {
                        m_GroupControl.setConfiguration(std::move(View));
                      }),
      m_SlotClient(m_DataPath, m_PeerService, m_ViewReceiver,
                   [this] { return m_Gateway.queueDepth(); }),
      m_PoisonExchange(m_DataPath, m_PeerService),
      m_OperatorApi({m_Settings, m_ObjectStore, m_ControlThread, m_PeerService,
                     m_Configuration, m_GroupControl, m_ViewReceiver, m_Metrics,
                     [this] {
                       return !m_IsStopping &&
                              m_DataPath.configuration()->m_MayAcceptNewWork;
                     }},
                    m_Writer),
      m_FailureGossip(m_PeerService, m_DataPath) {}

void Node::Impl::registerChannelHandlers() {
  m_PeerService.setChannelHandler(
      PeerChannel::Views, [this](const std::string &, const Json &Message) {
        if (const auto View = parsePublishedView(Message))
          m_ViewReceiver.onView(*View, monotonicNow());
      });
  m_PeerService.setChannelHandler(
      PeerChannel::Tasks, [this](const std::string &, const Json &Message) {
        m_GroupMonitor.onTasks(Message);
      });
  m_PeerService.setChannelHandler(
      PeerChannel::Slots, [this](const std::string &From, const Json &Message) {
        onSlotMessage(From, Message);
      });
}

void Node::Impl::onSlotMessage(const std::string &From, const Json &Message) {
  const MonotonicTime Now = monotonicNow();
  if (const auto Request = parseSlotRequest(Message))
    m_GroupControl.onSlotRequest(From, *Request, Now);
  else if (const auto Grant = parseSlotGrant(Message))
    m_SlotClient.onGrant(*Grant, Now);
}

void Node::Impl::requestSlotsOnFirstWait() {
  const bool HasWaitingRequests = m_Gateway.queueDepth() > 0;
  // A node without requests holds no slots. The first request that waits causes
  // a slot request at once, so that it does not also wait for the next period.
  if (HasWaitingRequests && !m_HadWaitingRequests)
    m_ControlThread.post([this] { m_SlotClient.tick(monotonicNow()); });
  m_HadWaitingRequests = HasWaitingRequests;
}

void Node::Impl::startTimers() {
  m_DataTimer.runPeriodically(GatewayPeriod, [this] {
    m_Gateway.tick(monotonicNow());
    requestSlotsOnFirstWait();
  });
  m_DataTimer.runPeriodically(ClaimPeriod,
                              [this] { m_ClaimService.tick(monotonicNow()); });
  m_ControlThread.runPeriodically(ConfigurationPeriod, [this] {
    const MonotonicTime Now = monotonicNow();
    m_PeerService.tick(Now);
    m_Configuration.tick(Now);
    m_OperatorApi.tick(Now);
  });
  m_ControlThread.runPeriodically(
      LeasePeriod, [this] { m_GroupControl.tickLeases(monotonicNow()); });
  m_ControlThread.runPeriodically(GroupPeriod, [this] {
    const MonotonicTime Now = monotonicNow();
    m_GroupControl.tickGroups(Now);
    m_GroupMonitor.tick(Now);
    m_ViewReceiver.tick(Now);
    m_SlotClient.tick(Now);
    m_PoisonExchange.tick(Now);
    m_Metrics.setGauge("requests_in_progress",
                       static_cast<double>(m_Gateway.inProgressCount()));
    m_Metrics.setGauge("requests_waiting",
                       static_cast<double>(m_Gateway.queueDepth()));
  });
  m_ControlThread.runPeriodically(
      FailureExpiryPeriod, [this] { m_FailureGossip.tick(monotonicNow()); });
  m_ControlThread.runPeriodically(ClaimGarbagePeriod, [this] {
    // Only the holder of the region's first shard deletes claim buckets, so
    // that one node does so at a time.
    for (const std::string &Shard : m_GroupControl.heldShards(monotonicNow()))
      if (Shard == fmt::format("{}.0", m_Settings.m_Region))
        m_ClaimService.collectGarbage();
  });
  m_ControlThread.runPeriodically(VmListPeriod,
                                  [this] { m_GroupControl.tickVms(); });
  m_ControlThread.post([this] { m_GroupControl.tickVms(); });
}

bool Node::Impl::pollUntil(Duration Timeout,
                           const std::function<bool()> &Condition) const {
  const MonotonicTime Deadline = monotonicNow() + Timeout;
  while (!Condition()) {
    if (monotonicNow() >= Deadline)
      return false;
    std::this_thread::sleep_for(ShutdownPollInterval);
  }
  return true;
}

bool Node::Impl::isReleaseComplete() {
  // 1 if leases are released and audit records written, 0 if not, -1 until the
  // control thread has set it.
  const auto ReleaseState = std::make_shared<std::atomic<int>>(-1);
  m_ControlThread.post([this, ReleaseState] {
    *ReleaseState =
        m_GroupControl.isStopped(monotonicNow()) && m_OperatorApi.isAuditIdle();
  });
  pollUntil(std::chrono::seconds(1),
            [ReleaseState] { return *ReleaseState >= 0; });
  return *ReleaseState == 1 && m_ClaimService.isDrained();
}

Node::Node(const NodeSettings &Settings)
    : m_Impl(std::make_unique<Impl>(Settings)) {}

Node::~Node() {
  Impl &Components = *m_Impl;
  // Threads stop before the objects that their callbacks use are destroyed, and
  // pending exchanges are discarded while their connections still exist.
  Components.m_DataTimer.stop();
  Components.m_ControlThread.stop();
  Components.m_PeerService.stop();
  Components.m_Gateway.stop([&Components] { Components.endPendingCalls(); });
  // Gateway::stop() does not call the function passed to it if the server was
  // never started.
  Components.endPendingCalls();
  const auto DiscardOperatorCalls = [&Components] {
    Components.m_OperatorApi.discardConfirmations();
    Components.m_ControlThread.discardTasks();
  };
  Components.m_OperatorApi.stop(DiscardOperatorCalls);
  DiscardOperatorCalls();
}

void Node::Impl::endPendingCalls() {
  m_DataClient.stop();
  m_ControlClient.stop();
  m_Gateway.discardWaitingRequests();
  m_ClaimService.discardWaitingCallbacks();
}

absl::Status Node::start() {
  m_Impl->registerChannelHandlers();
  m_Impl->m_ControlThread.start();
  m_Impl->m_DataTimer.start();
  if (absl::Status Result = m_Impl->m_PeerService.start(); !Result.ok())
    return Result;
  if (absl::Status Result = m_Impl->m_OperatorApi.start(); !Result.ok())
    return Result;
  if (absl::Status Result = m_Impl->m_Gateway.start(); !Result.ok())
    return Result;
  m_Impl->startTimers();
  logLine(LogLevel::Info, "node",
          fmt::format("node {} serves clients on {} and operators on {}",
                      m_Impl->m_Settings.m_Node,
                      toText(m_Impl->m_Settings.m_ClientEndpoint),
                      toText(m_Impl->m_Settings.m_OperatorEndpoint)));
  return absl::OkStatus();
}

void Node::shutDown() {
  Impl &Components = *m_Impl;
  logLine(LogLevel::Info, "node", "shutting down");
  Components.m_IsStopping = true;
  std::this_thread::sleep_for(
      std::chrono::milliseconds(Components.m_Settings.m_DrainGraceMs));
  Components.m_Gateway.beginShutdown();
  const bool IsDrained = Components.pollUntil(
      std::chrono::milliseconds(Components.m_Settings.m_DrainTimeoutMs),
      [&Components] { return Components.m_Gateway.inProgressCount() == 0; });
  if (!IsDrained)
    logLine(LogLevel::Warning, "node",
            fmt::format("drain timeout expired with {} requests in progress",
                        Components.m_Gateway.inProgressCount()));
  Components.m_ClaimService.beginShutdown();
  Components.m_ControlThread.post(
      [&Components] { Components.m_GroupControl.stop(); });
  if (!Components.pollUntil(ReleaseTimeout, [&Components] {
        return Components.isReleaseComplete();
      }))
    logLine(LogLevel::Warning, "node",
            "leases, claims or audit records were not written in time");
  Components.m_ControlThread.post(
      [&Components] { Components.m_PeerService.leave(monotonicNow()); });
  std::this_thread::sleep_for(ShutdownPollInterval * 5);
  logLine(LogLevel::Info, "node", "stopped");
}

} // namespace fulmarwinch
