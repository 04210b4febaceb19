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

/// Filters, strategies and counting of the router.
class RouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouterTest);
  CPPUNIT_TEST(filtersGiveTheirReason);
  CPPUNIT_TEST(failingClassIsRemovedForThatClassOnly);
  CPPUNIT_TEST(removalEndsWithOneTrial);
  CPPUNIT_TEST(peersShareRemovals);
  CPPUNIT_TEST(faultyRequestsDoNotRemoveMostGroups);
  CPPUNIT_TEST(lateRequestIsRefusedAndOldTimesAreForgotten);
  CPPUNIT_TEST(coldGroupNeedsASlot);
  CPPUNIT_TEST(prefixStaysUntilTheLoadBound);
  CPPUNIT_TEST(hotPrefixIsSpread);
  CPPUNIT_TEST(queueAtAWarmGroupIsBounded);
  CPPUNIT_TEST(stragglerLosesWeight);
  CPPUNIT_TEST(nodesDoNotRushToOneIdleGroup);
  CPPUNIT_TEST(oldViewsAndReportsAreIgnored);
  CPPUNIT_TEST(threadsKeepTheLimit);
  CPPUNIT_TEST(subsetsCoverAllGroups);
  CPPUNIT_TEST(unknownStrategyIsNamed);
  CPPUNIT_TEST_SUITE_END();

  static constexpr MonotonicTime Start{seconds(1000)};

  /// One node with its table and router.
  struct Node {
    explicit Node(std::string_view Strategy = "affinity")
        : m_Slots("n"), m_Gate(m_Table, m_Slots),
          m_Router(m_Table, m_Outliers, m_Gate, *makeStrategy(Strategy, {})) {}
    RoutingTable m_Table;
    OutlierTracker m_Outliers;
    SlotHolder m_Slots;
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
      Target.m_Table.update(view(fmt::format("g{}", I)));
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

  /// Guards against sending work to a group that cannot or must not take it.
  void filtersGiveTheirReason() {
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
    Request.m_Excluded = {"g0"};
    expectRefusal(Target.route(Request), ErrorKind::NoCapacity,
                  "1 already_tried");
    expectRefusal(Target.route(request(), Start + seconds(1000)),
                  ErrorKind::NoCapacity, "1 view_expired");
    expectRefusal(Target.route(request(), Start, {"z1"}), ErrorKind::NoCapacity,
                  "1 zone_out_of_service");
    Target.m_Table.onLoadReport("g0", {100, 0, 100, Start + seconds(1)});
    expectRefusal(Target.route(request()), ErrorKind::Overloaded,
                  "1 at_capacity");
    GroupView Leaving = view("g0");
    Leaving.m_Leaving = true;
    Target.m_Table.update(Leaving);
    expectRefusal(Target.route(request()), ErrorKind::NoCapacity, "1 leaving");
  }

  /// Guards against a group that fails one class quickly and therefore looks
  /// idle, and against losing it for the classes that it serves.
  void failingClassIsRemovedForThatClassOnly() {
    Node Target("least-request");
    addGroups(Target, 2);
    RouteRequest Bad = request();
    Bad.m_Class = 7;
    std::map<std::string, int> Sent;
    for (int I = 0; I < 100; ++I) {
      const auto Decision = Target.route(Bad);
      const std::string Group = Decision->m_View->m_Group;
      ++Sent[Group];
      Target.m_Gate.end(Group, false, std::nullopt);
      if (Group == "g0")
        Target.m_Outliers.onFailure(Group, 7, Start);
      else
        Target.m_Outliers.onSuccess(Group, 7, Start);
    }
    CPPUNIT_ASSERT(Sent["g0"] <= 2);
    for (int I = 0; I < 100; ++I) {
      const std::string Group = Target.route(request())->m_View->m_Group;
      Target.m_Gate.end(Group, false, std::nullopt);
      ++Sent["other " + Group];
    }
    CPPUNIT_ASSERT(Sent["other g0"] > 30);
  }

  /// Guards against a burst of failures each time a removal ends.
  void removalEndsWithOneTrial() {
    OutlierTracker Outliers;
    Outliers.onSuccess("g", 7, Start);
    Outliers.onFailure("g", 7, Start);
    CPPUNIT_ASSERT(!Outliers.state("g", 7, Start).m_Removed);
    Outliers.onFailure("g", 7, Start);
    CPPUNIT_ASSERT(Outliers.state("g", 7, Start + seconds(9)).m_Removed);
    const MonotonicTime Trial = Start + seconds(11);
    CPPUNIT_ASSERT(!Outliers.state("g", 7, Trial).m_Removed);
    Outliers.onDispatch("g", 7, Trial);
    CPPUNIT_ASSERT(Outliers.state("g", 7, Trial).m_Removed);
    Outliers.onFailure("g", 7, Trial);
    CPPUNIT_ASSERT(Outliers.state("g", 7, Trial + seconds(19)).m_Removed);
    Outliers.onSuccess("g", 7, Trial);
    CPPUNIT_ASSERT(!Outliers.state("g", 7, Trial).m_Removed);
    Outliers.onFailure("g", 7, Trial);
    Outliers.onFailure("g", 7, Trial);
    Outliers.forget("g");
    CPPUNIT_ASSERT(!Outliers.state("g", 7, Trial).m_Removed);
  }

  /// Guards against every node having to meet every failing group (found by
  /// the scenario capability-mismatch: 1.4% misdirected), and against a peer
  /// with a fault of its own.
  void peersShareRemovals() {
    OutlierTracker A;
    OutlierTracker B;
    OutlierTracker Proven;
    A.onFailure("g", 7, Start);
    B.merge(A.records(Start), Start);
    CPPUNIT_ASSERT(B.state("g", 7, Start + seconds(9)).m_Removed);
    // A tries the group before B does.
    CPPUNIT_ASSERT(!A.state("g", 7, Start + seconds(11)).m_Removed);
    CPPUNIT_ASSERT(B.state("g", 7, Start + seconds(11)).m_Removed);
    A.merge(B.records(Start), Start + seconds(5));
    CPPUNIT_ASSERT(!A.state("g", 7, Start + seconds(11)).m_Removed);
    Proven.onSuccess("g", 7, Start);
    Proven.merge(A.records(Start), Start);
    CPPUNIT_ASSERT(!Proven.state("g", 7, Start).m_Removed);
  }

  /// Guards against one client's faulty requests taking a class from all.
  void faultyRequestsDoNotRemoveMostGroups() {
    Node Target;
    addGroups(Target, 4);
    for (int I = 0; I < 3; ++I)
      Target.m_Outliers.onFailure(fmt::format("g{}", I), 0, Start);
    std::set<std::string> Used;
    for (int I = 0; I < 50; ++I)
      Used.insert(Target.route(request())->m_View->m_Group);
    CPPUNIT_ASSERT(Used.size() > 1);
  }

  /// Guards against work whose answer comes too late, and against a group
  /// that is refused for ever after it was slow once.
  void lateRequestIsRefusedAndOldTimesAreForgotten() {
    Node Target;
    addGroups(Target, 1);
    Target.m_Table.onEnded("g0", ObservedTimes{1.0, 0.02, Start});
    RouteRequest Request = request();
    Request.m_Deadline = Start + milliseconds(2900);
    expectRefusal(Target.route(Request), ErrorKind::DeadlineTooShort,
                  "1 too_slow_for_deadline");
    Request.m_Deadline = Start + milliseconds(3100);
    CPPUNIT_ASSERT(Target.route(Request).ok());
    Request.m_Deadline = Start + milliseconds(12900);
    CPPUNIT_ASSERT(Target.route(Request, Start + seconds(11)).ok());
  }

  /// Guards against work on a cold group without a slot.
  void coldGroupNeedsASlot() {
    Node Target;
    GroupView Cold = view("g0");
    Cold.m_Warm = false;
    Target.m_Table.update(Cold);
    expectRefusal(Target.route(request()), ErrorKind::Overloaded, "1 no_slot");
    const SlotRequest Ask = Target.m_Slots.makeRequest("g0", 1, Start);
    Target.m_Slots.onGrant({"n", "g0", Ask.m_RequestId, 1, "i1", 1, seconds(1)},
                           Start);
    const auto Decision = Target.route(request());
    CPPUNIT_ASSERT(Decision.ok() && Decision->m_UsesSlot);
    expectRefusal(Target.route(request()), ErrorKind::Overloaded, "1 no_slot");
    Target.m_Gate.end("g0", true, std::nullopt);
    CPPUNIT_ASSERT(Target.route(request()).ok());
  }

  /// Sends many other prefixes, so that one prefix is a small share.
  static void sendOtherPrefixes(Node &Target) {
    for (std::uint64_t Prefix = 1000; Prefix < 2000; ++Prefix) {
      RouteRequest Request = request();
      Request.m_PrefixHash = Prefix;
      const auto Decision = Target.route(Request);
      Target.m_Gate.end(Decision->m_View->m_Group, false, std::nullopt);
    }
  }

  static void setLoads(Node &Target, const std::string &Home,
                       std::size_t HomeLoad, std::size_t Others, int Second) {
    for (int I = 0; I < 8; ++I) {
      const std::string Group = fmt::format("g{}", I);
      Target.m_Table.onLoadReport(Group, {Group == Home ? HomeLoad : Others, 0,
                                          100, Start + seconds(Second)});
    }
  }

  /// Groups that get 100 requests with the prefix 42.
  static std::map<std::string, int> sendPrefix(Node &Target) {
    RouteRequest Request = request();
    Request.m_PrefixHash = 42;
    std::map<std::string, int> Sent;
    for (int I = 0; I < 100; ++I) {
      const std::string Group = Target.route(Request)->m_View->m_Group;
      ++Sent[Group];
      Target.m_Gate.end(Group, false, std::nullopt);
    }
    return Sent;
  }

  /// Guards against losing the prefix cache on changes of load that the home
  /// of a prefix bears, and against overloading it.
  void prefixStaysUntilTheLoadBound() {
    Node Target;
    addGroups(Target, 8);
    sendOtherPrefixes(Target);
    RouteRequest Request = request();
    Request.m_PrefixHash = 42;
    const std::string Home = Target.route(Request)->m_View->m_Group;
    Target.m_Gate.end(Home, false, std::nullopt);
    const auto GoesHome = [&] {
      const std::string Group = Target.route(Request)->m_View->m_Group;
      Target.m_Gate.end(Group, false, std::nullopt);
      return Group == Home;
    };
    int Second = 0;
    // Up to half the capacity and up to 1.5 times the mean.
    for (const auto &[HomeLoad, Others] :
         {std::pair{50, 10}, std::pair{70, 60}, std::pair{85, 60}}) {
      setLoads(Target, Home, static_cast<std::size_t>(HomeLoad),
               static_cast<std::size_t>(Others), ++Second);
      CPPUNIT_ASSERT(GoesHome());
    }
    setLoads(Target, Home, 99, 30, ++Second);
    const std::map<std::string, int> Sent = sendPrefix(Target);
    const auto AtHome = Sent.find(Home);
    CPPUNIT_ASSERT(AtHome == Sent.end() || AtHome->second < 30);
  }

  /// Guards against a hot prefix that fills one group after another.
  void hotPrefixIsSpread() {
    Node Target;
    addGroups(Target, 8);
    setLoads(Target, "", 60, 60, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, sendPrefix(Target).size());
    sendOtherPrefixes(Target);
    // A tenth of the requests is now a load of 0.4, two holders of 0.2.
    CPPUNIT_ASSERT(sendPrefix(Target).size() <= 4);
  }

  /// Guards against a queue at a warm group that exceeds its share.
  void queueAtAWarmGroupIsBounded() {
    RoutingTable Table;
    SlotHolder Slots("n");
    NodeAdmissionGate Gate(Table, Slots, 0.5);
    Table.update(view("g0"));
    Table.onLoadReport("g0", {4, 0, 10, Start});
    const Candidate Group = Table.candidates("d")[0];
    for (int I = 0; I < 11; ++I)
      CPPUNIT_ASSERT(Gate.tryAdmit(Group, Start));
    CPPUNIT_ASSERT(!Gate.tryAdmit(Group, Start));
    CPPUNIT_ASSERT(!Gate.mayAdmit(Table.candidates("d")[0], Start));
  }

  void stragglerLosesWeight() {
    Node Target("least-request");
    addGroups(Target, 4);
    for (int I = 0; I < 4; ++I)
      Target.m_Table.onEnded(fmt::format("g{}", I),
                             ObservedTimes{0.1, I == 0 ? 0.2 : 0.02, Start});
    std::vector<Candidate> Groups = Target.m_Table.candidates("d");
    weighStragglers(Groups);
    for (const Candidate &Group : Groups)
      CPPUNIT_ASSERT_DOUBLES_EQUAL(Group.m_View->m_Group == "g0" ? 0.1 : 1.0,
                                   Group.m_Weight, 1e-9);
  }

  /// Guards against all nodes sending to the group that looks idle until the
  /// next report.
  void nodesDoNotRushToOneIdleGroup() {
    Candidate Group;
    Group.m_View = std::make_shared<const GroupView>(view("g"));
    Group.m_Report = {60, 0, 100, Start};
    Group.m_OwnAtReport = 9;
    Group.m_OwnSinceReport = 4;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.64, correctedLoad(Group, 1), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.84, correctedLoad(Group, 6), 1e-9);
    // Also for a group that was idle at its report.
    Group.m_Report.m_Running = 0;
    Group.m_OwnAtReport = 0;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.24, correctedLoad(Group, 6), 1e-9);
  }

  /// Guards against a delayed view or report that brings old state back.
  void oldViewsAndReportsAreIgnored() {
    Node Target;
    addGroups(Target, 1);
    GroupView Old = view("g0");
    Old.m_Generation = 1;
    Old.m_Deployment = "other";
    Target.m_Table.update(Old);
    Target.m_Table.onLoadReport("g0", {99, 0, 100, Start - seconds(1)});
    const auto Groups = Target.m_Table.candidates("d");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Groups.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Groups[0].m_Report.m_Running);
    GroupView Moved = view("g0");
    Moved.m_Deployment = "other";
    Target.m_Table.update(Moved);
    CPPUNIT_ASSERT(Target.m_Table.candidates("d").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Target.m_Table.candidates("other").size());
    Target.m_Table.remove("g0");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Target.m_Table.size());
  }

  /// Guards against threads that together exceed a group's limit.
  void threadsKeepTheLimit() {
    Node Target;
    addGroups(Target, 1);
    std::atomic<int> Admitted{0};
    std::vector<std::thread> Threads;
    for (int T = 0; T < 4; ++T)
      Threads.emplace_back([&, T] {
        std::mt19937_64 Random(T);
        for (int I = 0; I < 200; ++I)
          Admitted += Target.m_Router.route(request(), {}, Start, Random).ok();
      });
    for (std::thread &Thread : Threads)
      Thread.join();
    CPPUNIT_ASSERT_EQUAL(100, Admitted.load());
  }

  /// Guards against groups that no node uses.
  void subsetsCoverAllGroups() {
    std::vector<std::string> Groups;
    for (int I = 0; I < 300; ++I)
      Groups.push_back(fmt::format("g{}", I));
    std::map<std::string, int> Uses;
    for (int I = 0; I < 400; ++I) {
      const auto Subset = chooseSubset(fmt::format("n{}", I), Groups, 16);
      CPPUNIT_ASSERT_EQUAL(std::size_t{16}, Subset.size());
      for (const std::string &Group : Subset)
        ++Uses[Group];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{300}, Uses.size());
  }

  void unknownStrategyIsNamed() {
    const auto Result = makeStrategy("random", {});
    CPPUNIT_ASSERT(errorKind(Result.status()) == ErrorKind::InvalidArgument);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, strategyNames().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

} // namespace fulmarwinch
