#include "servers/routing/node_admission_gate.h"
#include "servers/routing/router.h"

#include "core/error.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <map>
#include <thread>

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests filters, outlier ejection, selection strategies and in-flight limits
/// of the router.
class RouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouterTest);
  CPPUNIT_TEST(refusalNamesTheRejectingFilter);
  CPPUNIT_TEST(groupIsEjectedOnlyForTheClassThatFails);
  CPPUNIT_TEST(ejectionEndsWithOneProbe);
  CPPUNIT_TEST(nodesShareEjections);
  CPPUNIT_TEST(faultyRequestsDoNotEjectMostGroups);
  CPPUNIT_TEST(unreachableDeadlineIsRefusedUntilTimesExpire);
  CPPUNIT_TEST(coldGroupNeedsASlot);
  CPPUNIT_TEST(prefixStaysOnItsGroupUpToTheLoadLimit);
  CPPUNIT_TEST(hotPrefixIsSpreadOverGroups);
  CPPUNIT_TEST(queueOnAWarmGroupIsBounded);
  CPPUNIT_TEST(stragglerGetsLowerWeight);
  CPPUNIT_TEST(idleGroupIsNotOverloadedByAllNodes);
  CPPUNIT_TEST(outdatedViewsAndReportsAreIgnored);
  CPPUNIT_TEST(concurrentThreadsStayWithinTheLimit);
  CPPUNIT_TEST(subsetsCoverAllGroups);
  CPPUNIT_TEST(unknownStrategyIsAnError);
  CPPUNIT_TEST_SUITE_END();

  static constexpr MonotonicTime Start{seconds(1000)};

  /// A node with its routing table, admission gate and router.
  struct Node {
    explicit Node(std::string_view Strategy = "affinity")
        : m_Slots("n"), m_Gate(m_Table, m_Slots),
          m_Router(m_Table, m_Outliers, m_Gate, *makeStrategy(Strategy, {})) {}
    RoutingTable m_Table;
    OutlierTracker m_Outliers;
    NodeSlots m_Slots;
    NodeAdmissionGate m_Gate;
    Router m_Router;
    std::mt19937_64 m_Random{1};

    absl::StatusOr<RouteDecision>
    route(const RouteRequest &Request, MonotonicTime Now = Start,
          const std::set<std::string> &ZonesOut = {}) {
      return m_Router.route(Request, ZonesOut, Now, m_Random);
    }
  };

  static GroupView view(const std::string &Group) {
    GroupView View;
    View.m_Group = Group;
    View.m_Deployment = "d";
    View.m_Generation = 2;
    View.m_Zone = "z1";
    View.m_Capability = {1000, {"tax"}, "v1"};
    View.m_ViewExpiry = Start + seconds(1000);
    View.m_Warm = true;
    return View;
  }

  static void addGroups(Node &Target, int Count) {
    for (int I = 0; I < Count; ++I) {
      Target.m_Table.updateView(view(fmt::format("g{}", I)));
      Target.m_Table.onLoadReport(fmt::format("g{}", I), {0, 0, 100, Start});
    }
  }

  static RouteRequest request() {
    RouteRequest Request;
    Request.m_Deployment = "d";
    Request.m_PromptTokens = 100;
    Request.m_OutputTokens = 100;
    return Request;
  }

  static void expectRefusal(const absl::StatusOr<RouteDecision> &Result,
                            ErrorKind Kind, const std::string &Reason) {
    CPPUNIT_ASSERT(!Result.ok());
    const std::string Text(Result.status().message());
    CPPUNIT_ASSERT_MESSAGE(Text, errorKind(Result.status()) == Kind);
    CPPUNIT_ASSERT_MESSAGE(Text, Text.find(Reason) != std::string::npos);
  }

  /// Guards against dispatching to a group that cannot serve the request or
  /// must not get it. Each filter's reason must be in the message of the
  /// refusal.
  void refusalNamesTheRejectingFilter() {
    Node Target;
    expectRefusal(Target.route(request()), ErrorKind::NoCapacity, "no group");
    addGroups(Target, 1);
    RouteRequest Request = request();
    CPPUNIT_ASSERT(Target.route(Request).ok());
    Request.m_OutputTokens = 950;
    expectRefusal(Target.route(Request), ErrorKind::NoCapacity,
                  "1 context_too_short");
    Request = request();
    Request.m_Adapter = "law";
    expectRefusal(Target.route(Request), ErrorKind::NoCapacity,
                  "1 adapter_missing");
    Request = request();
    Request.m_Version = "v2";
    expectRefusal(Target.route(Request), ErrorKind::NoCapacity,
                  "1 version_differs");
    Request = request();
    Request.m_ExcludedGroups = {"g0"};
    expectRefusal(Target.route(Request), ErrorKind::NoCapacity,
                  "1 already_tried");
    expectRefusal(Target.route(request(), Start + seconds(1000)),
                  ErrorKind::NoCapacity, "1 view_expired");
    expectRefusal(Target.route(request(), Start, {"z1"}), ErrorKind::NoCapacity,
                  "1 zone_out_of_service");
    Target.m_Table.onLoadReport("g0", {100, 0, 100, Start + seconds(1)});
    expectRefusal(Target.route(request()), ErrorKind::Overloaded,
                  "1 at_capacity");
    GroupView DrainingView = view("g0");
    DrainingView.m_Draining = true;
    Target.m_Table.updateView(DrainingView);
    expectRefusal(Target.route(request()), ErrorKind::NoCapacity, "1 leaving");
  }

  /// Guards against a group that fails one class at once, so that it looks idle
  /// and attracts more requests of the class. The group must stay in use for
  /// the other classes.
  void groupIsEjectedOnlyForTheClassThatFails() {
    Node Target("least-request");
    addGroups(Target, 2);
    RouteRequest FailingRequest = request();
    FailingRequest.m_Class = 7;
    std::map<std::string, int> Sent;
    for (int I = 0; I < 100; ++I) {
      const auto Decision = Target.route(FailingRequest);
      const std::string Group = Decision->m_View->m_Group;
      ++Sent[Group];
      Target.m_Gate.endAttempt(Group, false, std::nullopt);
      if (Group == "g0")
        Target.m_Outliers.onFailure(Group, 7, Start);
      else
        Target.m_Outliers.onSuccess(Group, 7, Start);
    }
    CPPUNIT_ASSERT(Sent["g0"] <= 2);
    for (int I = 0; I < 100; ++I) {
      const std::string Group = Target.route(request())->m_View->m_Group;
      Target.m_Gate.endAttempt(Group, false, std::nullopt);
      ++Sent["other " + Group];
    }
    CPPUNIT_ASSERT(Sent["other g0"] > 30);
  }

  /// Guards against a burst of failures each time an ejection ends: only one
  /// request may probe the group.
  void ejectionEndsWithOneProbe() {
    OutlierTracker Outliers;
    Outliers.onSuccess("g", 7, Start);
    Outliers.onFailure("g", 7, Start);
    CPPUNIT_ASSERT(!Outliers.state("g", 7, Start).m_Ejected);
    Outliers.onFailure("g", 7, Start);
    CPPUNIT_ASSERT(Outliers.state("g", 7, Start + seconds(9)).m_Ejected);
    const MonotonicTime ProbeTime = Start + seconds(11);
    CPPUNIT_ASSERT(!Outliers.state("g", 7, ProbeTime).m_Ejected);
    Outliers.onDispatch("g", 7, ProbeTime);
    CPPUNIT_ASSERT(Outliers.state("g", 7, ProbeTime).m_Ejected);
    Outliers.onFailure("g", 7, ProbeTime);
    CPPUNIT_ASSERT(Outliers.state("g", 7, ProbeTime + seconds(19)).m_Ejected);
    Outliers.onSuccess("g", 7, ProbeTime);
    CPPUNIT_ASSERT(!Outliers.state("g", 7, ProbeTime).m_Ejected);
    Outliers.onFailure("g", 7, ProbeTime);
    Outliers.onFailure("g", 7, ProbeTime);
    Outliers.removeGroup("g");
    CPPUNIT_ASSERT(!Outliers.state("g", 7, ProbeTime).m_Ejected);
  }

  /// Guards against nodes that detect a failing group only by their own failed
  /// requests. In the scenario capability-mismatch, 1.4% of the requests were
  /// misdirected in this way. A node with a recent success ignores the
  /// ejections of peers, because a peer may be faulty itself.
  void nodesShareEjections() {
    OutlierTracker FirstNode;
    OutlierTracker SecondNode;
    OutlierTracker NodeWithSuccess;
    FirstNode.onFailure("g", 7, Start);
    SecondNode.mergeEjections(FirstNode.activeEjections(Start), Start);
    CPPUNIT_ASSERT(SecondNode.state("g", 7, Start + seconds(9)).m_Ejected);
    // The ejection ends first at the node that saw the failure, so this node
    // probes the group.
    CPPUNIT_ASSERT(!FirstNode.state("g", 7, Start + seconds(11)).m_Ejected);
    CPPUNIT_ASSERT(SecondNode.state("g", 7, Start + seconds(11)).m_Ejected);
    FirstNode.mergeEjections(SecondNode.activeEjections(Start),
                             Start + seconds(5));
    CPPUNIT_ASSERT(!FirstNode.state("g", 7, Start + seconds(11)).m_Ejected);
    NodeWithSuccess.onSuccess("g", 7, Start);
    NodeWithSuccess.mergeEjections(FirstNode.activeEjections(Start), Start);
    CPPUNIT_ASSERT(!NodeWithSuccess.state("g", 7, Start).m_Ejected);
  }

  /// Guards against one client whose faulty requests fail on all groups and so
  /// eject them all for the class, which would block the class for all clients.
  void faultyRequestsDoNotEjectMostGroups() {
    Node Target;
    addGroups(Target, 4);
    for (int I = 0; I < 3; ++I)
      Target.m_Outliers.onFailure(fmt::format("g{}", I), 0, Start);
    std::set<std::string> UsedGroups;
    for (int I = 0; I < 50; ++I)
      UsedGroups.insert(Target.route(request())->m_View->m_Group);
    CPPUNIT_ASSERT(UsedGroups.size() > 1);
  }

  /// Guards against running requests that cannot meet their deadline, and
  /// against rejecting a group for ever because it was slow once.
  void unreachableDeadlineIsRefusedUntilTimesExpire() {
    Node Target;
    addGroups(Target, 1);
    Target.m_Table.onAttemptEnded("g0", ObservedTimes{1.0, 0.02, Start});
    RouteRequest Request = request();
    Request.m_Deadline = Start + milliseconds(2900);
    expectRefusal(Target.route(Request), ErrorKind::DeadlineTooShort,
                  "1 too_slow_for_deadline");
    Request.m_Deadline = Start + milliseconds(3100);
    CPPUNIT_ASSERT(Target.route(Request).ok());
    Request.m_Deadline = Start + milliseconds(12900);
    CPPUNIT_ASSERT(Target.route(Request, Start + seconds(11)).ok());
  }

  /// Guards against dispatching to a cold group without a slot.
  void coldGroupNeedsASlot() {
    Node Target;
    GroupView ColdView = view("g0");
    ColdView.m_Warm = false;
    Target.m_Table.updateView(ColdView);
    expectRefusal(Target.route(request()), ErrorKind::Overloaded, "1 no_slot");
    const SlotRequest GrantRequest = Target.m_Slots.makeRequest("g0", 1, Start);
    Target.m_Slots.onGrant(
        {"n", "g0", GrantRequest.m_RequestId, 1, "i1", 1, seconds(1)}, Start);
    const auto Decision = Target.route(request());
    CPPUNIT_ASSERT(Decision.ok() && Decision->m_UsesSlot);
    expectRefusal(Target.route(request()), ErrorKind::Overloaded, "1 no_slot");
    Target.m_Gate.endAttempt("g0", true, std::nullopt);
    CPPUNIT_ASSERT(Target.route(request()).ok());
  }

  /// Sends requests with many other prefixes, so that each single prefix has a
  /// small share of the requests.
  static void sendOtherPrefixes(Node &Target) {
    for (std::uint64_t Prefix = 1000; Prefix < 2000; ++Prefix) {
      RouteRequest Request = request();
      Request.m_PrefixHash = Prefix;
      const auto Decision = Target.route(Request);
      Target.m_Gate.endAttempt(Decision->m_View->m_Group, false, std::nullopt);
    }
  }

  /// Reports \p HomeLoad running requests for \p HomeGroup and \p OtherLoad for
  /// each other group. Each group has a capacity of 100.
  static void setLoads(Node &Target, const std::string &HomeGroup,
                       std::size_t HomeLoad, std::size_t OtherLoad,
                       int ReportSecond) {
    for (int I = 0; I < 8; ++I) {
      const std::string Group = fmt::format("g{}", I);
      Target.m_Table.onLoadReport(Group,
                                  {Group == HomeGroup ? HomeLoad : OtherLoad, 0,
                                   100, Start + seconds(ReportSecond)});
    }
  }

  /// Sends 100 requests with the prefix 42. Returns their number by group.
  static std::map<std::string, int> sendRequestsWithPrefix42(Node &Target) {
    RouteRequest Request = request();
    Request.m_PrefixHash = 42;
    std::map<std::string, int> Sent;
    for (int I = 0; I < 100; ++I) {
      const std::string Group = Target.route(Request)->m_View->m_Group;
      ++Sent[Group];
      Target.m_Gate.endAttempt(Group, false, std::nullopt);
    }
    return Sent;
  }

  /// Guards against missing the prefix cache because a prefix leaves its home
  /// group at a load that this group can serve, and against overloading it.
  void prefixStaysOnItsGroupUpToTheLoadLimit() {
    Node Target;
    addGroups(Target, 8);
    sendOtherPrefixes(Target);
    RouteRequest Request = request();
    Request.m_PrefixHash = 42;
    const std::string HomeGroup = Target.route(Request)->m_View->m_Group;
    Target.m_Gate.endAttempt(HomeGroup, false, std::nullopt);
    const auto IsRoutedHome = [&] {
      const std::string Group = Target.route(Request)->m_View->m_Group;
      Target.m_Gate.endAttempt(Group, false, std::nullopt);
      return Group == HomeGroup;
    };
    int ReportSecond = 0;
    // The limit is the greater of half the capacity and 1.5 times the mean
    // load.
    for (const auto &[HomeLoad, OtherLoad] :
         {std::pair{50, 10}, std::pair{70, 60}, std::pair{85, 60}}) {
      setLoads(Target, HomeGroup, static_cast<std::size_t>(HomeLoad),
               static_cast<std::size_t>(OtherLoad), ++ReportSecond);
      CPPUNIT_ASSERT(IsRoutedHome());
    }
    setLoads(Target, HomeGroup, 99, 30, ++ReportSecond);
    const std::map<std::string, int> Sent = sendRequestsWithPrefix42(Target);
    const auto HomeEntry = Sent.find(HomeGroup);
    CPPUNIT_ASSERT(HomeEntry == Sent.end() || HomeEntry->second < 30);
  }

  /// Guards against a hot prefix that overloads one group after another.
  void hotPrefixIsSpreadOverGroups() {
    Node Target;
    addGroups(Target, 8);
    setLoads(Target, "", 60, 60, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{8},
                         sendRequestsWithPrefix42(Target).size());
    sendOtherPrefixes(Target);
    // The prefix now has a tenth of the requests. This is a load of 0.4, which
    // two groups serve at the limit of 0.2 per prefix.
    CPPUNIT_ASSERT(sendRequestsWithPrefix42(Target).size() <= 4);
  }

  /// Guards against a queue on a warm group that exceeds the queue share of its
  /// capacity.
  void queueOnAWarmGroupIsBounded() {
    RoutingTable Table;
    NodeSlots Slots("n");
    NodeAdmissionGate Gate(Table, Slots, 0.5);
    Table.updateView(view("g0"));
    Table.onLoadReport("g0", {4, 0, 10, Start});
    const Candidate Group = Table.candidates("d")[0];
    for (int I = 0; I < 11; ++I)
      CPPUNIT_ASSERT(Gate.tryAdmit(Group, Start));
    CPPUNIT_ASSERT(!Gate.tryAdmit(Group, Start));
    CPPUNIT_ASSERT(!Gate.canAdmit(Table.candidates("d")[0], Start));
  }

  /// Guards against a straggler that gets as many requests as fast groups.
  void stragglerGetsLowerWeight() {
    Node Target("least-request");
    addGroups(Target, 4);
    for (int I = 0; I < 4; ++I)
      Target.m_Table.onAttemptEnded(
          fmt::format("g{}", I),
          ObservedTimes{0.1, I == 0 ? 0.2 : 0.02, Start});
    std::vector<Candidate> Groups = Target.m_Table.candidates("d");
    lowerStragglerWeights(Groups);
    for (const Candidate &Group : Groups)
      CPPUNIT_ASSERT_DOUBLES_EQUAL(Group.m_View->m_Group == "g0" ? 0.1 : 1.0,
                                   Group.m_CapacityWeight, 1e-9);
  }

  /// Guards against all nodes dispatching to the same idle group until its next
  /// load report.
  void idleGroupIsNotOverloadedByAllNodes() {
    Candidate Group;
    Group.m_View = std::make_shared<const GroupView>(view("g"));
    Group.m_LoadReport = {60, 0, 100, Start};
    Group.m_LocalInFlightAtReport = 9;
    Group.m_LocalDispatchesSinceReport = 4;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.64, extrapolatedLoad(Group, 1), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.84, extrapolatedLoad(Group, 6), 1e-9);
    // Dispatches of other nodes also count for a group that reported no load.
    Group.m_LoadReport.m_RunningRequests = 0;
    Group.m_LocalInFlightAtReport = 0;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.24, extrapolatedLoad(Group, 6), 1e-9);
  }

  /// Guards against a delayed view or load report that replaces newer state.
  void outdatedViewsAndReportsAreIgnored() {
    Node Target;
    addGroups(Target, 1);
    GroupView OutdatedView = view("g0");
    OutdatedView.m_Generation = 1;
    OutdatedView.m_Deployment = "other";
    Target.m_Table.updateView(OutdatedView);
    Target.m_Table.onLoadReport("g0", {99, 0, 100, Start - seconds(1)});
    const auto Groups = Target.m_Table.candidates("d");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Groups.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         Groups[0].m_LoadReport.m_RunningRequests);
    GroupView MovedView = view("g0");
    MovedView.m_Deployment = "other";
    Target.m_Table.updateView(MovedView);
    CPPUNIT_ASSERT(Target.m_Table.candidates("d").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Target.m_Table.candidates("other").size());
    Target.m_Table.removeGroup("g0");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Target.m_Table.size());
  }

  /// Guards against concurrent threads that together exceed a group's limit.
  void concurrentThreadsStayWithinTheLimit() {
    Node Target;
    addGroups(Target, 1);
    std::atomic<int> Admitted{0};
    std::vector<std::thread> Threads;
    for (int ThreadIndex = 0; ThreadIndex < 4; ++ThreadIndex)
      Threads.emplace_back([&, ThreadIndex] {
        std::mt19937_64 Random(ThreadIndex);
        for (int I = 0; I < 200; ++I)
          Admitted += Target.m_Router.route(request(), {}, Start, Random).ok();
      });
    for (std::thread &Thread : Threads)
      Thread.join();
    CPPUNIT_ASSERT_EQUAL(100, Admitted.load());
  }

  /// Guards against groups that are in the subset of no node.
  void subsetsCoverAllGroups() {
    std::vector<std::string> Groups;
    for (int I = 0; I < 300; ++I)
      Groups.push_back(fmt::format("g{}", I));
    std::map<std::string, int> UseCount;
    for (int I = 0; I < 400; ++I) {
      const auto Subset = chooseGroupSubset(fmt::format("n{}", I), Groups, 16);
      CPPUNIT_ASSERT_EQUAL(std::size_t{16}, Subset.size());
      for (const std::string &Group : Subset)
        ++UseCount[Group];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{300}, UseCount.size());
  }

  /// Guards against accepting a misspelt strategy name.
  void unknownStrategyIsAnError() {
    const auto Result = makeStrategy("random", {});
    CPPUNIT_ASSERT(errorKind(Result.status()) == ErrorKind::InvalidArgument);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, strategyNames().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

} // namespace fulmarwinch
