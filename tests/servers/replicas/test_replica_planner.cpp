#include "servers/replicas/replica_planner.h"

#include "cppunit/extensions/HelperMacros.h"

#include <algorithm>

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Formation, opening and repair of replica groups in one fabric domain of
/// nine servers. The fixture plays the backend servers: it carries out orders
/// at once and reports their effect.
class ReplicaPlannerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaPlannerTest);
  CPPUNIT_TEST(opensOnlyWhenEveryMemberIsReady);
  CPPUNIT_TEST(deadMemberIsReplacedByAStagedSpare);
  CPPUNIT_TEST(membersOfALostHeadWaitUntilItHasBroken);
  CPPUNIT_TEST(headThatStillAnswersFreesItsMembers);
  CPPUNIT_TEST(restartedHeadFreesItsMembers);
  CPPUNIT_TEST(nextHolderKeepsTheQuarantine);
  CPPUNIT_TEST(brokenGroupIsFreedAtOnce);
  CPPUNIT_TEST(refusedJoinEndsTheFormation);
  CPPUNIT_TEST(laterHolderHasHigherEpochsAndOtherNames);
  CPPUNIT_TEST(loadsStayWithinTheWeightStore);
  CPPUNIT_TEST(groupsThatEndedDoNotOccupyTheWeightStore);
  CPPUNIT_TEST(groupThatLacksFewestLoadsIsCompletedFirst);
  CPPUNIT_TEST(memberThatIsOnlyUnlistedKeepsItsGroupOpen);
  CPPUNIT_TEST(unlistedMemberKeepsItsGroupFromOpening);
  CPPUNIT_TEST(drainingMemberLetsWorkFinish);
  CPPUNIT_TEST(domainsOfOneModelStrandNoServer);
  CPPUNIT_TEST(healthySpareKeepsItsWeights);
  CPPUNIT_TEST(spareOfAnAmpleModelHelpsAScarceOne);
  CPPUNIT_TEST_SUITE_END();

  FleetView m_Fleet;
  ServiceSpec m_Service;
  MonotonicTime m_Now{seconds(1000)};
  std::uint64_t m_Revision = 1;
  bool m_TrafficSeen = false;
  std::set<std::string> m_Unreachable;
  std::set<std::string> m_AnswersUnlisted;

public:
  void setUp() override {
    m_Service.m_Name = "llm";
    m_Service.m_Engine.m_ConcurrentLoads = 6;
    m_Service.m_Engine.m_Models = {
        {"big", 4, 1.0, 0.5, seconds(16), milliseconds(1600)},
        {"small", 3, 0.6, 0.5, seconds(12), milliseconds(1100)}};
  }

