#include "proxy/group_duty.h"

#include "core/json.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

using std::chrono::milliseconds;

constexpr Duration OrderTimeout = milliseconds(800);
/// A live server answers a probe within a few milliseconds. A lost packet is
/// sent again only after some 200 ms, so a second probe follows the first one.
constexpr Duration ProbeTimeout = milliseconds(90);
constexpr unsigned ProbeAttempts = 2;
/// Pause between two rounds of probes of one group, so that the notices of
/// many nodes cost one round.
constexpr Duration ProbePause = milliseconds(400);
/// Members without an entry are asked this often, and are taken to live until
/// two probes in a row have failed. The first answer takes a probe's time.
constexpr Duration UnlistedProbePeriod = milliseconds(500);
constexpr Duration UnlistedTrust = milliseconds(1200);
constexpr Duration FirstAnswer = milliseconds(300);
constexpr Duration PlanPeriod = milliseconds(60);
/// Longest pause of a node that waits for the lease after a failed call. All
/// nodes would otherwise ask five times a second during an outage.
constexpr Duration WaiterRetry = milliseconds(1200);
/// Object that holds the servers in quarantine.
constexpr const char *QuarantineKey = "fulmarwinch-groups/quarantine";
constexpr int Ok = 200;
constexpr int Accepted = 202;

/// Formation stands still while the lease changes hands, so it is short; a
/// renewal is two writes a second.
LeaseSettings leaseSettings() {
  LeaseSettings Settings;
  Settings.m_LeaseDuration = milliseconds(1600);
  Settings.m_RenewPeriod = milliseconds(500);
  Settings.m_RetryPeriod = milliseconds(200);
  Settings.m_FirstPollPeriod = milliseconds(500);
  Settings.m_BackupPollPeriod = milliseconds(2000);
  Settings.m_WaitPerRank = milliseconds(400);
  return Settings;
}

} // namespace

GroupDuty::GroupDuty(RelayContext &Context, const PlatformBinding &Platform,
                     const FrontSettings &Settings, std::string Incarnation)
    : m_Context(Context), m_Platform(Platform), m_Settings(Settings),
      m_Lease(leaseSettings(), "groups", std::move(Incarnation)) {}

void GroupDuty::tick(MonotonicTime Now,
                     const std::vector<std::string> &LiveNodes) {
  const auto Own =
      std::find(LiveNodes.begin(), LiveNodes.end(), m_Settings.m_Node);
  m_Lease.setRank(static_cast<std::size_t>(Own - LiveNodes.begin()),
                  LiveNodes.size());
  stepLease(Now);
  const bool Held = m_Lease.isHeld(Now);
  if (Held != m_WasHeld || (Held && m_Lease.epoch() != m_Epoch)) {
    m_WasHeld = Held;
    m_Epoch = m_Lease.epoch();
    m_Planners.clear();
    m_RecordKnown = false;
    m_Awaiting.clear();
    m_Context.m_Log.write(
        Held ? "lease_taken" : "lease_lost",
        {{"lease", "groups"}, {"epoch", static_cast<std::int64_t>(m_Epoch)}});
  }
  if (Held && !m_RecordKnown)
    readRecord();
  if (Held && m_RecordKnown && Now >= m_NextPlan) {
    m_NextPlan = Now + PlanPeriod;
    planAll(Now);
  }
}

void GroupDuty::stepLease(MonotonicTime Now) {
  if (!m_WasHeld && Now < m_LeasePausedUntil)
    return;
  const auto Action = m_Lease.nextCall(Now, m_NextCall);
  if (!Action)
    return;
  ++m_NextCall;
  m_Platform.m_StartStoreCall(*Action, [this](const StoreCompletion &Result) {
    const MonotonicTime Later = monotonicNow();
    StoreOutcome Outcome = StoreOutcome::Unavailable;
    if (const auto *Get = std::get_if<GetCompleted>(&Result)) {
      Outcome = Get->m_Outcome;
      m_Lease.onGetCompleted(*Get, Later);
    } else {
      const auto &Put = std::get<PutCompleted>(Result);
      Outcome = Put.m_Outcome;
      m_Lease.onPutCompleted(Put, Later);
    }
    if (Outcome == StoreOutcome::Unavailable) {
      std::uniform_real_distribution<double> Draw(0.5, 1.0);
      m_LeasePausedUntil = Later + std::chrono::duration_cast<Duration>(
                                       WaiterRetry * Draw(m_Context.m_Random));
    }
  });
}

