#include "randomised/random_run.h"

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

const std::vector<std::string> &RandomRun::faultKinds() {
  static const std::vector<std::string> Kinds{
      "vm-death",  "vm-return", "vm-pause",   "domain-dark",
      "cold",      "stall",     "node-crash", "node-pause",
      "partition", "store-out", "store-slow", "store-lost",
      "messages",  "poison",    "shutdown",   "operator"};
  return Kinds;
}

RandomRun::RandomRun(std::uint64_t Seed,
                     const std::vector<std::string> &Allowed)
    : m_World(worldSettings(Seed)),
      m_Cluster(clusterOptions(Seed)), m_State{m_World,
                                               m_Cluster,
                                               m_Log,
                                               std::vector<int>(NodeCount, 0),
                                               std::vector<bool>(NodeCount,
                                                                 false),
                                               {},
                                               {},
                                               {},
                                               20,
                                               0,
                                               false},
      m_Streams(m_State), m_Payouts(m_State), m_Revisions(NodeCount, {0, 0}) {
  connect();
  chooseFaults(Allowed);
  m_World.setSpecs(deploymentSpecs());
}

WorldSettings RandomRun::worldSettings(std::uint64_t Seed) {
  WorldSettings Settings;
  Settings.m_Seed = Seed;
  Settings.m_StepMs = StepMs;
  Settings.m_Nodes = NodeCount;
  Settings.m_Shards = 3;
  Settings.m_DomainVms = {7, 6, 6};
  Settings.m_Skew = true;
  Settings.m_Groups.m_WeightStore.m_BytesPerVm = 3e9;
  return Settings;
}

ClusterOptions RandomRun::clusterOptions(std::uint64_t Seed) {
  ClusterOptions Options;
  Options.m_Seed = Seed;
  Options.m_Nodes = NodeCount;
  return Options;
}

void RandomRun::connect() {
  m_World.m_IsDrained = [this](std::size_t Node, const ListedVm &Vm) {
    if (!m_Cluster.isUp(Node))
      return false;
    const ConfigurationView &View = *m_Cluster.replica(Node).view();
    return !View.isZoneInService(Vm.m_Zone) || View.isVmDrained(Vm.m_Vm);
  };
  m_World.m_IsStoreReachable = [this](std::size_t Node) {
    return !m_State.m_IsStoreOut && m_State.m_Island[Node] == 0;
  };
  m_World.m_OnEngineStop = [this](const std::string &Vm, std::uint64_t) {
    m_Streams.onEngineStop(Vm);
  };
}

void RandomRun::chooseFaults(const std::vector<std::string> &Allowed) {
  if (Allowed.empty())
    return;
  const std::uint64_t KindsChoice = m_State.pick(3);
  if (KindsChoice == 2)
    m_Faults.insert(Allowed.begin(), Allowed.end());
  for (std::uint64_t KindIndex = 0; KindIndex <= KindsChoice && KindsChoice < 2;
       ++KindIndex)
    m_Faults.insert(Allowed[m_State.pick(Allowed.size())]);
}

std::uint64_t RandomRun::run(std::uint64_t Steps) {
  for (std::uint64_t Step = 1; Step <= Steps; ++Step) {
    m_Log.setStep(Step);
    try {
      step();
    } catch (const std::logic_error &Error) {
      m_Log.violate("I10", Error.what());
    }
    if (!m_World.violation().empty())
      m_Log.violate(invariantOf(m_World.violation()), m_World.violation());
    if (m_Log.isViolated())
      return Step;
  }
  return Steps;
}

void RandomRun::step() {
  m_Cluster.runFor(std::chrono::milliseconds(StepMs));
  followHistory();
  m_World.step();
  m_Streams.step();
  m_Payouts.step();
  if (!m_Faults.empty() && m_World.chance(FaultProbability))
    injectFault();
  if (m_Faults.count("operator") != 0 && m_World.chance(ChangeProbability))
    operate();
  finishShutdowns();
  checkRevisions();
}

void RandomRun::injectFault() {
  auto Fault = m_Faults.begin();
  std::advance(Fault,
               static_cast<std::ptrdiff_t>(m_State.pick(m_Faults.size())));
  const std::string &Kind = *Fault;
  if (Kind == "operator") {
    operate();
    return;
  }
  m_Log.add("fault " + Kind, "");
  injectVmFault(Kind);
  injectNodeFault(Kind);
  injectMessageFault(Kind);
}

