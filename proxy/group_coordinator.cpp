#include "proxy/group_coordinator.h"

#include "core/json.h"
#include "core/text.h"
#include "proxy/server_notices.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

using std::chrono::milliseconds;

/// Timeout of a liveness probe. A live server answers within a few
/// milliseconds. TCP retransmits a lost packet only after about 200 ms, so a
/// second probe is sent instead.
constexpr Duration ProbeTimeout = milliseconds(90);
constexpr unsigned ProbeAttempts = 2;
/// Minimum time between two rounds of probes of one group, so that stall
/// reports from many nodes cause only one round.
constexpr Duration MinProbeInterval = milliseconds(400);
/// Probe period for group members that have no entry in the store.
constexpr Duration UnlistedProbePeriod = milliseconds(500);
/// Time for which a group member without an entry in the store counts as alive
/// after a successful probe. It covers two probe periods, so that two probes in
/// a row have to fail.
constexpr Duration UnlistedAliveTime = milliseconds(1200);
/// Time for which a group member counts as alive after its entry has
/// disappeared from the store. Its first probe ends within this time.
constexpr Duration FirstProbeAllowance = milliseconds(300);
constexpr Duration PlanPeriod = milliseconds(60);
/// Period of the log lines with the groups and the demand of each model.
constexpr Duration SupplyLogPeriod = std::chrono::seconds(1);
/// Maximum backoff after a failed lease call of a node that does not hold the
/// lease. Without it, each node would call the store five times a second during
/// a store outage.
constexpr Duration MaxLeaseBackoff = milliseconds(1200);
/// Time after which the entries that were read at the end of a restoration have
/// been applied.
constexpr Duration RestorationMargin = milliseconds(300);
/// Delay after a failed read of the quarantine.
constexpr Duration QuarantineRetryDelay = milliseconds(200);
/// Key of the store's object that lists the quarantined servers.
constexpr const char *QuarantineKey = "fulmarwinch-groups/quarantine";
constexpr int Ok = 200;

ReplicaPlannerSettings plannerSettings(const FrontSettings &Node) {
  ReplicaPlannerSettings Settings;
  Settings.m_GroupBreakDelay = Node.m_GroupBreakDelay;
  Settings.m_ConvertsSeveralGroups = Node.isEnabled(OptionalPart::Supply);
  return Settings;
}

/// Settings of the lease on group formation. The lease is short, because no
/// groups are formed until a new holder replaces a failed one. Renewal costs
/// two store writes a second.
LeaseSettings leaseSettings(const FrontSettings &Node) {
  LeaseSettings Settings;
  Settings.m_RestorationDelay = restorationTime(Node) + RestorationMargin;
  Settings.m_LostHolderDelay = plannerSettings(Node).quarantineTime();
  Settings.m_IsFirstStart = Node.m_IsFirstStart;
  Settings.m_LeaseDuration = milliseconds(1600);
  Settings.m_RenewPeriod = milliseconds(500);
  Settings.m_RetryPeriod = milliseconds(200);
  Settings.m_PreferredPollPeriod = milliseconds(500);
  Settings.m_BackupPollPeriod = milliseconds(2000);
  Settings.m_ChallengeDelayPerRank = milliseconds(400);
  return Settings;
}

} // namespace

GroupCoordinator::GroupCoordinator(RequestRelayContext &Context,
                                   const PlatformBinding &Platform,
                                   const FrontSettings &Settings,
                                   std::string Incarnation)
    : m_Context(Context), m_Platform(Platform), m_Settings(Settings),
      m_Lease(leaseSettings(Settings), "groups", std::move(Incarnation)) {}

void GroupCoordinator::setLiveNodes(
    const std::vector<RelayCandidate> &LiveNodes) {
  const auto Own = std::find_if(LiveNodes.begin(), LiveNodes.end(),
                                [this](const RelayCandidate &Node) {
                                  return Node.m_Name == m_Settings.m_NodeName;
                                });
  m_Lease.setRank(static_cast<std::size_t>(Own - LiveNodes.begin()),
                  LiveNodes.size());
}

void GroupCoordinator::onStoreRestored(StoreEra Era) {
  const MonotonicTime Now = monotonicNow();
  m_Lease.onStoreEra(Era, Now);
  m_IsQuarantineLoaded = false;
  mergeInto(m_QuarantineToRestore, quarantineRecord(Now));
}

