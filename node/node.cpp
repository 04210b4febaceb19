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
constexpr Duration ForgetPeriod = std::chrono::minutes(1);
constexpr Duration GarbagePeriod = std::chrono::minutes(10);
constexpr Duration ShutdownPoll = std::chrono::milliseconds(20);
/// Longest wait for leases, claims and audit records at a shutdown.
constexpr Duration ReleaseTimeout = std::chrono::seconds(5);

/// Differs for every start of the process, so that a restarted node never
/// takes a write of its former self for its own.
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

  void connectChannels();
  void startTimers();
  void onSlots(const std::string &From, const Json &Message);
  void noticeWaiting();
  bool waitUntil(Duration Limit, const std::function<bool()> &IsReached) const;
  bool isReleased();
  /// Ends the calls of both clients and drops the requests of clients that
  /// are still kept.
  void endCalls();

  const NodeSettings m_Settings;
  const std::string m_Writer;
  std::atomic<bool> m_IsStopping{false};
  /// Used on the thread of the data timer only.
  bool m_WasWaiting = false;
  Metrics m_Metrics;
  HttpClient m_DataClient{2};
  HttpClient m_ControlClient{1};
  ControlThread m_Control;
  ControlThread m_DataTimer;
  HttpObjectStore m_Store;
  DataPath m_Path;
  PeerService m_Peers;
  EngineClient m_Engines;
  ClaimService m_Claims;
  Gateway m_Gateway;
  ViewReceiver m_Views;
  GroupMonitor m_Monitor;
  GroupControl m_Groups;
  ConfigurationService m_Configuration;
  SlotClient m_Slots;
  PoisonExchange m_Poison;
  OperatorApi m_Operators;
  FailureGossip m_Failures;
};

Node::Impl::Impl(const NodeSettings &Settings)
    : m_Settings(Settings), m_Writer(writerId(Settings)),
      m_Store({toText(Settings.m_PlatformEndpoint)}, m_ControlClient),
      m_Path(m_Writer, defaultStrategy(), m_Metrics),
      m_Peers(m_Settings, m_Control, m_Metrics),
      m_Engines(m_ControlClient, m_Control),
      m_Claims(m_Writer, m_Store,
               // A writer that is not known to be dead may still run its claim.
               [](const std::string &) { return true; }),
      m_Gateway(m_Settings, m_Path, m_DataClient, m_Claims),
      m_Views(m_Path, Settings.m_Zone), m_Monitor(m_Peers, m_Engines),
      m_Groups(m_Settings, m_Writer, m_Store, m_Control, m_Peers, m_Engines,
               m_Metrics),
      m_Configuration(m_Settings, m_Store, m_Control, m_Peers, m_Path,
                      [this](ConfigurationView::Pointer View) {
                        m_Groups.setConfiguration(std::move(View));
                      }),
      m_Slots(m_Path, m_Peers, m_Views, [this] { return m_Gateway.waiting(); }),
      m_Poison(m_Path, m_Peers),
      m_Operators({m_Settings, m_Store, m_Control, m_Peers, m_Configuration,
                   m_Groups, m_Views, m_Metrics,
                   [this] {
                     return !m_IsStopping &&
                            m_Path.configuration()->m_MayAcceptNewWork;
                   }},
                  m_Writer),
      m_Failures(m_Peers, m_Path) {}

void Node::Impl::connectChannels() {
  m_Peers.onChannel(PeerChannel::Views,
                    [this](const std::string &, const Json &Message) {
                      if (const auto View = parsePublishedView(Message))
                        m_Views.onView(*View, monotonicNow());
                    });
  m_Peers.onChannel(PeerChannel::Tasks,
                    [this](const std::string &, const Json &Message) {
                      m_Monitor.onTasks(Message);
                    });
  m_Peers.onChannel(PeerChannel::Slots,
                    [this](const std::string &From, const Json &Message) {
                      onSlots(From, Message);
                    });
}

void Node::Impl::onSlots(const std::string &From, const Json &Message) {
  const MonotonicTime Now = monotonicNow();
  if (const auto Request = parseSlotRequest(Message))
    m_Groups.onSlotRequest(From, *Request, Now);
  else if (const auto Grant = parseSlotGrant(Message))
    m_Slots.onGrant(*Grant, Now);
}

void Node::Impl::noticeWaiting() {
  const bool IsWaiting = m_Gateway.waiting() > 0;
  // A node without work holds no slots, so the first request that waits must
  // not wait for the next period as well.
  if (IsWaiting && !m_WasWaiting)
    m_Control.post([this] { m_Slots.tick(monotonicNow()); });
  m_WasWaiting = IsWaiting;
}

