#include "servers/dispatch/priority_admission.h"
#include "servers/dispatch/waiting_order.h"

#include "cppunit/extensions/HelperMacros.h"

#include <limits>

namespace fulmarwinch {

/// Division of the capacity by priority and organisation, from the load reports
/// of the nodes to the order of waiting requests.
class PriorityAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PriorityAdmissionTest);
  CPPUNIT_TEST(urgentRequestsGoFirst);
  CPPUNIT_TEST(eachPriorityKeepsHalfOfTheMean);
  CPPUNIT_TEST(equalPrioritiesShareEvenly);
  CPPUNIT_TEST(largeOrganisationTakesNothingFromOthers);
  CPPUNIT_TEST(unnamedOrganisationsKeepTheirShare);
  CPPUNIT_TEST(workOfAllNodesIsCounted);
  CPPUNIT_TEST(reportsAreBoundedAndChecked);
  CPPUNIT_TEST(slotUsageOfPlainServersIsMeasured);
  CPPUNIT_TEST(waitingRequestsHaveOneOrder);
  CPPUNIT_TEST(fullServersAreTriedOncePerTick);
  CPPUNIT_TEST_SUITE_END();

  static constexpr MonotonicTime Start{std::chrono::seconds(1000)};

  /// Returns the admitted work of first attempts.
  static double admitted(const AdmissionShares &Shares, const WorkRates &Work,
                         unsigned Priority) {
    return Shares.m_ByPriority.at(Priority).m_Others.m_FirstAttempts *
           Work.m_OfferedByPriority.at(Priority).m_FirstAttempts;
  }

  /// Guards against an overload that rejects the most urgent requests as often
  /// as the others.
  void urgentRequestsGoFirst() {
    WorkRates Work;
    Work.m_OfferedByPriority = {
        {0, {4.0, 0.0}}, {1, {4.0, 0.0}}, {2, {8.0, 0.0}}};
    const AdmissionShares Shares = divideByPriority({0.625, 0.1}, Work);
    CPPUNIT_ASSERT_EQUAL(1.0, Shares.find(0, "any").m_FirstAttempts);
    CPPUNIT_ASSERT(Shares.find(1, "").m_FirstAttempts > 0.8);
    CPPUNIT_ASSERT(Shares.find(2, "").m_FirstAttempts < 0.35);
    double Sum = 0.0;
    for (const unsigned Priority : {0U, 1U, 2U})
      Sum += admitted(Shares, Work, Priority);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, Sum, 0.001);
  }

  /// Guards against a class of requests of which none is served while an urgent
  /// one exceeds the whole capacity.
  void eachPriorityKeepsHalfOfTheMean() {
    WorkRates Work;
    Work.m_OfferedByPriority = {{0, {30.0, 0.0}}, {2, {10.0, 20.0}}};
    const AdmissionShares Shares = divideByPriority({0.25, 0.1}, Work);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.125, Shares.find(2, "").m_FirstAttempts,
                                 0.001);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2917, Shares.find(0, "").m_FirstAttempts,
                                 0.001);
    CPPUNIT_ASSERT_EQUAL(0.1, Shares.find(2, "").m_Returning);
    // A priority that no node has reported gets the mean.
    CPPUNIT_ASSERT_EQUAL(0.25, Shares.find(5, "").m_FirstAttempts);
  }

  /// Guards against a change for deployments without priorities.
  void equalPrioritiesShareEvenly() {
    WorkRates Work;
    Work.m_OfferedByPriority = {{1, {30.0, 6.0}}};
    const AdmissionShares Shares = divideByPriority({0.4, 0.3}, Work);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, Shares.find(1, "a").m_FirstAttempts,
                                 0.001);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, Shares.find(1, "b").m_Returning, 0.001);
    CPPUNIT_ASSERT_EQUAL(
        1.0, divideByPriority({1.0, 0.3}, Work).find(1, "a").m_FirstAttempts);
  }

  /// Guards against an organisation that sends ten times its usual load and
  /// causes rejections of the others.
  void largeOrganisationTakesNothingFromOthers() {
    WorkRates Work;
    Work.m_OfferedByPriority = {{1, {26.0, 0.0}}};
    Work.m_OfferedByOrganisation = {{{1, "burst"}, {20.0, 0.0}},
                                    {{1, "steady"}, {4.0, 0.0}},
                                    {{1, "small"}, {2.0, 0.0}}};
    const AdmissionShares Shares = divideByPriority({0.5, 1.0}, Work);
    CPPUNIT_ASSERT_EQUAL(1.0, Shares.find(1, "steady").m_FirstAttempts);
    CPPUNIT_ASSERT_EQUAL(1.0, Shares.find(1, "small").m_FirstAttempts);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        7.0 / 20.0, Shares.find(1, "burst").m_FirstAttempts, 0.001);
    // Both exceed the limit, and get the same amount.
    const AdmissionShares Scarce = divideByPriority({0.2, 1.0}, Work);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Scarce.find(1, "burst").m_FirstAttempts * 20.0,
                                 Scarce.find(1, "steady").m_FirstAttempts * 4.0,
                                 0.001);
  }

  /// Guards against organisations that are too small for the reports, and that
  /// are rejected instead of the large ones.
  void unnamedOrganisationsKeepTheirShare() {
    WorkRates Work;
    Work.m_OfferedByPriority = {{1, {30.0, 0.0}}};
    Work.m_OfferedByOrganisation = {{{1, "burst"}, {22.0, 0.0}},
                                    {{1, "steady"}, {4.0, 0.0}}};
    const AdmissionShares Shares = divideByPriority({0.5, 1.0}, Work);
    CPPUNIT_ASSERT_EQUAL(1.0, Shares.find(1, "other").m_FirstAttempts);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        7.0 / 22.0, Shares.find(1, "burst").m_FirstAttempts, 0.001);
  }

  /// Guards against a node that decides by its own few requests, by a peer that
  /// has gone, or by work of long ago.
  void workOfAllNodesIsCounted() {
    CompletionRate Rate;
    for (int I = 0; I < 100; ++I) {
      const MonotonicTime Now = Start + std::chrono::milliseconds(100) * I;
      Rate.recordOffered("m", {1, "org", I % 2 == 1}, 0.2, Now);
      Rate.recordCompleted("m", 0.1, Now);
    }
    const MonotonicTime Now = Start + std::chrono::seconds(10);
    const WorkRates Own = Rate.total("m", Now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Own.m_Completed, 0.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Own.offered().m_FirstAttempts, 0.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, Own.offered().m_Returning, 0.1);
    Rate.setPeerReport("n2", Rate.ownReport(Now), Now);
    const WorkRates Both =
        Rate.total("m", Now + std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(2U, Both.m_Nodes);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, Both.m_Completed, 0.2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        2.0, Both.m_OfferedByOrganisation.at({1, "org"}).m_FirstAttempts, 0.2);
    CPPUNIT_ASSERT(Both.m_OldestReportAge == std::chrono::milliseconds(100));
    const WorkRates Later = Rate.total("m", Now + CompletionRate::MaxReportAge +
                                                std::chrono::milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(1U, Later.m_Nodes);
    CPPUNIT_ASSERT(Later.m_Completed < 0.3);
    CPPUNIT_ASSERT(loadPoolName("m", "") != loadPoolName("s", "m"));
  }

  /// Guards against load messages that exceed a datagram, and against a peer
  /// whose numbers make all others invalid.
  void reportsAreBoundedAndChecked() {
    CompletionRate Rate;
    for (int I = 0; I < 30; ++I)
      Rate.recordOffered("m", {1, "org" + std::to_string(I), false}, I + 1.0,
                         Start);
    WorkReport Report = Rate.ownReport(Start);
    CPPUNIT_ASSERT_EQUAL(CompletionRate::MaxOrganisations,
                         Report.m_Organisations.at("m").size());
    CPPUNIT_ASSERT_EQUAL(std::string("org29"),
                         std::get<0>(Report.m_Organisations.at("m").front()));
    const double Offered = Rate.total("m", Start).offered().m_FirstAttempts;
    Report.m_Completed["m"] = std::numeric_limits<double>::quiet_NaN();
    Report.m_Offered["m"] = {
        {1, {-5.0, std::numeric_limits<double>::infinity()}}};
    Rate.setPeerReport("n2", Report, Start);
    CPPUNIT_ASSERT_EQUAL(0.0, Rate.total("m", Start).m_Completed);
    CPPUNIT_ASSERT_EQUAL(Offered,
                         Rate.total("m", Start).offered().m_FirstAttempts);
    CPPUNIT_ASSERT_EQUAL(0.0, Rate.total("m", Start).offered().m_Returning);
  }

  /// Guards against a service without groups that is never overloaded, and
  /// against a node without peers that takes its own requests for all.
  void slotUsageOfPlainServersIsMeasured() {
    FleetView Fleet;
    ServerSelector Selector;
    for (const char *Id : {"s1", "s2"}) {
      BackendServer Server;
      Server.m_Id = Id;
      Server.m_Service = "plain";
      Server.m_Slots = 4;
      Server.m_Position = 1;
      Fleet.update(Server, Start);
    }
    ServiceSpec Plain;
    Plain.m_Name = "plain";
    ServerQuery Query;
    Query.m_Service = &Plain;
    Query.m_Now = Start;
    for (int I = 0; I < 4; ++I)
      Selector.onDispatched("s1", Start);
    GroupSupply Supply = Selector.groupSupply(Fleet, Query);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Supply.m_Groups);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, Supply.m_MeanSlotUsage, 0.001);
    CPPUNIT_ASSERT_EQUAL(1.0, Supply.m_CountedNodeShare);
    Selector.setNodes("n1", {"n1", "n2", "n3", "n4"}, Start);
    Selector.setPeerInFlight("n2", {});
    CPPUNIT_ASSERT_EQUAL(1.0,
                         Selector.groupSupply(Fleet, Query).m_CountedNodeShare);
    Query.m_Now = Start + std::chrono::seconds(4);
    Supply = Selector.groupSupply(Fleet, Query);
    CPPUNIT_ASSERT_EQUAL(0.5, Supply.m_CountedNodeShare);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, Supply.m_MeanSlotUsage, 0.001);
  }

  static WaitingRank rank(unsigned Priority, double Share, int DeadlineMs) {
    return {Priority, Share, Start + std::chrono::milliseconds(DeadlineMs)};
  }

  /// Guards against an order by chance, and against an order that differs from
  /// that of admission.
  void waitingRequestsHaveOneOrder() {
    CPPUNIT_ASSERT(rank(0, 0.2, 900) < rank(1, 1.0, 100));
    CPPUNIT_ASSERT(rank(1, 1.0, 900) < rank(1, 0.2, 100));
    CPPUNIT_ASSERT(rank(1, 1.0, 100) < rank(1, 1.0, 900));
    CPPUNIT_ASSERT(!(rank(1, 1.0, 100) < rank(1, 1.0, 100)));
  }

  /// Guards against a search through all servers for each waiting request, and
  /// against a later request that overtakes an urgent one.
  void fullServersAreTriedOncePerTick() {
    FullPools Pools;
    Pools.beginTick();
    CPPUNIT_ASSERT(!Pools.mustWait("m", rank(1, 1.0, 100)));
    Pools.onFull("m", rank(1, 1.0, 100));
    CPPUNIT_ASSERT(Pools.mustWait("m", rank(1, 1.0, 200)));
    CPPUNIT_ASSERT(!Pools.mustWait("other", rank(1, 1.0, 200)));
    // A more urgent request that arrives after the tick is tried.
    CPPUNIT_ASSERT(!Pools.mustWait("m", rank(0, 1.0, 200)));
    Pools.onFull("m", rank(0, 1.0, 200));
    CPPUNIT_ASSERT(Pools.mustWait("m", rank(0, 1.0, 300)));
    Pools.beginTick();
    CPPUNIT_ASSERT(!Pools.mustWait("m", rank(2, 1.0, 100)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PriorityAdmissionTest);

} // namespace fulmarwinch