void GroupCoordinator::tick(MonotonicTime Now) {
  advanceLease(Now);
  const bool IsHolder = m_Lease.isHeld(Now);
  if (IsHolder != m_HoldsLease || (IsHolder && m_Lease.epoch() != m_Epoch)) {
    m_HoldsLease = IsHolder;
    m_OrdersAwaitingQuarantine.clear();
    // A lease that returns with its epoch had no other holder meanwhile, so
    // what the planners know is still true, and orders of theirs may be on
    // their way.
    if (IsHolder && m_Lease.epoch() != m_Epoch) {
      m_Epoch = m_Lease.epoch();
      m_GroupKeys.beginLease(m_Epoch);
      m_Planners.clear();
      m_IsQuarantineLoaded = false;
    }
    m_Context.m_Log.write(
        IsHolder ? "lease_taken" : "lease_lost",
        {{"lease", "groups"}, {"epoch", static_cast<std::int64_t>(m_Epoch)}});
  }
  if (!m_QuarantineToRestore.empty())
    restoreQuarantine(Now);
  if (IsHolder && !m_IsQuarantineLoaded)
    loadQuarantine(Now);
  std::map<GroupKey, StallReport> Deferred;
  Deferred.swap(m_DeferredReports);
  for (const auto &[Group, Report] : Deferred)
    onGroupStalled(Report);
  if (IsHolder && m_IsQuarantineLoaded && Now >= m_NextPlanAt) {
    m_NextPlanAt = Now + PlanPeriod;
    planServices(Now);
  }
}

void GroupCoordinator::advanceLease(MonotonicTime Now) {
  if (!m_HoldsLease && Now < m_NextLeaseCallAt)
    return;
  // Once somebody has taken the lease, the next holder relies on the store.
  if (!m_QuarantineToRestore.empty())
    return;
  const auto Action = m_Lease.nextCall(Now, m_NextCallId);
  if (!Action)
    return;
  ++m_NextCallId;
  m_Context.m_Metrics.increment(
      std::holds_alternative<GetObject>(*Action)
          ? "store_calls_total{kind=\"lease\",reason=\"read\"}"
          : "store_calls_total{kind=\"lease\",reason=\"write\"}");
  m_Platform.m_StartStoreCall(*Action, [this](const StoreCompletion &Result) {
    const MonotonicTime AnsweredAt = monotonicNow();
    StoreOutcome Outcome = StoreOutcome::Unavailable;
    if (const auto *Get = std::get_if<GetCompleted>(&Result)) {
      Outcome = Get->m_Outcome;
      m_Lease.onGetCompleted(*Get, AnsweredAt);
    } else {
      const auto &Put = std::get<WriteCompleted>(Result);
      Outcome = Put.m_Outcome;
      m_Lease.onWriteCompleted(Put, AnsweredAt);
    }
    if (Outcome == StoreOutcome::Unavailable) {
      std::uniform_real_distribution<double> Jitter(0.5, 1.0);
      m_NextLeaseCallAt =
          AnsweredAt + std::chrono::duration_cast<Duration>(
                           MaxLeaseBackoff * Jitter(m_Context.m_Random));
    }
  });
}