void RandomRun::injectVmFault(const std::string &Kind) {
  const std::vector<std::string> Vms = m_World.vmNames();
  const std::string &Vm = Vms[m_State.pick(Vms.size())];
  const double Seconds = 0.2 + static_cast<double>(m_State.pick(200)) / 10;
  const auto RecordFaultEnd = [&](const std::string &Name) {
    m_State.m_FaultAt[Name] =
        m_World.now() + static_cast<std::int64_t>(Seconds * 1000);
  };
  if (Kind == "vm-death" || Kind == "vm-return") {
    m_World.crash(Vm, Seconds, Kind == "vm-death");
    RecordFaultEnd(Vm);
  }
  if (Kind == "vm-pause") {
    m_World.partition(Vm, Seconds);
    RecordFaultEnd(Vm);
  }
  if (Kind == "domain-dark")
    for (const std::string &Name : Vms)
      if (Name.substr(0, 2) == Vm.substr(0, 2)) {
        m_World.crash(Name, Seconds, false);
        RecordFaultEnd(Name);
      }
  if (Kind == "cold")
    m_Streams.turnCold(Vm);
  if (Kind == "stall")
    m_Streams.stall(Vm, static_cast<std::int64_t>(Seconds * 1000));
  if (Kind == "poison")
    m_Streams.sendPoison();
}

void RandomRun::injectNodeFault(const std::string &Kind) {
  const std::size_t Node = m_State.pick(NodeCount);
  const double Seconds = 0.2 + static_cast<double>(m_State.pick(200)) / 10;
  if (Kind == "node-crash" && m_State.isRunning(Node))
    crashNode(Node, Seconds);
  if (Kind == "node-pause" && m_State.isRunning(Node))
    m_World.pause(Node, Seconds);
  if (Kind == "shutdown" && m_State.isRunning(Node) &&
      !m_State.m_ShuttingDown[Node]) {
    m_State.m_ShuttingDown[Node] = true;
    m_Payouts.beginShutdown(Node);
    m_World.leases(Node).stop();
  }
  if (Kind != "partition")
    return;
  m_State.m_Island[Node] = 1;
  m_Cluster.setIsland(Node, 1);
  m_World.after(static_cast<std::int64_t>(Seconds * 1000), [this, Node] {
    m_State.m_Island[Node] = 0;
    m_Cluster.setIsland(Node, 0);
  });
}

void RandomRun::injectMessageFault(const std::string &Kind) {
  const auto DurationMs = static_cast<std::int64_t>(1000 + m_State.pick(20000));
  if (Kind == "store-out") {
    setStoreOutage(true);
    m_World.after(DurationMs, [this] { setStoreOutage(false); });
  }
  if (Kind == "store-slow") {
    m_World.m_Settings.m_StoreDelayMs = 900;
    m_World.after(DurationMs,
                  [this] { m_World.m_Settings.m_StoreDelayMs = 5; });
  }
  if (Kind == "store-lost") {
    m_World.m_Settings.m_StoreLoss = 0.2;
    m_Cluster.store().m_LostAnswerProbability = 0.15;
    m_Cluster.store().m_LateWriteProbability = 0.1;
    m_World.after(DurationMs, [this] {
      m_World.m_Settings.m_StoreLoss = 0;
      m_Cluster.store().m_LostAnswerProbability = 0;
      m_Cluster.store().m_LateWriteProbability = 0;
    });
  }
  if (Kind == "messages") {
    // The monitor treats a member whose health checks are lost as failed.
    for (const std::string &Vm : m_World.vmNames())
      m_State.m_FaultAt[Vm] = m_World.now() + DurationMs;
    m_State.m_MaxDelayMs = 200;
    m_State.m_MessageLoss = 0.05;
    m_World.m_Settings.m_OrderLoss = 0.1;
    m_World.m_Settings.m_OrderDelayMs = 4000;
    m_World.after(DurationMs, [this] {
      m_State.m_MaxDelayMs = 20;
      m_State.m_MessageLoss = 0;
      m_World.m_Settings.m_OrderLoss = 0;
      m_World.m_Settings.m_OrderDelayMs = 5;
    });
  }
}