void Node::Impl::startTimers() {
  m_DataTimer.every(GatewayPeriod, [this] {
    m_Gateway.tick(monotonicNow());
    noticeWaiting();
  });
  m_DataTimer.every(ClaimPeriod, [this] { m_Claims.tick(monotonicNow()); });
  m_Control.every(ConfigurationPeriod, [this] {
    const MonotonicTime Now = monotonicNow();
    m_Peers.tick(Now);
    m_Configuration.tick(Now);
    m_Operators.tick(Now);
  });
  m_Control.every(LeasePeriod, [this] { m_Groups.tickLeases(monotonicNow()); });
  m_Control.every(GroupPeriod, [this] {
    const MonotonicTime Now = monotonicNow();
    m_Groups.tickGroups(Now);
    m_Monitor.tick(Now);
    m_Views.tick(Now);
    m_Slots.tick(Now);
    m_Poison.tick(Now);
    m_Metrics.setGauge("requests_in_progress",
                       static_cast<double>(m_Gateway.inProgress()));
    m_Metrics.setGauge("requests_waiting",
                       static_cast<double>(m_Gateway.waiting()));
  });
  m_Control.every(ForgetPeriod, [this] { m_Failures.tick(monotonicNow()); });
  m_Control.every(GarbagePeriod, [this] {
    // The holder of one fixed shard of the region does this work.
    for (const std::string &Shard : m_Groups.heldShards(monotonicNow()))
      if (Shard == fmt::format("{}.0", m_Settings.m_Region))
        m_Claims.collectGarbage();
  });
  m_Control.every(VmListPeriod, [this] { m_Groups.tickVms(); });
  m_Control.post([this] { m_Groups.tickVms(); });
}

bool Node::Impl::waitUntil(Duration Limit,
                           const std::function<bool()> &IsReached) const {
  const MonotonicTime Deadline = monotonicNow() + Limit;
  while (!IsReached()) {
    if (monotonicNow() >= Deadline)
      return false;
    std::this_thread::sleep_for(ShutdownPoll);
  }
  return true;
}

bool Node::Impl::isReleased() {
  const auto Shared = std::make_shared<std::atomic<int>>(-1);
  m_Control.post([this, Shared] {
    *Shared = m_Groups.isStopped(monotonicNow()) && m_Operators.isAuditIdle();
  });
  waitUntil(std::chrono::seconds(1), [Shared] { return *Shared >= 0; });
  return *Shared == 1 && m_Claims.isDrained();
}

Node::Node(const NodeSettings &Settings)
    : m_Impl(std::make_unique<Impl>(Settings)) {}

Node::~Node() {
  Impl &Parts = *m_Impl;
  // Threads end before the objects that their callbacks use, and exchanges
  // are dropped while the connections that they answer still exist.
  Parts.m_DataTimer.stop();
  Parts.m_Control.stop();
  Parts.m_Peers.stop();
  Parts.m_Gateway.stop([&Parts] { Parts.endCalls(); });
  // A server that never started does not call its release function.
  Parts.endCalls();
  const auto DropOperatorCalls = [&Parts] {
    Parts.m_Operators.dropWaiting();
    Parts.m_Control.discardTasks();
  };
  Parts.m_Operators.stop(DropOperatorCalls);
  DropOperatorCalls();
}

void Node::Impl::endCalls() {
  m_DataClient.stop();
  m_ControlClient.stop();
  m_Gateway.dropWaiting();
  m_Claims.dropWaiting();
}

absl::Status Node::start() {
  m_Impl->connectChannels();
  m_Impl->m_Control.start();
  m_Impl->m_DataTimer.start();
  if (absl::Status Result = m_Impl->m_Peers.start(); !Result.ok())
    return Result;
  if (absl::Status Result = m_Impl->m_Operators.start(); !Result.ok())
    return Result;
  if (absl::Status Result = m_Impl->m_Gateway.start(); !Result.ok())
    return Result;
  m_Impl->startTimers();
  logLine(LogLevel::Info, "node",
          fmt::format("{} serves clients on {} and operators on {}",
                      m_Impl->m_Settings.m_Node,
                      toText(m_Impl->m_Settings.m_ClientEndpoint),
                      toText(m_Impl->m_Settings.m_OperatorEndpoint)));
  return absl::OkStatus();
}

void Node::shutDown() {
  Impl &Parts = *m_Impl;
  logLine(LogLevel::Info, "node", "shutting down");
  Parts.m_IsStopping = true;
  std::this_thread::sleep_for(
      std::chrono::milliseconds(Parts.m_Settings.m_DrainGraceMs));
  Parts.m_Gateway.beginShutdown();
  const bool IsFinished = Parts.waitUntil(
      std::chrono::milliseconds(Parts.m_Settings.m_DrainTimeoutMs),
      [&Parts] { return Parts.m_Gateway.inProgress() == 0; });
  if (!IsFinished)
    logLine(LogLevel::Warning, "node",
            fmt::format("{} requests are still in progress",
                        Parts.m_Gateway.inProgress()));
  Parts.m_Claims.beginShutdown();
  Parts.m_Control.post([&Parts] { Parts.m_Groups.stop(); });
  if (!Parts.waitUntil(ReleaseTimeout, [&Parts] { return Parts.isReleased(); }))
    logLine(LogLevel::Warning, "node",
            "leases, claims or audit records could not be written in time");
  Parts.m_Control.post([&Parts] { Parts.m_Peers.leave(monotonicNow()); });
  std::this_thread::sleep_for(ShutdownPoll * 5);
  logLine(LogLevel::Info, "node", "stopped");
}

} // namespace fulmarwinch