private:
  static std::string id(int Index) { return "s" + std::to_string(Index); }

  void put(BackendServer Server) {
    Server.m_Revision = ++m_Revision;
    m_Fleet.update(std::move(Server), m_Now);
  }

  void addServers(int From, int To, const std::string &Staged = "") {
    for (int I = From; I <= To; ++I) {
      BackendServer Server;
      Server.m_Id = id(I);
      Server.m_Service = "llm";
      Server.m_Zone = "a";
      Server.m_Domain = "d1";
      if (!Staged.empty())
        Server.m_StagedModels = {Staged};
      put(Server);
    }
  }

  void remove(const std::string &Id) { m_Fleet.remove(Id, ++m_Revision); }

  void setState(const std::string &Id, MemberState State) {
    BackendServer Server = *m_Fleet.find(Id);
    Server.m_Membership->m_State = State;
    put(Server);
  }

  /// Plays the effect of \p Order on its server.
  void carryOut(const MemberOrder &Order) {
    if (!m_Fleet.find(Order.m_Server))
      return;
    BackendServer Server = *m_Fleet.find(Order.m_Server);
    switch (Order.m_Kind) {
    case OrderKind::Join: {
      const auto Place = std::find(Order.m_Members.begin(),
                                   Order.m_Members.end(), Order.m_Server);
      Server.m_Membership = GroupMembership{
          Order.m_Group, static_cast<unsigned>(Place - Order.m_Members.begin()),
          MemberState::Ready};
      Server.m_StagedModels = {Order.m_Model};
      break;
    }
    case OrderKind::Open:
      Server.m_Membership->m_State = MemberState::Open;
      break;
    case OrderKind::Close:
      Server.m_Membership->m_State = MemberState::Ready;
      break;
    case OrderKind::Leave:
      Server.m_Membership.reset();
      break;
    case OrderKind::Stage:
      Server.m_StagedModels = {Order.m_Model};
      break;
    }
    put(Server);
  }

  std::vector<MemberOrder> plan(ReplicaPlanner &Planner) {
    ReplicaPlannerInput Input;
    Input.m_Fleet = &m_Fleet;
    Input.m_Service = &m_Service;
    Input.m_Now = m_Now;
    Input.m_TrafficSeen = m_TrafficSeen;
    Input.m_Unreachable = m_Unreachable;
    Input.m_AnswersUnlisted = m_AnswersUnlisted;
    return Planner.plan(Input);
  }

  /// Plans and carries out orders until none is left.
  void settle(ReplicaPlanner &Planner) {
    for (int I = 0; I < 20; ++I) {
      m_Now += milliseconds(100);
      const std::vector<MemberOrder> Orders = plan(Planner);
      for (const MemberOrder &Order : Orders)
        carryOut(Order);
    }
  }

  std::size_t openGroups() const {
    std::size_t Count = 0;
    for (const auto &[Key, Group] : m_Fleet.groups())
      Count += Group.m_Head &&
               Group.m_Head->m_Membership->m_State == MemberState::Open;
    return Count;
  }

  /// A planner that expects no more domains than it sees.
  ReplicaPlanner newPlanner(std::uint64_t Epoch = 1,
                            const std::set<std::string> &Quarantined = {}) {
    const ReplicaPlannerSettings Settings;
    return {Settings, Epoch, Quarantined, m_Now - Settings.m_SettleTime};
  }

  static std::size_t count(const std::vector<MemberOrder> &Orders,
                           OrderKind Kind) {
    return static_cast<std::size_t>(std::count_if(
        Orders.begin(), Orders.end(),
        [&](const MemberOrder &Each) { return Each.m_Kind == Kind; }));
  }

  /// Guards against a group that serves before a member has its weights.
  void opensOnlyWhenEveryMemberIsReady() {
    addServers(1, 3);
    ReplicaPlanner Planner = newPlanner();
    for (const MemberOrder &Order : plan(Planner))
      carryOut(Order);
    setState(id(2), MemberState::Joining);
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count(plan(Planner), OrderKind::Open));
    setState(id(2), MemberState::Ready);
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count(plan(Planner), OrderKind::Open));
  }

  /// Guards against a group that stays broken while a spare is idle.
  void deadMemberIsReplacedByAStagedSpare() {
    addServers(1, 9);
    ReplicaPlanner Planner = newPlanner();
    settle(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, openGroups());
    m_TrafficSeen = true;
    const auto Groups = m_Fleet.groups();
    remove(Groups.begin()->second.m_Members.back());
    settle(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, openGroups());
  }

  /// Guards against a server in two groups at once: a head that lost sight of
  /// the store may still serve with the members that it had.
  void membersOfALostHeadWaitUntilItHasBroken() {
    addServers(1, 3);
    ReplicaPlanner Planner = newPlanner();
    settle(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, openGroups());
    m_TrafficSeen = true;
    addServers(4, 4, "small");
    const std::string Head = m_Fleet.groups().begin()->second.m_Members.front();
    remove(Head);
    const MonotonicTime LostAt = m_Now;
    std::size_t Joins = 0;
    while (m_Now < LostAt + seconds(5)) {
      m_Now += milliseconds(100);
      for (const MemberOrder &Order : plan(Planner)) {
        Joins += Order.m_Kind == OrderKind::Join;
        // The head itself is asked too, in case that it still answers.
        CPPUNIT_ASSERT(Order.m_Kind != OrderKind::Leave || Order.m_HeadLost ||
                       Order.m_Server == Head);
        carryOut(Order);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Joins);
    m_Now += seconds(3);
    settle(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, openGroups());
  }

  /// Pattern: servers are cut off from the store while requests still reach
  /// them. Guards against members that stand idle for the time in which a head
  /// out of sight must have broken, though that head says that it left.
  void headThatStillAnswersFreesItsMembers() {
    addServers(1, 3);
    ReplicaPlanner Planner = newPlanner();
    settle(Planner);
    m_TrafficSeen = true;
    addServers(4, 4, "small");
    const BackendServer Head = *m_Fleet.groups().begin()->second.m_Head;
    remove(Head.m_Id);
    m_Now += milliseconds(100);
    const std::vector<MemberOrder> Orders = plan(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Orders.size());
    CPPUNIT_ASSERT_EQUAL(Head.m_Id, Orders.front().m_Server);
    CPPUNIT_ASSERT(Orders.front().m_Kind == OrderKind::Leave);
    CPPUNIT_ASSERT(Orders.front().m_LastEndpoint.has_value());
    Planner.onLeft(Orders.front());
    settle(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, openGroups());
    CPPUNIT_ASSERT(Planner.quarantined().empty());
  }

  /// Guards against the same wait after the head crashed and its entry shows
  /// the new process, which is in no group.
  void restartedHeadFreesItsMembers() {
    addServers(1, 3);
    ReplicaPlanner Planner = newPlanner();
    settle(Planner);
    m_TrafficSeen = true;
    BackendServer Head = *m_Fleet.groups().begin()->second.m_Head;
    Head.m_Membership.reset();
    Head.m_StartedAtMs += 1;
    put(Head);
    settle(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, openGroups());
    CPPUNIT_ASSERT(Planner.quarantined().empty());
  }

  /// Guards against a take-over that forgets which servers may belong to a
  /// head out of sight, and against one that forms nothing for seconds.
  void nextHolderKeepsTheQuarantine() {
    addServers(1, 6, "small");
    m_TrafficSeen = true;
    ReplicaPlanner Planner = newPlanner(2, {id(1), id(2)});
    const std::vector<MemberOrder> Orders = plan(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, count(Orders, OrderKind::Join));
    for (const MemberOrder &Order : Orders)
      CPPUNIT_ASSERT(Order.m_Server != id(1) && Order.m_Server != id(2));
    m_Now += seconds(7);
    addServers(7, 7, "small");
    CPPUNIT_ASSERT(count(plan(Planner), OrderKind::Join) > 0);
  }

  /// Guards against members that wait for a head that says it is broken.
  void brokenGroupIsFreedAtOnce() {
    addServers(1, 3);
    ReplicaPlanner Planner = newPlanner();
    settle(Planner);
    const std::string Head = m_Fleet.groups().begin()->second.m_Members.front();
    setState(Head, MemberState::Broken);
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         count(plan(Planner), OrderKind::Leave));
  }

  /// Guards against waiting for a load time after a member refused to join.
  void refusedJoinEndsTheFormation() {
    addServers(1, 3, "small");
    m_TrafficSeen = true;
    ReplicaPlanner Planner = newPlanner();
    const std::vector<MemberOrder> Orders = plan(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, count(Orders, OrderKind::Join));
    carryOut(Orders[0]);
    carryOut(Orders[1]);
    Planner.onJoinFailed(Orders[2], m_Now);
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         count(plan(Planner), OrderKind::Leave));
  }

  /// Guards against an order of an earlier holder that fits a later group.
  void laterHolderHasHigherEpochsAndOtherNames() {
    addServers(1, 3, "small");
    ReplicaPlanner First = newPlanner(7);
    ReplicaPlanner Second = newPlanner(8);
    const MemberOrder Early = plan(First).front();
    const MemberOrder Late = plan(Second).front();
    CPPUNIT_ASSERT(Early.m_Group.m_Epoch < Late.m_Group.m_Epoch);
    CPPUNIT_ASSERT(Early.m_Group.m_Name != Late.m_Group.m_Name);
    CPPUNIT_ASSERT_EQUAL(std::string("small"),
                         modelOfGroup(Late.m_Group.m_Name));
  }

  /// Guards against more loads at once than the weight store carries.
  void loadsStayWithinTheWeightStore() {
    addServers(1, 9);
    m_TrafficSeen = true;
    ReplicaPlanner Planner = newPlanner();
    std::size_t Loads = 0;
    for (int I = 0; I < 10; ++I) {
      m_Now += milliseconds(100);
      Loads += count(plan(Planner), OrderKind::Stage);
    }
    CPPUNIT_ASSERT(Loads > 0 && Loads <= 6);
  }

  /// Pattern: groups that were loaded before the first request break one after
  /// the other. Guards against counting their loads for as long as a load may
  /// take, which kept empty servers unstaged for half a minute.
  void groupsThatEndedDoNotOccupyTheWeightStore() {
    addServers(1, 7);
    ReplicaPlanner Planner = newPlanner();
    settle(Planner);
    m_TrafficSeen = true;
    for (int I = 1; I <= 7; ++I)
      remove(id(I));
    addServers(8, 8);
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         count(plan(Planner), OrderKind::Stage));
  }

  /// Pattern: the weight store is the bottleneck after a series of losses.
  /// Guards against loads that are spread so that no group becomes whole.
  void groupThatLacksFewestLoadsIsCompletedFirst() {
    m_Service.m_Engine.m_ConcurrentLoads = 2;
    m_TrafficSeen = true;
    addServers(1, 3);
    for (int I = 11; I <= 13; ++I) {
      BackendServer Server = *m_Fleet.find(id(1));
      Server.m_Id = id(I);
      Server.m_Domain = "d2";
      if (I != 13)
        Server.m_StagedModels = {"small"};
      put(Server);
    }
    ReplicaPlanner Planner = newPlanner();
    const std::vector<MemberOrder> Orders = plan(Planner);
    CPPUNIT_ASSERT(!Orders.empty());
    CPPUNIT_ASSERT_EQUAL(id(13), Orders.front().m_Server);
  }

  /// Pattern: a part of the servers is cut off from the store for seconds, and
  /// nearly every large group has a member among them. Guards against closing
  /// groups that work, and against keeping one whose member is dead.
  void memberThatIsOnlyUnlistedKeepsItsGroupOpen() {
    addServers(1, 3);
    ReplicaPlanner Planner = newPlanner();
    settle(Planner);
    m_TrafficSeen = true;
    const std::string Member =
        m_Fleet.groups().begin()->second.m_Members.back();
    remove(Member);
    m_AnswersUnlisted = {Member};
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT(plan(Planner).empty());
    m_AnswersUnlisted.clear();
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         count(plan(Planner), OrderKind::Close));
  }

  /// Guards against opening a group with a member that nobody has seen ready,
  /// though it answers.
  void unlistedMemberKeepsItsGroupFromOpening() {
    addServers(1, 3, "small");
    m_TrafficSeen = true;
    ReplicaPlanner Planner = newPlanner();
    for (const MemberOrder &Order : plan(Planner))
      carryOut(Order);
    const std::string Member =
        m_Fleet.groups().begin()->second.m_Members.back();
    remove(Member);
    m_AnswersUnlisted = {Member};
    m_Now += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count(plan(Planner), OrderKind::Open));
  }

  /// Guards against a planned stop of a member that cuts streams.
  void drainingMemberLetsWorkFinish() {
    addServers(1, 3);
    ReplicaPlanner Planner = newPlanner();
    settle(Planner);
    BackendServer Leaving =
        *m_Fleet.find(m_Fleet.groups().begin()->second.m_Members.back());
    Leaving.m_Draining = true;
    put(Leaving);
    m_Now += milliseconds(100);
    const std::vector<MemberOrder> Orders = plan(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count(Orders, OrderKind::Close));
    CPPUNIT_ASSERT(Orders.front().m_CloseMode == CloseMode::FinishWork);
  }

  /// Adds \p Count servers to each of six domains in three zones.
  void addDomains(int Count, const std::vector<std::string> &Staged = {}) {
    int Next = 100;
    for (int Domain = 0; Domain < 6; ++Domain)
      for (int I = 0; I < Count; ++I) {
        BackendServer Server;
        Server.m_Id = id(Next++);
        Server.m_Service = "llm";
        Server.m_Zone = std::string(1, static_cast<char>('a' + Domain / 2));
        Server.m_Domain = "d" + std::to_string(Domain);
        if (!Staged.empty())
          Server.m_StagedModels = {Staged[Domain % Staged.size()]};
        put(Server);
      }
  }

  /// Pattern: 54 empty servers in domains of nine start together. Domains that
  /// hold both models form 12 groups and leave 12 servers over.
  void domainsOfOneModelStrandNoServer() {
    addDomains(9);
    ReplicaPlanner Planner = newPlanner();
    settle(Planner);
    settle(Planner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{15}, openGroups());
    std::map<std::string, std::set<std::string>> ModelsOfZone;
    for (const auto &[Id, Server] : m_Fleet.servers()) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Server.m_StagedModels.size());
      ModelsOfZone[Server.m_Zone].insert(Server.m_StagedModels.front());
    }
    // An evacuated zone must not take all groups of a model.
    for (const auto &[Zone, Models] : ModelsOfZone)
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Models.size());
  }

  /// Guards against spares that lose their weights while nothing is scarce,
  /// and are missing when a member dies.
  void healthySpareKeepsItsWeights() {
    addDomains(9, {"big", "small"});
    ReplicaPlanner Planner = newPlanner();
    settle(Planner);
    m_TrafficSeen = true;
    m_Now += seconds(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         count(plan(Planner), OrderKind::Stage));
  }

  /// Pattern: attrition leaves one model with a single group while the other
  /// has idle spares. Guards against refusing one model's requests for the
  /// rest of the day.
  void spareOfAnAmpleModelHelpsAScarceOne() {
    addDomains(5, {"small"});
    ReplicaPlanner Planner = newPlanner();
    settle(Planner);
    m_TrafficSeen = true;
    addServers(1, 2);
    for (int I = 1; I <= 2; ++I) {
      BackendServer Server = *m_Fleet.find(id(I));
      Server.m_Zone = "a";
      Server.m_Domain = "d0";
      put(Server);
    }
    m_Now += milliseconds(100);
    const std::vector<MemberOrder> Orders = plan(Planner);
    // Two empty servers and two spares of the domain make one big group.
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, count(Orders, OrderKind::Stage));
    for (const MemberOrder &Order : Orders)
      CPPUNIT_ASSERT_EQUAL(std::string("big"), Order.m_Model);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaPlannerTest);

} // namespace fulmarwinch