void GroupCoordinator::planServices(MonotonicTime Now) {
  if (!m_Context.m_RouteTable)
    return;
  for (auto Entry = m_UnresponsiveServers.begin();
       Entry != m_UnresponsiveServers.end();) {
    const BackendServer *Server = m_Context.m_Fleet.find(Entry->first);
    Entry = !Server || Server->m_Position != Entry->second
                ? m_UnresponsiveServers.erase(Entry)
                : std::next(Entry);
  }
  for (const ServiceSpec &Service :
       m_Context.m_RouteTable->configuration().m_Services) {
    if (!Service.hasReplicaGroups())
      continue;
    ReplicaPlanner &Planner =
        m_Planners
            .try_emplace(Service.m_Name, plannerSettings(m_Settings),
                         m_GroupKeys, m_StoredQuarantine, Now)
            .first->second;
    ReplicaPlannerInput Input;
    Input.m_Fleet = &m_Context.m_Fleet;
    Input.m_Service = &Service;
    Input.m_Now = Now;
    Input.m_TrafficSeen = m_Context.m_HasSentToGroup;
    for (const auto &[Server, Position] : m_UnresponsiveServers)
      Input.m_UnreachableServers.insert(Server);
    Input.m_RateLimitedServers = rateLimitedServers(Now);
    Input.m_UnlistedButResponding = probeUnlistedMembers(Now);
    Input.m_DemandByModel = m_Context.m_FleetDemand.total(
        m_Context.m_DemandEstimator.busyGroupsByModel(Now), Now);
    if (m_Settings.isEnabled(OptionalPart::Supply)) {
      raiseToBusyGroups(Input.m_DemandByModel, m_Context.m_BusyGroups);
      Input.m_PriorityByModel = m_Context.m_ModelPriorities.byModel();
      Input.m_TolerableZoneLosses = m_Settings.m_TolerableZoneLosses;
    }
    std::vector<MemberOrder> Orders = Planner.plan(Input);
    for (const BackendServer &Server : Planner.takeStateRequests())
      requestState(Server);
    if (Now >= m_NextSupplyLogAt)
      logSupply(Planner.modelSupplies(Input));
    for (MemberOrder &Order : Orders) {
      if (Order.m_HeadMayServe && !isQuarantineStored(Order.m_Server))
        m_OrdersAwaitingQuarantine.push_back(std::move(Order));
      else
        sendOrder(Order);
    }
  }
  if (Now >= m_NextSupplyLogAt)
    m_NextSupplyLogAt = Now + SupplyLogPeriod;
  if (!m_OrdersAwaitingQuarantine.empty())
    storeQuarantine();
}

std::set<std::string>
GroupCoordinator::rateLimitedServers(MonotonicTime Now) const {
  std::set<std::string> Result;
  const ServerRateLimits &Limits =
      m_Context.m_Selector.availability().rateLimits();
  for (const auto &[Id, Server] : m_Context.m_Fleet.servers())
    if (Limits.isLimited(Id, Server.m_StartedAtMs, Now))
      Result.insert(Id);
  return Result;
}

void GroupCoordinator::logSupply(const std::vector<ModelSupply> &Supplies) {
  const auto Number = [](std::size_t Count) {
    return static_cast<std::int64_t>(Count);
  };
  for (const ModelSupply &Supply : Supplies) {
    m_Context.m_Metrics.setGauge(
        concat("groups_needed{model=\"", Supply.m_Model, "\"}"),
        Supply.m_NeededGroups);
    m_Context.m_Log.write(
        "group_supply",
        {{"model", Supply.m_Model},
         {"demanded_groups", Supply.m_DemandedGroups},
         {"needed_groups", Supply.m_NeededGroups},
         {"priority", Supply.m_Priority},
         {"open", Number(Supply.m_OpenGroups)},
         {"forming", Number(Supply.m_FormingGroups)},
         {"staged_spares", Number(Supply.m_StagedSpares)},
         {"converting_domains", Number(Supply.m_ConvertingDomains)}});
  }
}

void GroupCoordinator::loadQuarantine(MonotonicTime Now) {
  if (m_IsQuarantineCallInFlight || Now < m_NextQuarantineReadAt)
    return;
  m_IsQuarantineCallInFlight = true;
  m_Platform.m_StartStoreCall(
      GetObject{0, QuarantineKey}, [this](const StoreCompletion &Result) {
        m_IsQuarantineCallInFlight = false;
        const auto &Read = std::get<GetCompleted>(Result);
        if (Read.m_Outcome != StoreOutcome::Succeeded &&
            Read.m_Outcome != StoreOutcome::NotFound) {
          m_NextQuarantineReadAt = monotonicNow() + QuarantineRetryDelay;
          return;
        }
        m_IsQuarantineLoaded = true;
        m_QuarantineVersion = Read.m_Version;
        m_StoredQuarantine.clear();
        if (Read.m_Outcome == StoreOutcome::NotFound)
          return;
        const auto Content = parseJson(Read.m_Value, "quarantine record");
        if (Content.ok())
          m_StoredQuarantine = parseQuarantineRecord(*Content);
      });
}

