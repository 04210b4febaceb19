#include "servers/replicas/replica_planner.h"

#include "cppunit/extensions/HelperMacros.h"

#include <algorithm>
#include <deque>

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Formation, opening and repair of replica groups in one fabric domain of nine
/// servers. The fixture simulates the backend servers: it executes each order
/// at once and updates the entry of the server.
class ReplicaPlannerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaPlannerTest);
  CPPUNIT_TEST(opensGroupOnlyWhenEveryMemberIsReady);
  CPPUNIT_TEST(failedMemberIsReplacedByAStagedSpare);
  CPPUNIT_TEST(membersAreQuarantinedUntilUnlistedHeadHasBroken);
  CPPUNIT_TEST(processAtTheAddressOfTheHeadReleasesItsMembers);
  CPPUNIT_TEST(headThatConfirmsLeavingReleasesItsMembers);
  CPPUNIT_TEST(restartedHeadReleasesItsMembers);
  CPPUNIT_TEST(nextLeaseHolderKeepsTheQuarantine);
  CPPUNIT_TEST(nextLeaseHolderKnowsTheHeadsOfTheQuarantine);
  CPPUNIT_TEST(quarantineOfAnUnknownHeadLastsItsWholeTime);
  CPPUNIT_TEST(membersOfABrokenGroupAreReleasedAtOnce);
  CPPUNIT_TEST(refusedJoinCancelsTheFormation);
  CPPUNIT_TEST(laterLeaseHolderUsesHigherEpochsAndOtherGroupNames);
  CPPUNIT_TEST(concurrentLoadsStayWithinTheLimit);
  CPPUNIT_TEST(endedGroupsDoNotCountAsLoading);
  CPPUNIT_TEST(groupWithFewestMissingLoadsIsCompletedFirst);
  CPPUNIT_TEST(groupStaysOpenWhileUnlistedMemberResponds);
  CPPUNIT_TEST(groupWithUnlistedMemberIsNotOpened);
  CPPUNIT_TEST(drainingMemberLetsRequestsFinish);
  CPPUNIT_TEST(oneModelPerDomainStrandsNoServer);
  CPPUNIT_TEST(spareKeepsItsWeightsWithoutShortage);
  CPPUNIT_TEST(spareOfWellSuppliedModelIsRestagedForScarceModel);
  CPPUNIT_TEST(domainChangesItsModelWhileItsGroupsServe);
  CPPUNIT_TEST(conversionLeavesLoadsForLostServers);
  CPPUNIT_TEST(strandedServersOfADomainLoadTogether);
  CPPUNIT_TEST(supplyLogNamesNeedAndPriority);
  CPPUNIT_TEST(nextLeaseHolderContinuesAConversion);
  CPPUNIT_TEST(limitedServerIsNoHeadIfAnotherMemberCanBe);
  CPPUNIT_TEST(nextLeaseHolderKnowsAHeadThatEndedBeforeItsTime);
  CPPUNIT_TEST(entryOfAnEndedHeadDoesNotHoldItsMembers);
  CPPUNIT_TEST(entryOfAnEndedMemberDoesNotCompleteAGroup);
  CPPUNIT_TEST(clockOfAServerAloneDoesNotEndAnother);
  CPPUNIT_TEST(entryOfAnUnnamedServiceEndsNoHead);
  CPPUNIT_TEST_SUITE_END();

  FleetView m_Fleet;
  ServiceSpec m_Service;
  MonotonicTime m_Now{seconds(1000)};
  std::uint64_t m_Revision = 1;
  std::uint64_t m_OrderCount = 0;
  bool m_TrafficSeen = false;
  std::set<std::string> m_Unreachable;
  std::set<std::string> m_RateLimited;
  std::set<std::string> m_UnlistedButResponding;
  DemandByModel m_Demand;
  /// Sequence of each lease holder.
  std::deque<GroupKeySequence> m_GroupKeys;

public:
  void setUp() override {
    m_Service.m_Name = "llm";
    m_Service.m_Engine.m_MaxConcurrentLoads = 6;
    m_Service.m_Engine.m_Models = {
        {"big", 4, 1.0, 0.5, seconds(16), milliseconds(1600)},
        {"small", 3, 0.6, 0.5, seconds(12), milliseconds(1100)}};
  }