void RandomRun::crashNode(std::size_t Node, double Seconds) {
  m_World.pause(Node, Seconds);
  m_Cluster.stop(Node);
  m_World.after(static_cast<std::int64_t>(Seconds * 1000), [this, Node] {
    m_World.restartNode(Node);
    m_Cluster.start(Node);
    m_State.m_ShuttingDown[Node] = false;
  });
}

void RandomRun::setStoreOutage(bool IsUnavailable) {
  m_State.m_IsStoreOut = IsUnavailable;
  m_Cluster.store().m_Outage = IsUnavailable;
}

void RandomRun::operate() {
  const std::size_t Node = m_State.pick(NodeCount);
  if (!m_State.isRunning(Node))
    return;
  if (m_State.pick(4) == 0 && !m_Plans.empty()) {
    m_Cluster.confirm(Node, m_Plans[m_State.pick(m_Plans.size())]);
    return;
  }
  const ConfigurationView &View = *m_Cluster.replica(Node).view();
  AcceptRequest Request{
      fmt::format("p{}", m_Plans.size()), "ana", 0, View.revision(), {}};
  EntryId Id{EntryKind::Zone, fmt::format("z{}", m_State.pick(3))};
  std::string EntryText =
      toJson(Zone{Id.m_Name, !View.isZoneInService(Id.m_Name)}).dump();
  if (m_State.pick(2) == 0) {
    const std::vector<std::string> Vms = m_World.vmNames();
    Id = {EntryKind::VmDrain, Vms[m_State.pick(Vms.size())]};
    EntryText =
        View.isVmDrained(Id.m_Name) ? "" : toJson(VmDrain{Id.m_Name}).dump();
  }
  Request.m_Entries.push_back({Id, View.revisionOf(Id), EntryText});
  m_Plans.push_back(Request);
  m_Log.add("change", fmt::format("{} {} at n{}", toText(Id), EntryText, Node));
  m_Cluster.confirm(Node, Request);
  const std::size_t OtherNode = (Node + 1) % NodeCount;
  if (m_State.pick(3) == 0 && m_State.isRunning(OtherNode))
    m_Cluster.confirm(OtherNode, Request);
}

void RandomRun::followHistory() {
  const auto &History = m_Cluster.store().history();
  for (; m_HistorySeen < History.size(); ++m_HistorySeen) {
    const auto &Accepted = History[m_HistorySeen];
    const std::int64_t AcceptedAtMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Accepted.m_At.time_since_epoch() - ClusterStart)
            .count();
    for (const EntryChange &Change : Accepted.m_Change.m_Entries) {
      const bool IsZone = Change.m_Id.m_Kind == EntryKind::Zone;
      const bool IsOutOfService =
          IsZone ? Change.m_Text.find("false") != std::string::npos
                 : !Change.m_Text.empty();
      auto &OutSince = IsZone ? m_State.m_ZoneOutSince : m_State.m_DrainedSince;
      if (IsOutOfService)
        OutSince.emplace(Change.m_Id.m_Name, AcceptedAtMs);
      else
        OutSince.erase(Change.m_Id.m_Name);
      m_Log.add("accepted", fmt::format("{} {}", toText(Change.m_Id),
                                        IsOutOfService ? "out" : "in"));
    }
  }
}

void RandomRun::finishShutdowns() {
  for (std::size_t Node = 0; Node < NodeCount; ++Node) {
    if (!m_State.m_ShuttingDown[Node] || !m_State.isRunning(Node) ||
        !m_Streams.isIdle(Node) || !m_Payouts.isIdle(Node))
      continue;
    m_Log.add("shutdown complete", fmt::format("n{}", Node));
    crashNode(Node, 1);
  }
}

void RandomRun::checkRevisions() {
  for (std::size_t Node = 0; Node < NodeCount; ++Node) {
    if (!m_Cluster.isUp(Node))
      continue;
    const ConfigurationRevision Revision =
        m_Cluster.replica(Node).view()->revision();
    auto &[Starts, Highest] = m_Revisions[Node];
    if (Starts != m_World.starts(Node)) {
      Starts = m_World.starts(Node);
      Highest = 0;
    }
    if (Revision < Highest)
      m_Log.violate("I10", fmt::format("the revision of n{} decreased to {}",
                                       Node, Revision));
    Highest = Revision;
  }
}

} // namespace fulmarwinch