QuarantineRecord GroupCoordinator::quarantineRecord(MonotonicTime Now) const {
  QuarantineRecord Result;
  for (const auto &[Service, Planner] : m_Planners)
    mergeInto(Result, Planner.quarantineRecord(Now));
  return Result;
}

bool GroupCoordinator::isQuarantineStored(const std::string &Server) const {
  const QuarantineRecord Record = quarantineRecord();
  const auto Active = Record.find(Server);
  const auto Stored = m_StoredQuarantine.find(Server);
  // The next lease holder would release the server too early if it read an
  // earlier head of it.
  return Stored != m_StoredQuarantine.end() &&
         (Active == Record.end() || Active->second == Stored->second);
}

void GroupCoordinator::storeQuarantine() {
  if (m_IsQuarantineCallInFlight)
    return;
  writeQuarantine(quarantineRecord(), [this, Epoch = m_Epoch](bool IsStored) {
    if (!IsStored) {
      m_OrdersAwaitingQuarantine.clear();
      return;
    }
    if (!m_HoldsLease || Epoch != m_Epoch)
      return;
    std::vector<MemberOrder> Orders;
    Orders.swap(m_OrdersAwaitingQuarantine);
    for (const MemberOrder &Order : Orders)
      if (isQuarantineStored(Order.m_Server))
        sendOrder(Order);
  });
}

void GroupCoordinator::restoreQuarantine(MonotonicTime Now) {
  if (m_IsQuarantineCallInFlight)
    return;
  if (!m_IsQuarantineLoaded) {
    loadQuarantine(Now);
    return;
  }
  QuarantineRecord Record = m_StoredQuarantine;
  mergeInto(Record, m_QuarantineToRestore);
  writeQuarantine(Record, [this](bool IsStored) {
    if (IsStored)
      m_QuarantineToRestore.clear();
  });
}

void GroupCoordinator::writeQuarantine(const QuarantineRecord &Record,
                                       std::function<void(bool)> Done) {
  m_IsQuarantineCallInFlight = true;
  m_Platform.m_StartStoreCall(
      PutObject{0, QuarantineKey, m_QuarantineVersion, toJson(Record).dump()},
      [this, Record, Done = std::move(Done)](const StoreCompletion &Result) {
        m_IsQuarantineCallInFlight = false;
        const auto &Written = std::get<WriteCompleted>(Result);
        const bool IsStored = Written.m_Outcome == StoreOutcome::Succeeded;
        if (IsStored) {
          m_QuarantineVersion = Written.m_Version;
          m_StoredQuarantine = Record;
        } else {
          // Another node may have written the object, or the outcome is
          // unknown, so it is read again.
          m_IsQuarantineLoaded = false;
        }
        Done(IsStored);
      });
}

std::set<std::string>
GroupCoordinator::probeUnlistedMembers(MonotonicTime Now) {
  std::set<std::string> Unlisted;
  std::set<std::string> Alive;
  for (const auto &[Key, Group] : m_Context.m_Fleet.groups()) {
    if (!Group.m_Head ||
        Group.m_Head->m_Membership->m_State != GroupMemberState::Open)
      continue;
    for (const BackendServer *Server :
         m_Context.m_Fleet.membersWithoutEntry(Key)) {
      const std::string &Id = Server->m_Id;
      Unlisted.insert(Id);
      UnlistedMember &Member =
          m_UnlistedMembers
              .try_emplace(Id, UnlistedMember{Now, Now + FirstProbeAllowance})
              .first->second;
      if (Member.m_AliveUntil > Now)
        Alive.insert(Id);
      if (Member.m_NextProbeAt > Now)
        continue;
      Member.m_NextProbeAt = Now + UnlistedProbePeriod;
      probeLiveness(*Server, [this, Id](bool IsAlive, UpstreamOutcome Outcome) {
        const auto Probed = m_UnlistedMembers.find(Id);
        if (Probed != m_UnlistedMembers.end() && IsAlive)
          Probed->second.m_AliveUntil = monotonicNow() + UnlistedAliveTime;
        m_Context.m_Log.write("unlisted_member",
                              {{"server", Id},
                               {"alive", IsAlive},
                               {"end", nameOf(UpstreamOutcomeNames, Outcome)}});
      });
    }
  }
  for (auto Entry = m_UnlistedMembers.begin();
       Entry != m_UnlistedMembers.end();)
    Entry = Unlisted.count(Entry->first) == 0 ? m_UnlistedMembers.erase(Entry)
                                              : std::next(Entry);
  return Alive;
}