private:
  static std::string serverId(int Index) { return "s" + std::to_string(Index); }

  void updateEntry(BackendServer Server) {
    Server.m_Position = ++m_Revision;
    m_Fleet.update(std::move(Server), m_Now);
  }

  void addServers(int FirstIndex, int LastIndex,
                  const std::string &Staged = "") {
    for (int I = FirstIndex; I <= LastIndex; ++I) {
      BackendServer Server;
      Server.m_Id = serverId(I);
      Server.m_Service = "llm";
      Server.m_Zone = "a";
      Server.m_FabricDomain = "d1";
      if (!Staged.empty())
        Server.m_StagedModels = {Staged};
      updateEntry(Server);
    }
  }

  void removeEntry(const std::string &Id) { m_Fleet.remove(Id, ++m_Revision); }

  void setMemberState(const std::string &Id, GroupMemberState State) {
    BackendServer Server = *m_Fleet.find(Id);
    Server.m_Membership->m_State = State;
    updateEntry(Server);
  }

  /// Applies the effect of \p Order to the entry of its server.
  void execute(const MemberOrder &Order) {
    if (!m_Fleet.find(Order.m_Server))
      return;
    BackendServer Server = *m_Fleet.find(Order.m_Server);
    switch (Order.m_Kind) {
    case MemberOrderKind::Join: {
      const auto Position = std::find(Order.m_Members.begin(),
                                      Order.m_Members.end(), Order.m_Server);
      Server.m_Membership = GroupMembership{
          Order.m_Group,
          static_cast<unsigned>(Position - Order.m_Members.begin()),
          GroupMemberState::Ready};
      Server.m_StagedModels = {Order.m_Model};
      break;
    }
    case MemberOrderKind::Open:
      Server.m_Membership->m_State = GroupMemberState::Open;
      break;
    case MemberOrderKind::Close:
      Server.m_Membership->m_State = GroupMemberState::Ready;
      break;
    case MemberOrderKind::Leave:
      Server.m_Membership.reset();
      break;
    case MemberOrderKind::Stage:
      Server.m_StagedModels = {Order.m_Model};
      break;
    }
    updateEntry(Server);
  }

  std::vector<MemberOrder> plan(ReplicaPlanner &Planner) {
    ReplicaPlannerInput Input;
    Input.m_Fleet = &m_Fleet;
    Input.m_Service = &m_Service;
    Input.m_Now = m_Now;
    Input.m_TrafficSeen = m_TrafficSeen;
    Input.m_UnreachableServers = m_Unreachable;
    Input.m_RateLimitedServers = m_RateLimited;
    Input.m_UnlistedButResponding = m_UnlistedButResponding;
    Input.m_DemandByModel = m_Demand;
    std::vector<MemberOrder> Orders = Planner.plan(Input);
    if (!answerStateRequests(Planner))
      return Orders;
    for (MemberOrder &Order : Planner.plan(Input))
      Orders.push_back(std::move(Order));
    return Orders;
  }

  /// Answers as the servers' load reports do. Returns false if there is no
  /// request.
  bool answerStateRequests(ReplicaPlanner &Planner) {
    const std::vector<BackendServer> Requests = Planner.takeStateRequests();
    for (const BackendServer &Server : Requests) {
      OrderState State{Server.m_StartedAtMs, ++m_OrderCount, std::nullopt};
      if (Server.m_Membership)
        State.m_Group = Server.m_Membership->m_Group;
      Planner.onServerState(Server.m_Id, State);
    }
    return !Requests.empty();
  }

  /// Runs 20 planning passes at intervals of 100 ms and executes their orders.
  void runUntilSettled(ReplicaPlanner &Planner) {
    for (int I = 0; I < 20; ++I) {
      m_Now += milliseconds(100);
      const std::vector<MemberOrder> Orders = plan(Planner);
      for (const MemberOrder &Order : Orders)
        execute(Order);
    }
  }

  std::size_t openGroups() const {
    std::size_t Count = 0;
    for (const auto &[Key, Group] : m_Fleet.groups())
      Count += Group.m_Head &&
               Group.m_Head->m_Membership->m_State == GroupMemberState::Open;
    return Count;
  }

  /// Servers name their limits in the responses to the join orders. Guards
  /// against a new group that takes one request a second because its head is
  /// limited, while another member is not.
  void limitedServerIsNoHeadIfAnotherMemberCanBe() {
    addServers(1, 4, "big");
    ReplicaPlanner Planner = newPlanner();
    for (const MemberOrder &Order : plan(Planner))
      execute(Order);
    m_RateLimited = {serverId(1), serverId(2), serverId(4)};
    runUntilSettled(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, openGroups());
    CPPUNIT_ASSERT_EQUAL(serverId(3),
                         m_Fleet.groups().begin()->second.m_Head->m_Id);

    // A group of which all members are limited opens all the same.
    m_RateLimited.insert(serverId(3));
    removeEntry(serverId(3));
    addServers(5, 5, "big");
    m_RateLimited.insert(serverId(5));
    for (int I = 0; I < 5; ++I)
      runUntilSettled(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, openGroups());
  }

  /// Creates a planner whose start-up settle time has already passed, so it
  /// expects no further domains.
  ReplicaPlanner newPlanner(std::uint64_t Epoch = 1,
                            const QuarantineRecord &Quarantined = {}) {
    const ReplicaPlannerSettings Settings;
    m_GroupKeys.emplace_back().beginLease(Epoch);
    return {Settings, m_GroupKeys.back(), Quarantined,
            m_Now - Settings.m_StartupSettleTime};
  }

  static std::size_t countOrders(const std::vector<MemberOrder> &Orders,
                                 MemberOrderKind Kind) {
    return static_cast<std::size_t>(std::count_if(
        Orders.begin(), Orders.end(),
        [&](const MemberOrder &Order) { return Order.m_Kind == Kind; }));
  }

  /// Guards against opening a group before every member has loaded its weights.
  void opensGroupOnlyWhenEveryMemberIsReady() {
    addServers(1, 3);
    ReplicaPlanner Planner = newPlanner();
    for (const MemberOrder &Order : plan(Planner))
      execute(Order);
    setMemberState(serverId(2), GroupMemberState::Joining);
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         countOrders(plan(Planner), MemberOrderKind::Open));
    setMemberState(serverId(2), GroupMemberState::Ready);
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         countOrders(plan(Planner), MemberOrderKind::Open));
  }

  /// Guards against a group that is not repaired although a spare server is
  /// free.
  void failedMemberIsReplacedByAStagedSpare() {
    addServers(1, 9);
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, openGroups());
    m_TrafficSeen = true;
    const auto Groups = m_Fleet.groups();
    removeEntry(Groups.begin()->second.m_Members.back());
    runUntilSettled(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, openGroups());
  }

  /// Guards against a server that is in two groups at once: a head that is
  /// partitioned from the store may still serve with its old members.
  void membersAreQuarantinedUntilUnlistedHeadHasBroken() {
    addServers(1, 3);
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, openGroups());
    m_TrafficSeen = true;
    addServers(4, 4, "small");
    const std::string Head = m_Fleet.groups().begin()->second.m_Members.front();
    removeEntry(Head);
    const MonotonicTime LostAt = m_Now;
    std::size_t Joins = 0;
    while (m_Now < LostAt + seconds(5)) {
      m_Now += milliseconds(100);
      for (const MemberOrder &Order : plan(Planner)) {
        Joins += Order.m_Kind == MemberOrderKind::Join;
        // The head is also ordered to leave, in case it is still reachable.
        CPPUNIT_ASSERT(Order.m_Kind != MemberOrderKind::Leave ||
                       Order.m_HeadMayServe || Order.m_Server == Head);
        execute(Order);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Joins);
    m_Now += seconds(3);
    runUntilSettled(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, openGroups());
  }

  /// A request crashes the heads of groups, and each is back under another ID
  /// after some seconds. Guards against members that wait for a head to break
  /// that has ended, while the model has no group.
  void processAtTheAddressOfTheHeadReleasesItsMembers() {
    addServers(1, 3);
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    m_TrafficSeen = true;
    BackendServer Head = *m_Fleet.groups().begin()->second.m_Head;
    Head.m_Endpoint = {"10.0.0.7", 8088};
    updateEntry(Head);
    m_Unreachable = {Head.m_Id};
    runUntilSettled(Planner);
    removeEntry(Head.m_Id);
    m_Unreachable.clear();
    runUntilSettled(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, openGroups());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Planner.quarantineRecord().size());

    BackendServer Successor = Head;
    Successor.m_Id = "i-new";
    Successor.m_StartedAtMs += 1;
    Successor.m_Membership.reset();
    updateEntry(Successor);
    runUntilSettled(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, openGroups());
    CPPUNIT_ASSERT(Planner.quarantineRecord().empty());
  }

  /// Servers are partitioned from the store but still reachable for requests.
  /// Guards against quarantining the members of a group until its unlisted head
  /// must have stopped serving, although that head confirmed that it left the
  /// group.
  void headThatConfirmsLeavingReleasesItsMembers() {
    addServers(1, 3);
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    m_TrafficSeen = true;
    addServers(4, 4, "small");
    const BackendServer Head = *m_Fleet.groups().begin()->second.m_Head;
    removeEntry(Head.m_Id);
    m_Now += milliseconds(100);
    const std::vector<MemberOrder> Orders = plan(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Orders.size());
    CPPUNIT_ASSERT_EQUAL(Head.m_Id, Orders.front().m_Server);
    CPPUNIT_ASSERT(Orders.front().m_Kind == MemberOrderKind::Leave);
    CPPUNIT_ASSERT(Orders.front().m_LastEndpoint.has_value());
    Planner.onLeaveConfirmed(Orders.front());
    runUntilSettled(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, openGroups());
    CPPUNIT_ASSERT(Planner.quarantineRecord().empty());
  }

  /// The head crashes and restarts, and its entry shows the new process, which
  /// is in no group. Guards against quarantining the other members in this
  /// case.
  void restartedHeadReleasesItsMembers() {
    addServers(1, 3);
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    m_TrafficSeen = true;
    BackendServer Head = *m_Fleet.groups().begin()->second.m_Head;
    Head.m_Membership.reset();
    Head.m_StartedAtMs += 1;
    updateEntry(Head);
    runUntilSettled(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, openGroups());
    CPPUNIT_ASSERT(Planner.quarantineRecord().empty());
  }

  /// Guards against a new lease holder that lets quarantined servers join a
  /// group, and against one that forms no groups for several seconds.
  void nextLeaseHolderKeepsTheQuarantine() {
    addServers(1, 6, "small");
    m_TrafficSeen = true;
    ReplicaPlanner Planner =
        newPlanner(2, {{serverId(1), {}}, {serverId(2), {}}});
    const std::vector<MemberOrder> Orders = plan(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         countOrders(Orders, MemberOrderKind::Join));
    for (const MemberOrder &Order : Orders)
      CPPUNIT_ASSERT(Order.m_Server != serverId(1) &&
                     Order.m_Server != serverId(2));
    m_Now += seconds(7);
    addServers(7, 7, "small");
    CPPUNIT_ASSERT(countOrders(plan(Planner), MemberOrderKind::Join) > 0);
  }

  /// Adds an idle server at 10.0.0.7:8088.
  void addServerAtAddressOfHead(std::int64_t StartedAtMs) {
    BackendServer Server;
    Server.m_Id = "i-new";
    Server.m_Service = "llm";
    Server.m_Endpoint = {"10.0.0.7", 8088};
    Server.m_StartedAtMs = StartedAtMs;
    updateEntry(Server);
  }

  /// The lease holder is replaced while servers wait for a crashed head. Guards
  /// against a new holder that lets them wait anew although the head's address
  /// has another process.
  void nextLeaseHolderKnowsTheHeadsOfTheQuarantine() {
    addServers(1, 3, "small");
    m_TrafficSeen = true;
    const HeadProcess Head{"i-old", {"10.0.0.7", 8088}, 500};
    const QuarantineRecord Stored =
        parseQuarantineRecord(toJson({{serverId(1), Head}, {"i-gone", {}}}));
    ReplicaPlanner Planner = newPlanner(2, Stored);
    CPPUNIT_ASSERT(Planner.quarantineRecord() == Stored);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         countOrders(plan(Planner), MemberOrderKind::Join));
    addServerAtAddressOfHead(501);
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         countOrders(plan(Planner), MemberOrderKind::Join));
  }

  /// A head crashes while the store is down and nobody holds the lease. Guards
  /// against a new holder that lets the members wait for a head that it does
  /// not know, although the head's address has another process.
  void nextLeaseHolderKnowsAHeadThatEndedBeforeItsTime() {
    addServers(1, 3, "small");
    BackendServer Head = *m_Fleet.find(serverId(1));
    Head.m_Endpoint = {"10.0.0.7", 8088};
    Head.m_StartedAtMs = 500;
    updateEntry(Head);
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    CPPUNIT_ASSERT_EQUAL(serverId(1),
                         m_Fleet.groups().begin()->second.m_Head->m_Id);
    removeEntry(serverId(1));
    addServerAtAddressOfHead(501);
    m_TrafficSeen = true;
    ReplicaPlanner Next = newPlanner(2);
    runUntilSettled(Next);
    CPPUNIT_ASSERT(Next.quarantineRecord().empty());
    CPPUNIT_ASSERT(!m_Fleet.find(serverId(2))->m_Membership);
  }

  /// Forms a group whose member \p Id has the address of
  /// addServerAtAddressOfHead().
  void openGroupWithAddress(ReplicaPlanner &Planner, const std::string &Id) {
    addServers(1, 3, "small");
    BackendServer Member = *m_Fleet.find(Id);
    Member.m_Endpoint = {"10.0.0.7", 8088};
    Member.m_StartedAtMs = 500;
    updateEntry(Member);
    runUntilSettled(Planner);
    m_TrafficSeen = true;
    CPPUNIT_ASSERT(
        m_Fleet.groups().begin()->second.m_Head->m_Membership->m_State ==
        GroupMemberState::Open);
  }

  /// The head crashes while the store is down, and its entry outlasts it for
  /// seconds after the store's return. Guards against a group that counts as
  /// open although another process has the address of its head.
  void entryOfAnEndedHeadDoesNotHoldItsMembers() {
    ReplicaPlanner Planner = newPlanner();
    openGroupWithAddress(Planner, serverId(1));
    addServerAtAddressOfHead(501);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         countOrders(plan(Planner), MemberOrderKind::Leave));
    for (int I = 2; I <= 3; ++I) {
      BackendServer Member = *m_Fleet.find(serverId(I));
      Member.m_Membership.reset();
      updateEntry(Member);
    }
    addServers(4, 4, "small");
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         countOrders(plan(Planner), MemberOrderKind::Join));
    CPPUNIT_ASSERT(Planner.quarantineRecord().empty());
  }

  /// Guards against a head that keeps the requests of a group that stands
  /// still.
  void entryOfAnEndedMemberDoesNotCompleteAGroup() {
    ReplicaPlanner Planner = newPlanner();
    openGroupWithAddress(Planner, serverId(2));
    addServerAtAddressOfHead(501);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         countOrders(plan(Planner), MemberOrderKind::Close));
  }

  /// The address of a gone server was given to a host whose clock is behind.
  /// Guards against a live server that counts as ended because of that clock.
  void clockOfAServerAloneDoesNotEndAnother() {
    addServerAtAddressOfHead(501);
    ReplicaPlanner Planner = newPlanner();
    openGroupWithAddress(Planner, serverId(1));
    const std::vector<MemberOrder> Orders = plan(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         countOrders(Orders, MemberOrderKind::Leave) +
                             countOrders(Orders, MemberOrderKind::Close));
  }

  /// Guards against servers that join a group while an unknown head may serve
  /// with them: an earlier version or a damaged object names no head.
  void quarantineOfAnUnknownHeadLastsItsWholeTime() {
    addServers(1, 3, "small");
    m_TrafficSeen = true;
    const Json EarlierVersion{{"servers", {serverId(1)}}};
    Json WithoutStartTime =
        toJson({{serverId(1), {"i-old", {"10.0.0.7", 8088}, 500}}});
    WithoutStartTime["heads"][0].erase("started_at_ms");
    Json WithoutAddress =
        toJson({{serverId(1), {"i-old", {"10.0.0.7", 8088}, 500}}});
    WithoutAddress["heads"][0].erase("ip");
    addServerAtAddressOfHead(501);
    for (const Json &Stored :
         {EarlierVersion, WithoutStartTime, WithoutAddress}) {
      ReplicaPlanner Planner = newPlanner(2, parseQuarantineRecord(Stored));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                           countOrders(plan(Planner), MemberOrderKind::Join));
    }
    CPPUNIT_ASSERT(parseQuarantineRecord(Json::array({1})).empty());
  }

  /// Guards against members that stay in a group whose head reports the state
  /// `broken`.
  void membersOfABrokenGroupAreReleasedAtOnce() {
    addServers(1, 3);
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    const std::string Head = m_Fleet.groups().begin()->second.m_Members.front();
    setMemberState(Head, GroupMemberState::Broken);
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         countOrders(plan(Planner), MemberOrderKind::Leave));
  }

  /// Guards against waiting for the whole load time after one member refused to
  /// join.
  void refusedJoinCancelsTheFormation() {
    addServers(1, 3, "small");
    m_TrafficSeen = true;
    ReplicaPlanner Planner = newPlanner();
    const std::vector<MemberOrder> Orders = plan(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         countOrders(Orders, MemberOrderKind::Join));
    execute(Orders[0]);
    execute(Orders[1]);
    Planner.onJoinFailed(Orders[2], m_Now);
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         countOrders(plan(Planner), MemberOrderKind::Leave));
  }

  /// Guards against a late order of an earlier lease holder that matches a
  /// group of a later one.
  void laterLeaseHolderUsesHigherEpochsAndOtherGroupNames() {
    addServers(1, 3, "small");
    ReplicaPlanner FirstHolder = newPlanner(7);
    ReplicaPlanner SecondHolder = newPlanner(8);
    const MemberOrder EarlierOrder = plan(FirstHolder).front();
    const MemberOrder LaterOrder = plan(SecondHolder).front();
    CPPUNIT_ASSERT(EarlierOrder.m_Group.m_Epoch < LaterOrder.m_Group.m_Epoch);
    CPPUNIT_ASSERT(EarlierOrder.m_Group.m_Name != LaterOrder.m_Group.m_Name);
    CPPUNIT_ASSERT_EQUAL(std::string("small"),
                         modelOfGroup(LaterOrder.m_Group.m_Name));
  }

  /// Guards against starting more concurrent loads than the service allows for
  /// its weight store.
  void concurrentLoadsStayWithinTheLimit() {
    addServers(1, 9);
    m_TrafficSeen = true;
    ReplicaPlanner Planner = newPlanner();
    std::size_t Loads = 0;
    for (int I = 0; I < 10; ++I) {
      m_Now += milliseconds(100);
      Loads += countOrders(plan(Planner), MemberOrderKind::Stage);
    }
    CPPUNIT_ASSERT(Loads > 0 && Loads <= 6);
  }

  /// All servers of groups that formed before the first request disappear.
  /// Guards against counting the loads of these groups as in progress until
  /// their time limit: servers without weights were not staged for half a
  /// minute.
  void endedGroupsDoNotCountAsLoading() {
    addServers(1, 7);
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    m_TrafficSeen = true;
    for (int I = 1; I <= 7; ++I)
      removeEntry(serverId(I));
    addServers(8, 8);
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         countOrders(plan(Planner), MemberOrderKind::Stage));
  }

  /// After a series of server failures the weight store is the bottleneck.
  /// Guards against spreading the loads over several groups so that none
  /// becomes complete.
  void groupWithFewestMissingLoadsIsCompletedFirst() {
    m_Service.m_Engine.m_MaxConcurrentLoads = 2;
    m_TrafficSeen = true;
    addServers(1, 3);
    for (int I = 11; I <= 13; ++I) {
      BackendServer Server = *m_Fleet.find(serverId(1));
      Server.m_Id = serverId(I);
      Server.m_FabricDomain = "d2";
      if (I != 13)
        Server.m_StagedModels = {"small"};
      updateEntry(Server);
    }
    ReplicaPlanner Planner = newPlanner();
    const std::vector<MemberOrder> Orders = plan(Planner);
    CPPUNIT_ASSERT(!Orders.empty());
    CPPUNIT_ASSERT_EQUAL(serverId(13), Orders.front().m_Server);
  }

  /// Some of the servers are partitioned from the store for seconds, and nearly
  /// every large group has a member among them. Guards against closing a
  /// working group because of that, and against not closing a group whose
  /// member has failed.
  void groupStaysOpenWhileUnlistedMemberResponds() {
    addServers(1, 3);
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    m_TrafficSeen = true;
    const std::string Member =
        m_Fleet.groups().begin()->second.m_Members.back();
    removeEntry(Member);
    m_UnlistedButResponding = {Member};
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT(plan(Planner).empty());
    m_UnlistedButResponding.clear();
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         countOrders(plan(Planner), MemberOrderKind::Close));
  }

  /// Guards against opening a group with a member that responds to probes but
  /// has no store entry that shows it as ready.
  void groupWithUnlistedMemberIsNotOpened() {
    addServers(1, 3, "small");
    m_TrafficSeen = true;
    ReplicaPlanner Planner = newPlanner();
    for (const MemberOrder &Order : plan(Planner))
      execute(Order);
    const std::string Member =
        m_Fleet.groups().begin()->second.m_Members.back();
    removeEntry(Member);
    m_UnlistedButResponding = {Member};
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         countOrders(plan(Planner), MemberOrderKind::Open));
  }

  /// Guards against streams that are interrupted because one member drains.
  void drainingMemberLetsRequestsFinish() {
    addServers(1, 3);
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    BackendServer DrainingMember =
        *m_Fleet.find(m_Fleet.groups().begin()->second.m_Members.back());
    DrainingMember.m_Draining = true;
    updateEntry(DrainingMember);
    m_Now += milliseconds(100);
    const std::vector<MemberOrder> Orders = plan(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         countOrders(Orders, MemberOrderKind::Close));
    CPPUNIT_ASSERT(Orders.front().m_CloseMode == CloseMode::FinishRequests);
  }

  /// Adds \p Count servers to each of six fabric domains in three zones. The
  /// models in \p Staged are staged in the domains in turn.
  void addDomains(int Count, const std::vector<std::string> &Staged = {}) {
    int NextIndex = 100;
    for (int Domain = 0; Domain < 6; ++Domain)
      for (int I = 0; I < Count; ++I) {
        BackendServer Server;
        Server.m_Id = serverId(NextIndex++);
        Server.m_Service = "llm";
        Server.m_Zone = std::string(1, static_cast<char>('a' + Domain / 2));
        Server.m_FabricDomain = "d" + std::to_string(Domain);
        if (!Staged.empty())
          Server.m_StagedModels = {Staged[Domain % Staged.size()]};
        updateEntry(Server);
      }
  }

  /// 54 servers without weights start together in domains of nine. Guards
  /// against running both models in each domain: that forms only 12 groups and
  /// leaves 12 servers without a group.
  void oneModelPerDomainStrandsNoServer() {
    addDomains(9);
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    runUntilSettled(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{15}, openGroups());
    std::map<std::string, std::set<std::string>> ModelsOfZone;
    for (const auto &[Id, Server] : m_Fleet.servers()) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Server.m_StagedModels.size());
      ModelsOfZone[Server.m_Zone].insert(Server.m_StagedModels.front());
    }
    // Evacuating one zone must not remove all groups of a model.
    for (const auto &[Zone, Models] : ModelsOfZone)
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Models.size());
  }

  /// Guards against replacing the weights of spare servers while no model is
  /// short of groups: the spare is then missing when a member fails.
  void spareKeepsItsWeightsWithoutShortage() {
    addDomains(9, {"big", "small"});
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    m_TrafficSeen = true;
    m_Now += seconds(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         countOrders(plan(Planner), MemberOrderKind::Stage));
  }

  /// Server failures leave one model without enough servers for a group while
  /// the other model has idle spares. Guards against refusing requests of the
  /// first model for the rest of the day.
  void spareOfWellSuppliedModelIsRestagedForScarceModel() {
    addDomains(5, {"small"});
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    m_TrafficSeen = true;
    addServers(1, 2);
    for (int I = 1; I <= 2; ++I) {
      BackendServer Server = *m_Fleet.find(serverId(I));
      Server.m_Zone = "a";
      Server.m_FabricDomain = "d0";
      updateEntry(Server);
    }
    m_Now += milliseconds(100);
    const std::vector<MemberOrder> Orders = plan(Planner);
    // Two servers without weights and two spares of the domain form one group
    // of the big model.
    CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                         countOrders(Orders, MemberOrderKind::Stage));
    for (const MemberOrder &Order : Orders)
      CPPUNIT_ASSERT_EQUAL(std::string("big"), Order.m_Model);
  }

  std::map<std::string, std::size_t> openGroupsByModel() const {
    std::map<std::string, std::size_t> Counts;
    for (const auto &[Key, Group] : m_Fleet.groups())
      Counts[Group.m_Model] +=
          Group.m_Head &&
          Group.m_Head->m_Membership->m_State == GroupMemberState::Open;
    return Counts;
  }

  /// Load pattern: six domains hold three groups of the small model each in
  /// three of them, but nearly all requests are for the big model. Guards
  /// against a domain that keeps its first model for the whole day, and against
  /// groups that stop serving before their servers have the new weights.
  void domainChangesItsModelWhileItsGroupsServe() {
    m_Service.m_Engine.m_MaxConcurrentLoads = 12;
    addDomains(9, {"big", "small"});
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, openGroupsByModel()["small"]);
    m_TrafficSeen = true;
    m_Demand = {{"big", 8.0}, {"small", 2.0}};
    // The loads take sixteen seconds; no group may end before.
    std::vector<MemberOrder> Loads;
    for (int I = 0; I < 100; ++I) {
      m_Now += milliseconds(100);
      for (const MemberOrder &Order : plan(Planner))
        if (Order.m_Kind == MemberOrderKind::Stage)
          Loads.push_back(Order);
        else
          execute(Order);
    }
    CPPUNIT_ASSERT(!Loads.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, openGroupsByModel()["small"]);
    for (const MemberOrder &Load : Loads)
      execute(Load);
    for (int I = 0; I < 10; ++I)
      runUntilSettled(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, openGroupsByModel()["big"]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, openGroupsByModel()["small"]);
  }

  /// The weight store carries six loads at once. Guards against a conversion
  /// that keeps lost servers from being replaced.
  void conversionLeavesLoadsForLostServers() {
    addDomains(9, {"big", "small"});
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    m_TrafficSeen = true;
    m_Demand = {{"big", 8.0}, {"small", 2.0}};
    std::set<std::string> Loading;
    for (int I = 0; I < 60; ++I) {
      m_Now += milliseconds(100);
      for (const MemberOrder &Order : plan(Planner))
        if (Order.m_Kind == MemberOrderKind::Stage)
          Loading.insert(Order.m_Server);
    }
    CPPUNIT_ASSERT(!Loading.empty());
    CPPUNIT_ASSERT(Loading.size() <= 4);
    addServers(1, 1);
    m_Now += milliseconds(100);
    const std::vector<MemberOrder> Orders = plan(Planner);
    CPPUNIT_ASSERT(
        std::any_of(Orders.begin(), Orders.end(), [](const MemberOrder &Order) {
          return Order.m_Server == serverId(1);
        }));
  }

  /// Load pattern: the small model lacks groups, and seven servers of each
  /// domain of the large model are too few for one of its groups. Guards
  /// against a conversion that converts them two at a time, one load time after
  /// the other.
  void strandedServersOfADomainLoadTogether() {
    m_Service.m_Engine.m_MaxConcurrentLoads = 20;
    m_Service.m_Engine.m_Models[0].m_GroupSize = 8;
    m_Service.m_Engine.m_Models[1].m_GroupSize = 2;
    addDomains(7, {"big", "small"});
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, openGroupsByModel()["small"]);
    m_TrafficSeen = true;
    m_Demand = {{"big", 0.0}, {"small", 14.0}};
    std::map<std::string, unsigned> LoadsByDomain;
    for (int I = 0; I < 50; ++I) {
      m_Now += milliseconds(100);
      for (const MemberOrder &Order : plan(Planner))
        if (Order.m_Kind == MemberOrderKind::Stage)
          ++LoadsByDomain[m_Fleet.find(Order.m_Server)->m_FabricDomain];
    }
    unsigned Loads = 0;
    for (const auto &[Domain, Count] : LoadsByDomain)
      Loads += Count;
    // 15 of the 20 concurrent loads are for conversions.
    CPPUNIT_ASSERT(Loads >= 12 && Loads <= 15);
    for (const auto &[Domain, Count] : LoadsByDomain)
      CPPUNIT_ASSERT(Count <= 6);
  }

  /// Guards against an operator who cannot see why a model is converted.
  void supplyLogNamesNeedAndPriority() {
    addDomains(9, {"big", "small"});
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    ReplicaPlannerInput Input;
    Input.m_Fleet = &m_Fleet;
    Input.m_Service = &m_Service;
    Input.m_Now = m_Now;
    Input.m_DemandByModel = {{"big", 2.0}, {"small", 4.0}};
    Input.m_PriorityByModel = {{"big", 1.5}, {"small", 0.0}};
    Input.m_TolerableZoneLosses = 1;
    const std::vector<ModelSupply> Supplies = Planner.modelSupplies(Input);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0 * 1.95, Supplies[0].m_NeededGroups, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, Supplies[1].m_Priority, 1e-9);
    // An evacuated zone is one of the losses to bear.
    m_Fleet.setEvacuatedZones({"a"});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        4.0 * 1.3, Planner.modelSupplies(Input)[1].m_NeededGroups, 1e-9);
  }

  /// The lease passes to another node after the servers of a domain have loaded
  /// the new weights. Guards against a domain that stays between two models.
  void nextLeaseHolderContinuesAConversion() {
    addDomains(9, {"big", "small"});
    ReplicaPlanner FirstHolder = newPlanner();
    runUntilSettled(FirstHolder);
    m_TrafficSeen = true;
    for (const auto &[Id, Entry] : m_Fleet.servers()) {
      BackendServer Server = Entry;
      if (Server.m_FabricDomain == "d1") {
        Server.m_StagedModels = {"big"};
        updateEntry(Server);
      }
    }
    ReplicaPlanner SecondHolder = newPlanner(2);
    m_Demand = {{"big", 5.0}, {"small", 3.0}};
    for (int I = 0; I < 5; ++I)
      runUntilSettled(SecondHolder);
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, openGroupsByModel()["big"]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, openGroupsByModel()["small"]);
  }

  /// Another program wrote an entry with the address and the rank of a head.
  /// Guards against members that are ordered into another group while their
  /// head serves.
  void entryOfAnUnnamedServiceEndsNoHead() {
    addServers(1, 4, "big");
    m_Fleet.setServices({"llm"}, m_Now);
    ReplicaPlanner Planner = newPlanner();
    runUntilSettled(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, openGroups());
    BackendServer Head = *m_Fleet.groups().begin()->second.m_Head;
    Head.m_Endpoint = {"10.0.0.7", 8088};
    updateEntry(Head);
    BackendServer Odd = Head;
    Odd.m_Id = "zz";
    Odd.m_Service = "odd";
    Odd.m_StartedAtMs += 1000;
    Odd.m_Membership->m_State = GroupMemberState::Broken;
    updateEntry(Odd);
    CPPUNIT_ASSERT(plan(Planner).empty());
    removeEntry("zz");
    CPPUNIT_ASSERT(plan(Planner).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaPlannerTest);

} // namespace fulmarwinch
