#include "core/error.h"
#include "randomised/fake_configuration_store.h"
#include "servers/planning/plan_confirmation.h"
#include "servers/planning/plan_progress.h"
#include "servers/planning/plan_recorder.h"
#include "servers/planning/planner.h"

#include "cppunit/extensions/HelperMacros.h"

#include <string>

namespace fulmarwinch {

class PlanningTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlanningTest);
  CPPUNIT_TEST(planShowsChangesAndEffects);
  CPPUNIT_TEST(errorNamesPathOfInvalidValue);
  CPPUNIT_TEST(planIsStoredAndAppliedOnceDespiteLostResponses);
  CPPUNIT_TEST(repeatedConfirmationKeepsBaseRevision);
  CPPUNIT_TEST(progressListsNodesWithoutRevision);
  CPPUNIT_TEST_SUITE_END();

  static absl::StatusOr<Plan> makePlan(const std::string &Intent,
                                       const ConfigurationView &View) {
    const AssignmentSummary Assignment{
        {{"g1", "chat", "d1", true, 5, 40}, {"g2", "chat", "d2", true, 3, 40}},
        {{"v1", "a", "d1", "g1", 8},
         {"v2", "a", "d1", "g1", 8},
         {"v3", "b", "d2", "g2", 8},
         {"v4", "b", "d2", "g2", 8},
         {"v5", "b", "d2", "", 8}}};
    return Planner::plan(Json::parse(Intent), View, Assignment,
                         {"p1", "ana", 0});
  }
  static ConfigurationView::Pointer viewWithDeployment() {
    const Deployment Chat{"chat", "m", "1", {}, 8000, 2, 2, 0, true, 1, 1, {}};
    return *ConfigurationView::makeEmpty()->withChange(
        {1,
         "p0",
         "ana",
         0,
         {{{EntryKind::Deployment, "chat"}, toJson(Chat).dump()}}});
  }

  /// Guards against a plan that does not show the operator the effects of its
  /// confirmation.
  void planShowsChangesAndEffects() {
    const auto View = viewWithDeployment();
    const auto DrainPlan =
        makePlan(R"({"entries":[{"kind":"vm_drain","name":"v1"}]})", *View);
    CPPUNIT_ASSERT(DrainPlan.ok());
    CPPUNIT_ASSERT(DrainPlan->m_Effects.m_Groups ==
                   std::vector<std::string>{"g1"});
    CPPUNIT_ASSERT_EQUAL(std::int64_t(5),
                         DrainPlan->m_Effects.m_RunningRequests);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(8),
                         DrainPlan->m_Effects.m_StrandedAccelerators);
    // The fabric domain of v3 has the spare VM v5, so no accelerators are
    // stranded.
    const auto SpareVmPlan =
        makePlan(R"({"entries":[{"kind":"vm_drain","name":"v3"}]})", *View);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0),
                         SpareVmPlan->m_Effects.m_StrandedAccelerators);
    CPPUNIT_ASSERT_EQUAL(40.0, SpareVmPlan->m_Effects.m_DowntimeSeconds);
    const auto RemovalPlan = makePlan(
        R"({"entries":[{"kind":"deployment","name":"chat","remove":true},
            {"kind":"zone","name":"a","inService":false},
            {"kind":"zone","name":"b","inService":false}]})",
        *View);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         RemovalPlan->m_Effects.m_Groups.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         RemovalPlan->m_Effects.m_Warnings.size());
    CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(1),
                         RemovalPlan->m_Entries.at(0).m_BaseRevision);
    CPPUNIT_ASSERT_EQUAL(encodePlan(*RemovalPlan),
                         encodePlan(*decodePlan(encodePlan(*RemovalPlan))));
  }

  /// Guards against an invalid intent that is accepted with another meaning
  /// than the operator intended.
  void errorNamesPathOfInvalidValue() {
    const std::pair<const char *, const char *> Cases[] = {
        {R"({"entries":[]})", "intent.entries: found nothing"},
        {R"({"entry":[]})", "intent.entries: found nothing"},
        {R"({"entries":[{"kind":"zone","name":"a","inService":true},
                        {"kind":"zone","name":"a","inService":false}]})",
         "entries[1]: found a second entry zone/a"},
        {R"({"entries":[{"kind":"zone","name":"a","remove":false}]})",
         "entries[0].remove: found false, allowed true"},
        {R"({"entries":[{"kind":"zone","name":"a","remove":true}]})",
         "intent.entries: found no difference"}};
    for (const auto &[Intent, ExpectedPrefix] : Cases) {
      const auto Result = makePlan(Intent, *ConfigurationView::makeEmpty());
      CPPUNIT_ASSERT(errorKind(Result.status()) == ErrorKind::InvalidArgument);
      const std::string Actual(Result.status().message());
      CPPUNIT_ASSERT_MESSAGE(Actual, Actual.rfind(ExpectedPrefix, 0) == 0);
    }
  }

  std::mt19937_64 m_Random{3};

  template <typename StoreOperation>
  void runToCompletion(StoreOperation &Operation,
                       std::vector<StoreAction> Actions,
                       FakeConfigurationStore &Store, MonotonicTime &Now) {
    while (!Operation.result())
      if (Actions.empty()) {
        Now += std::chrono::milliseconds(50);
        Actions = tick(Operation, Now);
      } else if (const auto *Get = std::get_if<GetObject>(&Actions[0])) {
        Actions = deliverResponse(Operation, Store.get(*Get, m_Random), Now);
      } else {
        Actions = deliverResponse(
            Operation,
            Store.put(std::get<PutObject>(Actions[0]), Now, m_Random), Now);
      }
  }
  static std::vector<StoreAction> tick(PlanRecorder &, MonotonicTime) {
    return {};
  }
  static std::vector<StoreAction> tick(PlanConfirmation &Operation,
                                       MonotonicTime Now) {
    return Operation.onTick(Now);
  }
  std::vector<StoreAction> deliverResponse(PlanRecorder &Operation,
                                           const GetCompleted &Event,
                                           MonotonicTime) {
    return Operation.onGet(Event);
  }
  std::vector<StoreAction> deliverResponse(PlanRecorder &Operation,
                                           const WriteCompleted &Event,
                                           MonotonicTime) {
    return Operation.onPut(Event);
  }
  std::vector<StoreAction> deliverResponse(PlanConfirmation &Operation,
                                           const GetCompleted &Event,
                                           MonotonicTime Now) {
    return Operation.onGet(Event, Now, m_Random);
  }
  std::vector<StoreAction> deliverResponse(PlanConfirmation &Operation,
                                           const WriteCompleted &Event,
                                           MonotonicTime Now) {
    return Operation.onPut(Event, Now, m_Random);
  }

  /// Guards against a plan that is applied twice, or reported with different
  /// revisions, when every response to a write is lost and the confirmation is
  /// repeated.
  void planIsStoredAndAppliedOnceDespiteLostResponses() {
    FakeConfigurationStore Store;
    Store.m_LostWriteResponseProbability = 1;
    MonotonicTime Now;
    const auto NewPlan = makePlan(
        R"({"entries":[{"kind":"zone","name":"a","inService":false}]})",
        *ConfigurationView::makeEmpty());
    PlanRecorder Recorder(*NewPlan, 1);
    runToCompletion(Recorder, Recorder.start(), Store, Now);
    // All responses to the create are lost, so the recorder reports an error,
    // but the plan is stored and can be confirmed.
    CPPUNIT_ASSERT(!Recorder.result()->ok());
    Store.m_LostWriteResponseProbability = 0;
    PlanRecorder RepeatedRecorder(*NewPlan, 1);
    runToCompletion(RepeatedRecorder, RepeatedRecorder.start(), Store, Now);
    CPPUNIT_ASSERT(RepeatedRecorder.result()->ok());
    Store.m_LostWriteResponseProbability = 1;
    for (int Attempt = 0; Attempt < 2; ++Attempt) {
      PlanConfirmation Confirmation({}, {"p1", "bea", 5}, nullptr);
      runToCompletion(Confirmation, Confirmation.start(Now), Store, Now);
      CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(1), **Confirmation.result());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.history().size());
    PlanConfirmation UnknownPlanConfirmation({}, {"nope", "bea", 5}, nullptr);
    runToCompletion(UnknownPlanConfirmation, UnknownPlanConfirmation.start(Now),
                    Store, Now);
    CPPUNIT_ASSERT(errorKind(UnknownPlanConfirmation.result()->status()) ==
                   ErrorKind::NotFound);
  }

  /// Guards against a confirmation that uses the present revision of an entry
  /// instead of the base revision of the plan, and so overwrites a change that
  /// the operator was not shown. The confirmation is repeated, because a retry
  /// must not use a newer base revision either.
  void repeatedConfirmationKeepsBaseRevision() {
    FakeConfigurationStore Store;
    MonotonicTime Now;
    const auto NewPlan = makePlan(
        R"({"entries":[{"kind":"zone","name":"a","inService":false}]})",
        *ConfigurationView::makeEmpty());
    PlanRecorder Recorder(*NewPlan, 1);
    runToCompletion(Recorder, Recorder.start(), Store, Now);
    ConfigurationWriter ConcurrentWriter(
        {}, {"p2", "ana", 0, 0, {{{EntryKind::Zone, "a"}, 0, "{}"}}}, nullptr);
    auto Actions = ConcurrentWriter.start(Now);
    while (!ConcurrentWriter.result())
      if (const auto *Get = std::get_if<GetObject>(&Actions.at(0)))
        Actions =
            ConcurrentWriter.onGet(Store.get(*Get, m_Random), Now, m_Random);
      else
        Actions = ConcurrentWriter.onPut(
            Store.put(std::get<PutObject>(Actions[0]), Now, m_Random), Now,
            m_Random);
    const auto PresentView = *ConcurrentWriter.view()->withChange(
        *ConcurrentWriter.acceptedChange());
    for (int Attempt = 0; Attempt < 2; ++Attempt) {
      PlanConfirmation Confirmation({}, {"p1", "bea", 5}, PresentView);
      runToCompletion(Confirmation, Confirmation.start(Now), Store, Now);
      CPPUNIT_ASSERT(errorKind(Confirmation.result()->status()) ==
                     ErrorKind::Conflict);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.history().size());
  }

  /// Guards against a node that is reported to have applied a change before it
  /// has.
  void progressListsNodesWithoutRevision() {
    const PlanProgress Progress =
        planProgress(5, {{"n1", 5}, {"n2", 4}, {"n3", 0}, {"n4", 9}});
    CPPUNIT_ASSERT(
        (Progress.m_AppliedNodes == std::vector<std::string>{"n1", "n4"}));
    CPPUNIT_ASSERT(
        (Progress.m_PendingNodes == std::vector<std::string>{"n2", "n3"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlanningTest);

} // namespace fulmarwinch