void GroupCoordinator::onGroupStalled(const StallReport &Report) {
  const MonotonicTime Now = monotonicNow();
  if (!m_Lease.isHeld(Now) || Report.m_IsConfirmed)
    return;
  const auto &Groups = m_Context.m_Fleet.groups();
  const auto Group = Groups.find(Report.m_Group);
  if (Group == Groups.end())
    return;
  for (auto Entry = m_LastProbedAt.begin(); Entry != m_LastProbedAt.end();)
    Entry = Now - Entry->second >= MinProbeInterval
                ? m_LastProbedAt.erase(Entry)
                : std::next(Entry);
  if (!m_LastProbedAt.emplace(Report.m_Group, Now).second) {
    // The group may have failed after the last round.
    m_DeferredReports[Report.m_Group] = Report;
    return;
  }
  for (const std::string &Member : Group->second.m_Members)
    if (!Member.empty() && m_ProbesInFlight.insert(Member).second)
      probeStalledMember(Member, Report);
}

void GroupCoordinator::checkLiveness(const BackendServer &Server,
                                     LivenessHandler Done, unsigned Attempt) {
  probeLiveness(Server, [this, Server, Done = std::move(Done),
                         Attempt](bool IsAlive, UpstreamOutcome Outcome) {
    if (IsAlive || Attempt >= ProbeAttempts)
      Done(IsAlive, Outcome);
    else
      checkLiveness(Server, Done, Attempt + 1);
  });
}

void GroupCoordinator::probeLiveness(const BackendServer &Server,
                                     LivenessHandler Done) {
  startBufferedCall(
      m_Context.m_Loop, Server.m_Endpoint,
      formatRequest("GET", m_Platform.m_LoadReportPath, Server.m_Endpoint,
                    {{m_Platform.m_HeaderNames.m_ExpectedServer, Server.m_Id}},
                    ""),
      ProbeTimeout,
      [this, Id = Server.m_Id, StartedAtMs = Server.m_StartedAtMs,
       Done = std::move(Done)](const BufferedResponse &Answer) {
        recordNotices(Id, StartedAtMs, Answer);
        Done(hasResponse(Answer.m_Outcome) && Answer.m_Status == Ok,
             Answer.m_Outcome);
      },
      [this, Id = Server.m_Id, StartedAtMs = Server.m_StartedAtMs] {
        countCall(Id, StartedAtMs);
        return true;
      });
}

void GroupCoordinator::countCall(const std::string &Server,
                                 std::int64_t StartedAtMs) {
  m_Context.m_Selector.availability().rateLimits().onUnlimitedCall(
      Server, StartedAtMs, monotonicNow());
}

void GroupCoordinator::recordNotices(const std::string &Server,
                                     std::int64_t StartedAtMs,
                                     const BufferedResponse &Response) {
  // Without a start time the process is not known.
  if (StartedAtMs != 0)
    recordServerNotices(m_Context, {Server, StartedAtMs, {}, {}, std::nullopt},
                        {Response.m_Status, Response.m_Headers, "", {}});
}

void GroupCoordinator::probeStalledMember(const std::string &Server,
                                          const StallReport &Report) {
  const BackendServer *Entry = m_Context.m_Fleet.find(Server);
  if (!Entry) {
    m_ProbesInFlight.erase(Server);
    return;
  }
  checkLiveness(*Entry, [this, Server, Report, Position = Entry->m_Position](
                            bool IsAlive, UpstreamOutcome Outcome) {
    m_ProbesInFlight.erase(Server);
    m_Context.m_Log.write("probe",
                          {{"server", Server},
                           {"group", Report.m_Group.m_Name},
                           {"alive", IsAlive},
                           {"end", nameOf(UpstreamOutcomeNames, Outcome)}});
    if (IsAlive)
      return;
    m_UnresponsiveServers[Server] = Position;
    m_NextPlanAt = {};
    if (m_OnStallConfirmed)
      m_OnStallConfirmed({Report.m_HeadServer, Report.m_Group, true});
  });
}

} // namespace fulmarwinch
