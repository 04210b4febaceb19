#include "servers/dispatch/overload_admission.h"

#include "cppunit/extensions/HelperMacros.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace fulmarwinch {

using std::chrono::milliseconds;

/// Shares of the requests that are admitted when the groups of a model cannot
/// serve all of them.
class OverloadAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadAdmissionTest);
  CPPUNIT_TEST(nothingIsRejectedBelowCapacity);
  CPPUNIT_TEST(surplusIsRejectedAboveCapacity);
  CPPUNIT_TEST(firstAttemptsGoBeforeReturningClients);
  CPPUNIT_TEST(returningClientsAreNoReasonToRejectFirstAttempts);
  CPPUNIT_TEST(rejectionsEndOnlyOnceQueuesAreShort);
  CPPUNIT_TEST(idleGroupsAreNeverProtected);
  CPPUNIT_TEST(sharesChangeSlowly);
  CPPUNIT_TEST(idleGroupsDoNotLowerTheCapacity);
  CPPUNIT_TEST(capacityFollowsGroupsAndNodes);
  CPPUNIT_TEST(nodeWithoutPeersSeesSaturation);
  CPPUNIT_TEST(lostZoneLeavesMostRequestsInTime);
  CPPUNIT_TEST(admissionRecoversWithTheDemand);
  CPPUNIT_TEST(latencyIsTheMeanOfAllNodes);
  CPPUNIT_TEST(returningClientsHaveLessTimeLeft);
  CPPUNIT_TEST_SUITE_END();

  /// Mean latencies of first events, relative to their objective.
  static constexpr RelativeLatency AtTarget{80.0, 100.0};
  static constexpr RelativeLatency Late{160.0, 100.0};
  static constexpr RelativeLatency Short{50.0, 100.0};
  static constexpr unsigned ManyPeriods = 60;

  static PoolLoad load(const OfferedWork &Offered, double Completed,
                       const RelativeLatency &Latency, double SlotUsage = 1.0,
                       std::size_t Groups = 8) {
    PoolLoad Load;
    Load.m_Supply = {Groups, SlotUsage, 1.0};
    Load.m_Latency = Latency;
    Load.m_Completed = Completed;
    Load.m_Offered = Offered;
    return Load;
  }

  static AdmittedShares settle(OverloadAdmission &Admission,
                               const PoolLoad &Load) {
    AdmittedShares Shares;
    for (unsigned I = 0; I < ManyPeriods; ++I)
      Shares = Admission.update(Load);
    return Shares;
  }

  /// Returns the shares of a model that became overloaded and then has the load
  /// \p Load for some seconds.
  static AdmittedShares sharesInOverload(const PoolLoad &Load) {
    OverloadAdmission Admission;
    PoolLoad Begin = Load;
    Begin.m_Latency = Late;
    Admission.update(Begin);
    return settle(Admission, Load);
  }

  void nothingIsRejectedBelowCapacity() {
    CPPUNIT_ASSERT(
        sharesInOverload(load({9.0, 3.0}, 12.0, AtTarget)).admitsAll());
    CPPUNIT_ASSERT(
        sharesInOverload(load({4.0, 0.0}, 0.0, Late, 0.0, 0)).admitsAll());
    OverloadAdmission Admission;
    CPPUNIT_ASSERT(settle(Admission, load({16.0, 0.0}, 12.0,
                                          RelativeLatency{140.0, 100.0}))
                       .admitsAll());
  }

  /// Guards against queues that stay long because just what the groups complete
  /// is admitted, and against a model without any observable request.
  void surplusIsRejectedAboveCapacity() {
    const double AtTargetShare =
        sharesInOverload(load({16.0, 0.0}, 8.0, AtTarget)).m_FirstAttempts;
    CPPUNIT_ASSERT(AtTargetShare >= 0.5 && AtTargetShare < 0.65);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.25, sharesInOverload(load({16.0, 0.0}, 8.0, Late)).m_FirstAttempts,
        0.001);
    CPPUNIT_ASSERT(
        sharesInOverload(load({1000.0, 0.0}, 8.0, Late)).m_FirstAttempts > 0.0);
  }

  /// Guards against a service that makes new clients late in order to serve
  /// those that are late already.
  void firstAttemptsGoBeforeReturningClients() {
    const AdmittedShares Some =
        sharesInOverload(load({6.0, 8.0}, 8.0, AtTarget));
    CPPUNIT_ASSERT_EQUAL(1.0, Some.m_FirstAttempts);
    CPPUNIT_ASSERT(Some.m_Returning > 0.2 && Some.m_Returning < 0.6);
    const AdmittedShares None = sharesInOverload(load({9.0, 4.0}, 8.0, Late));
    CPPUNIT_ASSERT(None.m_FirstAttempts > 0.4);
    CPPUNIT_ASSERT(None.m_Returning > 0.0 && None.m_Returning < 0.2);
  }

  /// Guards against rejections that cause further ones: clients that were
  /// rejected return and are counted once more.
  void returningClientsAreNoReasonToRejectFirstAttempts() {
    const AdmittedShares Few =
        sharesInOverload(load({3.0, 2.0}, 3.0, AtTarget));
    CPPUNIT_ASSERT_EQUAL(1.0, Few.m_FirstAttempts);
    CPPUNIT_ASSERT(Few.m_Returning < 1.0);
    CPPUNIT_ASSERT_EQUAL(
        sharesInOverload(load({6.0, 0.0}, 3.0, Late)).m_FirstAttempts,
        sharesInOverload(load({6.0, 9.0}, 3.0, Late)).m_FirstAttempts);
  }

  /// Guards against rejections that begin and end several times a second.
  void rejectionsEndOnlyOnceQueuesAreShort() {
    OverloadAdmission Admission;
    const auto IsOverloadedAt = [&](double MeanLatency, double SlotUsage) {
      settle(Admission,
             load({16.0, 0.0}, 8.0, {MeanLatency * 100.0, 100.0}, SlotUsage));
      return Admission.isOverloaded();
    };
    CPPUNIT_ASSERT(!IsOverloadedAt(1.2, 0.85));
    CPPUNIT_ASSERT(IsOverloadedAt(1.6, 0.85));
    CPPUNIT_ASSERT(IsOverloadedAt(1.2, 0.85));
    CPPUNIT_ASSERT(IsOverloadedAt(0.75, 0.85));
    CPPUNIT_ASSERT(!IsOverloadedAt(0.6, 0.85));
    CPPUNIT_ASSERT(!IsOverloadedAt(1.2, 0.99));
    CPPUNIT_ASSERT(IsOverloadedAt(1.2, 1.05));
    // An overload that the slots showed ends once slots are free.
    CPPUNIT_ASSERT(IsOverloadedAt(0.6, 0.95));
    CPPUNIT_ASSERT(!IsOverloadedAt(0.6, 0.85));
  }

  /// Guards against rejections that a wrong estimate causes while groups are
  /// idle or answer in time.
  void idleGroupsAreNeverProtected() {
    for (const double SlotUsage : {0.0, 0.3, 0.6, 0.75})
      CPPUNIT_ASSERT(sharesInOverload(load({16.0, 0.0}, 8.0, Late, SlotUsage))
                         .admitsAll());
    CPPUNIT_ASSERT(
        sharesInOverload(load({16.0, 0.0}, 8.0, Short, 0.9)).admitsAll());
    CPPUNIT_ASSERT(
        sharesInOverload(load({16.0, 0.0}, 8.0, {3.0, 1.0}, 0.9)).admitsAll());
    OverloadAdmission Admission;
    CPPUNIT_ASSERT(
        !settle(Admission, load({16.0, 0.0}, 8.0, Late)).admitsAll());
    CPPUNIT_ASSERT(
        Admission.update(load({16.0, 0.0}, 8.0, Late, 0.49)).admitsAll());
  }

  /// Guards against a share that jumps between two periods, which makes the
  /// load of the groups oscillate.
  void sharesChangeSlowly() {
    OverloadAdmission Admission;
    double Previous = 1.0;
    for (unsigned I = 0; I < 2 * ManyPeriods; ++I) {
      const bool HasSurplus = I < ManyPeriods;
      const double Share = Admission
                               .update(load({HasSurplus ? 40.0 : 4.0, 0.0}, 8.0,
                                            HasSurplus ? Late : Short))
                               .m_FirstAttempts;
      CPPUNIT_ASSERT(Share >= Previous - 0.151 && Share <= Previous + 0.051);
      Previous = Share;
    }
    CPPUNIT_ASSERT_EQUAL(1.0, Previous);
  }

  /// Guards against a spiral: rejections leave groups idle, idle groups
  /// complete less, and less is admitted.
  void idleGroupsDoNotLowerTheCapacity() {
    OverloadAdmission Admission;
    settle(Admission, load({16.0, 0.0}, 8.0, Late));
    for (unsigned I = 0; I < 25; ++I)
      Admission.update(load({16.0, 0.0}, 2.0, AtTarget, 0.85));
    CPPUNIT_ASSERT(Admission.capacity() > 5.0);
    settle(Admission, load({16.0, 0.0}, 2.0, Late));
    CPPUNIT_ASSERT(Admission.capacity() < 3.0);
  }

  /// Guards against completions of the last seconds that do not yet show a
  /// group that has just opened, a lost group, or peers that no longer report.
  void capacityFollowsGroupsAndNodes() {
    OverloadAdmission Admission;
    PoolLoad Load = load({32.0, 0.0}, 8.0, AtTarget);
    Load.m_Nodes = 10;
    settle(Admission, Load);
    Load.m_Supply.m_Groups = 12;
    Admission.update(Load);
    CPPUNIT_ASSERT(Admission.capacity() > 11.0);
    Load.m_Supply.m_Groups = 6;
    Load.m_Completed = 1.0;
    Admission.update(Load);
    CPPUNIT_ASSERT(Admission.capacity() < 6.0);
    Load.m_Nodes = 1;
    Load.m_Completed = 0.1;
    Admission.update(Load);
    CPPUNIT_ASSERT(Admission.capacity() < 0.6);
    Load.m_Nodes = 10;
    Load.m_Completed = 5.0;
    Admission.update(Load);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, Admission.capacity(), 0.001);
  }

  /// Guards against a node that admits everything because it counts only its
  /// own requests at the servers.
  void nodeWithoutPeersSeesSaturation() {
    PoolLoad Load = load({0.4, 0.0}, 0.2, Late, 0.025);
    CPPUNIT_ASSERT(sharesInOverload(Load).admitsAll());
    Load.m_Supply.m_CountedNodeShare = 0.025;
    CPPUNIT_ASSERT(!sharesInOverload(Load).admitsAll());
    Load.m_Supply.m_MeanSlotUsage = 0.5;
    Load.m_Supply.m_CountedNodeShare = 0.6;
    CPPUNIT_ASSERT(sharesInOverload(Load).admitsAll());
  }

  /// Load pattern: a zone of three is evacuated for 30 s while 315 requests per
  /// second arrive for a model whose eight remaining groups serve 200. A
  /// rejected client returns once after two seconds. Guards against a queue in
  /// which every admitted request waits for longer than its objective, and
  /// against groups that run empty because too much is rejected.
  void lostZoneLeavesMostRequestsInTime() {
    CPPUNIT_ASSERT(play(false, 315.0, 315.0).m_ShareInTime < 0.25);
    const Outcome Limited = play(true, 315.0, 315.0);
    CPPUNIT_ASSERT(Limited.m_ShareInTime > 0.5);
    CPPUNIT_ASSERT(Limited.m_Utilisation > 0.9);
  }

  /// The demand falls below the capacity after 15 s. Guards against rejections
  /// that go on, and against returning clients that cause a second overload.
  void admissionRecoversWithTheDemand() {
    const Outcome Outcome = play(true, 400.0, 150.0);
    CPPUNIT_ASSERT(Outcome.m_RejectedAfterFall < 0.05);
  }

  struct Outcome {
    /// Share of the first attempts that are answered within the objective.
    double m_ShareInTime = 0.0;
    /// Share of the capacity that is used.
    double m_Utilisation = 0.0;
    /// Share of the first attempts that are rejected in the last 10 s.
    double m_RejectedAfterFall = 0.0;
  };

  static constexpr double StepSeconds = 0.02;
  static constexpr std::size_t Steps = 1500;

  /// Groups of one model that serve 200 requests per second, and what the nodes
  /// know of them. Load reports are up to 0.7 s old, so the queues grow before
  /// all groups count as full.
  struct SimulatedGroups {
    static constexpr double Capacity = 200.0 * StepSeconds;
    static constexpr double Slots = 200.0;
    static constexpr double ServiceSeconds = 1.0;
    static constexpr double FirstEventSeconds = 0.15;
    static constexpr double ObjectiveSeconds = 0.3;
    static constexpr std::size_t ReportSteps = 35;

    double m_InFlight = 0.0;
    std::vector<double> m_Reports = std::vector<double>(ReportSteps, 0.0);
    RelativeLatency m_Latency;
    double m_Completed = 0.0;
    OfferedWork m_Offered;

    /// The mean over the ages of the reports.
    double usage() const {
      return std::accumulate(m_Reports.end() - ReportSteps, m_Reports.end(),
                             0.0) /
             Slots / ReportSteps;
    }
    /// Time until the first event of a request that arrives now.
    double wait() const {
      return FirstEventSeconds +
             std::max(0.0, m_InFlight - Slots) / Capacity * StepSeconds;
    }
    /// Returns the work that is done in one step.
    double step(double Admitted, const OfferedWork &Offered) {
      m_InFlight += Admitted;
      const double Done =
          std::min(Capacity, m_InFlight * StepSeconds / ServiceSeconds);
      m_InFlight -= Done;
      m_Reports.push_back(m_InFlight);
      const auto Average = [](double &Value, double Amount) {
        Value = Value * std::exp(-StepSeconds / 2.0) + Amount;
      };
      Average(m_Latency.m_Sum, wait() / ObjectiveSeconds * Done);
      Average(m_Latency.m_Count, Done);
      Average(m_Completed, Done / 2.0);
      Average(m_Offered.m_FirstAttempts, Offered.m_FirstAttempts / 2.0);
      Average(m_Offered.m_Returning, Offered.m_Returning / 2.0);
      return Done;
    }
  };

  /// Plays 30 s with the demand \p Before in the first half and \p After in the
  /// second one. A rejected client returns once after two seconds.
  static Outcome play(bool IsLimited, double Before, double After) {
    constexpr std::size_t ReturnSteps = 100;
    constexpr std::size_t PeriodSteps = 10;
    std::vector<double> Returning(Steps + ReturnSteps, 0.0);
    SimulatedGroups Groups;
    OverloadAdmission Admission;
    AdmittedShares Shares;
    Outcome Result;
    double Total = 0.0;
    for (std::size_t Step = 0; Step < Steps; ++Step) {
      const OfferedWork Offered{
          (Step < Steps / 2 ? Before : After) * StepSeconds, Returning[Step]};
      if (IsLimited && Step % PeriodSteps == 0)
        Shares = Admission.update(load(Groups.m_Offered, Groups.m_Completed,
                                       Groups.m_Latency, Groups.usage()));
      // Some groups are full before the others are.
      const double NotFull =
          std::clamp((1.05 - Groups.usage()) / 0.15, 0.0, 1.0);
      const double First =
          Offered.m_FirstAttempts * Shares.m_FirstAttempts * NotFull;
      Returning[Step + ReturnSteps] = Offered.m_FirstAttempts - First;
      Result.m_Utilisation +=
          Groups.step(First +
                          Offered.m_Returning * Shares.m_Returning * NotFull,
                      Offered) /
          SimulatedGroups::Capacity / static_cast<double>(Steps);
      if (Groups.wait() <= SimulatedGroups::ObjectiveSeconds)
        Result.m_ShareInTime += First;
      Total += Offered.m_FirstAttempts;
      if (Step >= Steps * 2 / 3)
        Result.m_RejectedAfterFall += (1.0 - First / Offered.m_FirstAttempts) *
                                      3.0 / static_cast<double>(Steps);
    }
    Result.m_ShareInTime /= Total;
    return Result;
  }

  /// Guards against judging the groups of a model by the few streams of one
  /// node, by one stream that waited for a failed server, or by a peer that has
  /// gone.
  void latencyIsTheMeanOfAllNodes() {
    FirstEventLatency Latency;
    const MonotonicTime Now{std::chrono::seconds(1000)};
    CPPUNIT_ASSERT_EQUAL(0.0, Latency.total("big", Now).m_Count);
    Latency.record("big", milliseconds(9000), milliseconds(300), Now);
    Latency.setPeerReport("n2", {{"big", {4.0, 8.0}}}, Now);
    const RelativeLatency Total = Latency.total("big", Now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(9.0, Total.m_Count, 0.001);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(8.0, Total.m_Sum, 0.001);
    const MonotonicTime Later = Now + std::chrono::seconds(10);
    CPPUNIT_ASSERT(Latency.total("big", Later).m_Count < 0.01);
  }

  /// Guards against counting the same client twice as demand for groups.
  void returningClientsHaveLessTimeLeft() {
    ReturningClients Clients;
    for (int I = 0; I < 100; ++I) {
      CPPUNIT_ASSERT(!Clients.isReturning("r", milliseconds(7990 + I % 10)));
      CPPUNIT_ASSERT(!Clients.isReturning("short", milliseconds(3000)));
    }
    CPPUNIT_ASSERT(Clients.isReturning("r", milliseconds(6200)));
    // Under overload, four in ten requests are returning.
    for (int I = 0; I < 300; ++I)
      Clients.isReturning("r", milliseconds(I % 10 < 4 ? 6000 : 8000));
    CPPUNIT_ASSERT(Clients.isReturning("r", milliseconds(6000)));
    CPPUNIT_ASSERT(!Clients.isReturning("r", milliseconds(8000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadAdmissionTest);

} // namespace fulmarwinch
