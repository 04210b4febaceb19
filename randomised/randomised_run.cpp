#include "randomised/randomised_run.h"

#include "fmt/format.h"

#include <algorithm>
#include <stdexcept>

namespace fulmarwinch {

namespace {

constexpr std::int64_t StepMs = 50;
constexpr double FaultProbability = 0.01;
constexpr double ChangeProbability = 0.004;
/// Simulated time of the configuration cluster at the start of the run.
constexpr Duration ClusterStart = std::chrono::seconds(1000);

/// Returns the identifier of the invariant that a violation text of the group
/// simulation belongs to.
std::string invariantOf(const std::string &Violation) {
  if (Violation.find("nodes hold") != std::string::npos ||
      Violation.find("epoch") != std::string::npos)
    return "lease";
  return Violation.find("the missing member") != std::string::npos ? "I1"
                                                                   : "I2";
}

DeploymentSpecs deploymentSpecs() {
  DeploymentSpec Large{"large", "m1", "v1", 3, 2, 2, 2.0, 0.1, true};
  DeploymentSpec Small{"small", "m2", "v1", 2, 3, 1, 1.0, 0.1, true};
  return {{"large", Large}, {"small", Small}};
}

} // namespace

const std::vector<std::string> &RandomisedRun::faultKinds() {
  static const std::vector<std::string> Kinds{
      "vm-death",  "vm-return", "vm-pause",   "domain-dark",
      "cold",      "stall",     "node-crash", "node-pause",
      "partition", "store-out", "store-slow", "store-lost",
      "messages",  "poison",    "shutdown",   "operator"};
  return Kinds;
}

RandomisedRun::RandomisedRun(std::uint64_t Seed,
                             const std::vector<std::string> &Allowed)
    : m_Groups(groupSettings(Seed)),
      m_Configuration(configurationOptions(Seed)),
      m_State{m_Groups,
              m_Configuration,
              m_EventLog,
              std::vector<int>(NodeCount, 0),
              std::vector<bool>(NodeCount, false),
              {},
              {},
              {},
              20,
              0,
              false},
      m_Streams(m_State), m_Payouts(m_State),
      m_Notices(m_State, Seed, !Allowed.empty()),
      m_HighestRevisions(NodeCount, {0, 0}) {
  connectSimulations();
  chooseFaults(Allowed);
  m_Groups.setSpecs(deploymentSpecs());
}

GroupSimulationSettings RandomisedRun::groupSettings(std::uint64_t Seed) {
  GroupSimulationSettings Settings;
  Settings.m_Seed = Seed;
  Settings.m_StepMs = StepMs;
  Settings.m_NodeCount = NodeCount;
  Settings.m_ShardCount = 3;
  Settings.m_VmsPerDomain = {7, 6, 6};
  Settings.m_NodeClocksDrift = true;
  Settings.m_GroupSettings.m_WeightStore.m_BytesPerVm = 3e9;
  return Settings;
}

ConfigurationClusterOptions
RandomisedRun::configurationOptions(std::uint64_t Seed) {
  ConfigurationClusterOptions Options;
  Options.m_Seed = Seed;
  Options.m_NodeCount = NodeCount;
  return Options;
}

void RandomisedRun::connectSimulations() {
  m_Groups.m_IsDrained = [this](std::size_t Node, const ListedVm &Vm) {
    if (!m_Configuration.isUp(Node))
      return false;
    const ConfigurationView &View = *m_Configuration.replica(Node).view();
    return !View.isZoneInService(Vm.m_Zone) || View.isVmDrained(Vm.m_Vm);
  };
  m_Groups.m_IsStoreReachable = [this](std::size_t Node) {
    return !m_State.m_IsStoreUnavailable && m_State.m_NodePartitions[Node] == 0;
  };
  m_Groups.m_BeforeEngineStop = [this](const std::string &Vm, std::uint64_t) {
    m_Streams.onEngineStop(Vm);
  };
}

void RandomisedRun::chooseFaults(const std::vector<std::string> &Allowed) {
  if (Allowed.empty())
    return;
  const std::uint64_t KindsChoice = m_State.randomBelow(3);
  if (KindsChoice == 2)
    m_EnabledFaults.insert(Allowed.begin(), Allowed.end());
  for (std::uint64_t KindIndex = 0; KindIndex <= KindsChoice && KindsChoice < 2;
       ++KindIndex)
    m_EnabledFaults.insert(Allowed[m_State.randomBelow(Allowed.size())]);
}

std::uint64_t RandomisedRun::run(std::uint64_t Steps) {
  for (std::uint64_t Step = 1; Step <= Steps; ++Step) {
    m_EventLog.setStep(Step);
    try {
      step();
    } catch (const std::logic_error &Error) {
      m_EventLog.recordViolation("I10", Error.what());
    }
    if (!m_Groups.violation().empty())
      m_EventLog.recordViolation(invariantOf(m_Groups.violation()),
                                 m_Groups.violation());
    if (m_EventLog.isViolated())
      return Step;
  }
  return Steps;
}

void RandomisedRun::step() {
  m_Configuration.runFor(std::chrono::milliseconds(StepMs));
  recordAcceptedChanges();
  m_Groups.step();
  m_Streams.step();
  m_Payouts.step();
  m_Notices.step();
  if (!m_EnabledFaults.empty() &&
      m_Groups.drawWithProbability(FaultProbability))
    injectFault();
  if (m_EnabledFaults.count("operator") != 0 &&
      m_Groups.drawWithProbability(ChangeProbability))
    confirmRandomChange();
  finishShutdowns();
  checkRevisions();
}

void RandomisedRun::injectFault() {
  auto Fault = m_EnabledFaults.begin();
  std::advance(Fault, static_cast<std::ptrdiff_t>(
                          m_State.randomBelow(m_EnabledFaults.size())));
  const std::string &Kind = *Fault;
  if (Kind == "operator") {
    confirmRandomChange();
    return;
  }
  m_EventLog.add("fault " + Kind, "");
  injectVmFault(Kind);
  injectNodeFault(Kind);
  injectStoreOrMessageFault(Kind);
}

void RandomisedRun::injectVmFault(const std::string &Kind) {
  const std::vector<std::string> Vms = m_Groups.vmNames();
  const std::string &Vm = Vms[m_State.randomBelow(Vms.size())];
  const double Seconds =
      0.2 + static_cast<double>(m_State.randomBelow(200)) / 10;
  const auto RecordFaultEnd = [&](const std::string &Name) {
    m_State.m_FaultEndsAt[Name] =
        m_Groups.nowMs() + static_cast<std::int64_t>(Seconds * 1000);
  };
  if (Kind == "vm-death" || Kind == "vm-return") {
    m_Groups.crashEngine(Vm, Seconds, Kind == "vm-death");
    RecordFaultEnd(Vm);
  }
  if (Kind == "vm-pause") {
    m_Groups.partitionVm(Vm, Seconds);
    RecordFaultEnd(Vm);
  }
  if (Kind == "domain-dark")
    for (const std::string &Name : Vms)
      if (Name.substr(0, 2) == Vm.substr(0, 2)) {
        m_Groups.crashEngine(Name, Seconds, false);
        RecordFaultEnd(Name);
      }
  if (Kind == "cold")
    m_Streams.startColdPhase(Vm);
  if (Kind == "stall")
    m_Streams.stallEngine(Vm, static_cast<std::int64_t>(Seconds * 1000));
  if (Kind == "poison")
    m_Streams.startPoisonStream();
}

void RandomisedRun::injectNodeFault(const std::string &Kind) {
  const std::size_t Node = m_State.randomBelow(NodeCount);
  const double Seconds =
      0.2 + static_cast<double>(m_State.randomBelow(200)) / 10;
  if (Kind == "node-crash" && m_State.isRunning(Node))
    crashNode(Node, Seconds);
  if (Kind == "node-pause" && m_State.isRunning(Node))
    m_Groups.pauseNode(Node, Seconds);
  if (Kind == "shutdown" && m_State.isRunning(Node) &&
      !m_State.m_ShuttingDown[Node]) {
    m_State.m_ShuttingDown[Node] = true;
    m_Payouts.beginShutdown(Node);
    m_Groups.leases(Node).stop();
  }
  if (Kind != "partition")
    return;
  m_State.m_NodePartitions[Node] = 1;
  m_Configuration.setPartition(Node, 1);
  m_Groups.scheduleAfter(static_cast<std::int64_t>(Seconds * 1000),
                         [this, Node] {
                           m_State.m_NodePartitions[Node] = 0;
                           m_Configuration.setPartition(Node, 0);
                         });
}

void RandomisedRun::injectStoreOrMessageFault(const std::string &Kind) {
  const auto DurationMs =
      static_cast<std::int64_t>(1000 + m_State.randomBelow(20000));
  if (Kind == "store-out") {
    setStoreOutage(true);
    m_Groups.scheduleAfter(DurationMs, [this] { setStoreOutage(false); });
  }
  if (Kind == "store-slow") {
    m_Groups.m_Settings.m_MaxStoreDelayMs = 900;
    m_Groups.scheduleAfter(
        DurationMs, [this] { m_Groups.m_Settings.m_MaxStoreDelayMs = 5; });
  }
  if (Kind == "store-lost") {
    m_Groups.m_Settings.m_StoreLossProbability = 0.2;
    m_Configuration.store().m_LostWriteResponseProbability = 0.15;
    m_Configuration.store().m_DelayedWriteProbability = 0.1;
    m_Groups.scheduleAfter(DurationMs, [this] {
      m_Groups.m_Settings.m_StoreLossProbability = 0;
      m_Configuration.store().m_LostWriteResponseProbability = 0;
      m_Configuration.store().m_DelayedWriteProbability = 0;
    });
  }
  if (Kind == "messages") {
    // The monitor treats a member whose health checks are lost as failed, so
    // every VM counts as faulty until message loss ends.
    for (const std::string &Vm : m_Groups.vmNames())
      m_State.m_FaultEndsAt[Vm] = m_Groups.nowMs() + DurationMs;
    m_State.m_MaxMessageDelayMs = 200;
    m_State.m_MessageLossProbability = 0.05;
    m_Groups.m_Settings.m_OrderLossProbability = 0.1;
    m_Groups.m_Settings.m_MaxOrderDelayMs = 4000;
    m_Groups.scheduleAfter(DurationMs, [this] {
      m_State.m_MaxMessageDelayMs = 20;
      m_State.m_MessageLossProbability = 0;
      m_Groups.m_Settings.m_OrderLossProbability = 0;
      m_Groups.m_Settings.m_MaxOrderDelayMs = 5;
    });
  }
}

void RandomisedRun::crashNode(std::size_t Node, double Seconds) {
  m_Groups.pauseNode(Node, Seconds);
  m_Configuration.stopNode(Node);
  m_Groups.scheduleAfter(static_cast<std::int64_t>(Seconds * 1000),
                         [this, Node] {
                           m_Groups.restartNode(Node);
                           m_Configuration.startNode(Node);
                           m_State.m_ShuttingDown[Node] = false;
                         });
}

void RandomisedRun::setStoreOutage(bool IsUnavailable) {
  m_State.m_IsStoreUnavailable = IsUnavailable;
  m_Configuration.store().m_IsUnavailable = IsUnavailable;
}

void RandomisedRun::confirmRandomChange() {
  const std::size_t Node = m_State.randomBelow(NodeCount);
  if (!m_State.isRunning(Node))
    return;
  if (m_State.randomBelow(4) == 0 && !m_Plans.empty()) {
    m_Configuration.confirm(Node, m_Plans[m_State.randomBelow(m_Plans.size())]);
    return;
  }
  const ConfigurationView &View = *m_Configuration.replica(Node).view();
  ProposedChange Request{
      fmt::format("p{}", m_Plans.size()), "ana", 0, View.revision(), {}};
  EntryId Id{EntryKind::Zone, fmt::format("z{}", m_State.randomBelow(3))};
  std::string EntryText =
      toJson(Zone{Id.m_Name, !View.isZoneInService(Id.m_Name)}).dump();
  if (m_State.randomBelow(2) == 0) {
    const std::vector<std::string> Vms = m_Groups.vmNames();
    Id = {EntryKind::VmDrain, Vms[m_State.randomBelow(Vms.size())]};
    EntryText =
        View.isVmDrained(Id.m_Name) ? "" : toJson(VmDrain{Id.m_Name}).dump();
  }
  Request.m_Entries.push_back({Id, View.revisionOf(Id), EntryText});
  m_Plans.push_back(Request);
  m_EventLog.add("change",
                 fmt::format("{} {} at n{}", toText(Id), EntryText, Node));
  m_Configuration.confirm(Node, Request);
  const std::size_t OtherNode = (Node + 1) % NodeCount;
  if (m_State.randomBelow(3) == 0 && m_State.isRunning(OtherNode))
    m_Configuration.confirm(OtherNode, Request);
}

void RandomisedRun::recordAcceptedChanges() {
  const auto &History = m_Configuration.store().history();
  for (; m_RecordedChanges < History.size(); ++m_RecordedChanges) {
    const auto &Accepted = History[m_RecordedChanges];
    const std::int64_t AcceptedAtMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Accepted.m_AcceptedAt.time_since_epoch() - ClusterStart)
            .count();
    for (const EntryChange &Change : Accepted.m_Change.m_Entries) {
      const bool IsZone = Change.m_Id.m_Kind == EntryKind::Zone;
      const bool IsOutOfService =
          IsZone ? Change.m_JsonText.find("false") != std::string::npos
                 : !Change.m_JsonText.empty();
      auto &OutSince =
          IsZone ? m_State.m_ZoneOutSince : m_State.m_VmDrainedSince;
      if (IsOutOfService)
        OutSince.emplace(Change.m_Id.m_Name, AcceptedAtMs);
      else
        OutSince.erase(Change.m_Id.m_Name);
      m_EventLog.add("accepted", fmt::format("{} {}", toText(Change.m_Id),
                                             IsOutOfService ? "out" : "in"));
    }
  }
}

void RandomisedRun::finishShutdowns() {
  for (std::size_t Node = 0; Node < NodeCount; ++Node) {
    if (!m_State.m_ShuttingDown[Node] || !m_State.isRunning(Node) ||
        !m_Streams.isIdle(Node) || !m_Payouts.isIdle(Node))
      continue;
    m_EventLog.add("shutdown complete", fmt::format("n{}", Node));
    crashNode(Node, 1);
  }
}

void RandomisedRun::checkRevisions() {
  for (std::size_t Node = 0; Node < NodeCount; ++Node) {
    if (!m_Configuration.isUp(Node))
      continue;
    const ConfigurationRevision Revision =
        m_Configuration.replica(Node).view()->revision();
    auto &[Starts, Highest] = m_HighestRevisions[Node];
    if (Starts != m_Groups.nodeStartCount(Node)) {
      Starts = m_Groups.nodeStartCount(Node);
      Highest = 0;
    }
    if (Revision < Highest)
      m_EventLog.recordViolation(
          "I10",
          fmt::format("the revision of n{} decreased to {}", Node, Revision));
    Highest = Revision;
  }
}

} // namespace fulmarwinch