void GroupDuty::planAll(MonotonicTime Now) {
  if (!m_Context.m_Table)
    return;
  for (auto Entry = m_Unreachable.begin(); Entry != m_Unreachable.end();) {
    const BackendServer *Server = m_Context.m_Fleet.find(Entry->first);
    Entry = !Server || Server->m_Revision != Entry->second
                ? m_Unreachable.erase(Entry)
                : std::next(Entry);
  }
  for (const ServiceSpec &Service :
       m_Context.m_Table->configuration().m_Services) {
    if (!Service.hasGroups())
      continue;
    ReplicaPlannerSettings Settings;
    Settings.m_StallTime = m_Settings.m_StallTime;
    ReplicaPlanner &Planner =
        m_Planners
            .try_emplace(Service.m_Name, Settings, m_Epoch, m_Recorded, Now)
            .first->second;
    ReplicaPlannerInput Input;
    Input.m_Fleet = &m_Context.m_Fleet;
    Input.m_Service = &Service;
    Input.m_Now = Now;
    Input.m_TrafficSeen = m_Context.m_TrafficSeen;
    for (const auto &[Server, Revision] : m_Unreachable)
      Input.m_Unreachable.insert(Server);
    Input.m_AnswersUnlisted = answeringUnlisted(Now);
    Input.m_Demand = m_Context.m_Demand.demand(Now);
    for (MemberOrder &Order : Planner.plan(Input)) {
      if (Order.m_HeadLost && m_Recorded.count(Order.m_Server) == 0)
        m_Awaiting.push_back(std::move(Order));
      else
        send(Order);
    }
  }
  if (!m_Awaiting.empty())
    writeRecord();
}

void GroupDuty::readRecord() {
  if (m_RecordBusy)
    return;
  m_RecordBusy = true;
  m_Platform.m_StartStoreCall(
      GetObject{0, QuarantineKey}, [this](const StoreCompletion &Result) {
        m_RecordBusy = false;
        const auto &Read = std::get<GetCompleted>(Result);
        if (Read.m_Outcome != StoreOutcome::Applied &&
            Read.m_Outcome != StoreOutcome::NotFound)
          return; // asked again at the next tick
        m_RecordKnown = true;
        m_RecordVersion = Read.m_Version;
        m_Recorded.clear();
        if (Read.m_Outcome == StoreOutcome::NotFound)
          return;
        const auto Content = parseJson(Read.m_Value, "quarantine record");
        if (Content.ok())
          for (const std::string &Server :
               memberOr(*Content, "servers", std::vector<std::string>()))
            m_Recorded.insert(Server);
      });
}

void GroupDuty::writeRecord() {
  if (m_RecordBusy)
    return;
  m_RecordBusy = true;
  std::set<std::string> Servers;
  for (const auto &[Service, Planner] : m_Planners)
    for (const std::string &Server : Planner.quarantined())
      Servers.insert(Server);
  m_Platform.m_StartStoreCall(
      PutObject{0, QuarantineKey, m_RecordVersion,
                Json{{"servers", Servers}}.dump()},
      [this, Servers, Epoch = m_Epoch](const StoreCompletion &Result) {
        m_RecordBusy = false;
        const auto &Written = std::get<PutCompleted>(Result);
        if (Written.m_Outcome != StoreOutcome::Applied) {
          // Another writer, or an outcome that is not known: read it again.
          m_RecordKnown = false;
          m_Awaiting.clear();
          return;
        }
        m_RecordVersion = Written.m_Version;
        m_Recorded = Servers;
        if (!m_WasHeld || Epoch != m_Epoch)
          return;
        std::vector<MemberOrder> Orders;
        Orders.swap(m_Awaiting);
        for (const MemberOrder &Order : Orders)
          if (m_Recorded.count(Order.m_Server) != 0)
            send(Order);
      });
}

void GroupDuty::send(const MemberOrder &Order) {
  const BackendServer *Server = m_Context.m_Fleet.find(Order.m_Server);
  if (!Server && !Order.m_LastEndpoint)
    return;
  const std::int64_t Born = Server ? Server->m_StartedAtMs : 0;
  const Endpoint Peer = Server ? Server->m_Endpoint : *Order.m_LastEndpoint;
  const HttpHeaders Headers{
      {"Content-Type", "application/json"},
      {m_Platform.m_Dialect.m_ExpectedServer, Order.m_Server}};
  startSmallCall(m_Context.m_Loop, Peer,
                 formatRequest("POST", m_Platform.m_OrderPath, Peer, Headers,
                               m_Platform.m_EncodeOrder(Order)),
                 OrderTimeout,
                 [this, Order, Born](const SmallResponse &Response) {
                   onOrderEnd(Order, Born, Response.m_End, Response.m_Status);
                 });
}

void GroupDuty::onOrderEnd(const MemberOrder &Order, std::int64_t Born,
                           CallEnd How, int Status) {
  m_Context.m_Log.write(
      "order", {{"kind", nameOf(OrderKindNames, Order.m_Kind)},
                {"server", Order.m_Server},
                {"born", Born},
                {"group", Order.m_Group.m_Name},
                {"epoch", static_cast<std::int64_t>(Order.m_Group.m_Epoch)},
                {"model", Order.m_Model},
                {"end", nameOf(CallEndNames, How)},
                {"status", std::int64_t{Status}}});
  const bool Taken =
      How == CallEnd::Complete && (Status == Ok || Status == Accepted);
  for (auto &[Service, Planner] : m_Planners) {
    if (Taken && Order.m_Kind == OrderKind::Leave)
      Planner.onLeft(Order);
    if (!Taken && Order.m_Kind == OrderKind::Join)
      Planner.onJoinFailed(Order, monotonicNow());
  }
}

std::set<std::string> GroupDuty::answeringUnlisted(MonotonicTime Now) {
  std::set<std::string> Missing;
  std::set<std::string> Answering;
  for (const auto &[Key, Group] : m_Context.m_Fleet.groups()) {
    if (!Group.m_Head ||
        Group.m_Head->m_Membership->m_State != MemberState::Open)
      continue;
    for (const BackendServer *Server : m_Context.m_Fleet.unlistedMembers(Key)) {
      const std::string &Id = Server->m_Id;
      Missing.insert(Id);
      UnlistedMember &Known =
          m_UnlistedMembers
              .try_emplace(Id, UnlistedMember{Now, Now + FirstAnswer})
              .first->second;
      if (Known.m_LivesUntil > Now)
        Answering.insert(Id);
      if (Known.m_AskAt > Now)
        continue;
      Known.m_AskAt = Now + UnlistedProbePeriod;
      askWhetherAlive(*Server, [this, Id](bool Alive, CallEnd End) {
        const auto Member = m_UnlistedMembers.find(Id);
        if (Member != m_UnlistedMembers.end() && Alive)
          Member->second.m_LivesUntil = monotonicNow() + UnlistedTrust;
        m_Context.m_Log.write("unlisted_member",
                              {{"server", Id},
                               {"alive", Alive},
                               {"end", nameOf(CallEndNames, End)}});
      });
    }
  }
  for (auto Entry = m_UnlistedMembers.begin();
       Entry != m_UnlistedMembers.end();)
    Entry = Missing.count(Entry->first) == 0 ? m_UnlistedMembers.erase(Entry)
                                             : std::next(Entry);
  return Answering;
}

void GroupDuty::onStalled(const StallNotice &Notice) {
  if (!m_WasHeld || Notice.m_Confirmed)
    return;
  const auto &Groups = m_Context.m_Fleet.groups();
  const auto Group = Groups.find(Notice.m_Group);
  if (Group == Groups.end())
    return;
  const MonotonicTime Now = monotonicNow();
  for (auto Entry = m_ProbedAt.begin(); Entry != m_ProbedAt.end();)
    Entry = Now - Entry->second >= ProbePause ? m_ProbedAt.erase(Entry)
                                              : std::next(Entry);
  if (!m_ProbedAt.emplace(Notice.m_Group, Now).second)
    return;
  for (const std::string &Member : Group->second.m_Members)
    if (!Member.empty() && m_Probing.insert(Member).second)
      probe(Member, Notice, 1);
}

void GroupDuty::askWhetherAlive(const BackendServer &Server,
                                std::function<void(bool, CallEnd)> Done) {
  startSmallCall(
      m_Context.m_Loop, Server.m_Endpoint,
      formatRequest("GET", m_Platform.m_ReportPath, Server.m_Endpoint,
                    {{m_Platform.m_Dialect.m_ExpectedServer, Server.m_Id}}, ""),
      ProbeTimeout, [Done = std::move(Done)](const SmallResponse &Answer) {
        Done(Answer.m_End == CallEnd::Complete && Answer.m_Status == Ok,
             Answer.m_End);
      });
}

void GroupDuty::probe(const std::string &Server, const StallNotice &Notice,
                      unsigned Attempt) {
  const BackendServer *Entry = m_Context.m_Fleet.find(Server);
  if (!Entry) {
    m_Probing.erase(Server);
    return;
  }
  askWhetherAlive(
      *Entry, [this, Server, Notice, Attempt,
               Revision = Entry->m_Revision](bool Alive, CallEnd End) {
        if (!Alive && Attempt < ProbeAttempts) {
          probe(Server, Notice, Attempt + 1);
          return;
        }
        m_Probing.erase(Server);
        m_Context.m_Log.write("probe", {{"server", Server},
                                        {"group", Notice.m_Group.m_Name},
                                        {"alive", Alive},
                                        {"end", nameOf(CallEndNames, End)}});
        if (Alive)
          return;
        m_Unreachable[Server] = Revision;
        m_NextPlan = {};
        if (m_OnConfirmed)
          m_OnConfirmed({Notice.m_Head, Notice.m_Group, true});
      });
}

} // namespace fulmarwinch
