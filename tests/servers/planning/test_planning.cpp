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
  CPPUNIT_TEST(planNamesDifferenceAndEffects);
  CPPUNIT_TEST(wrongIntentNamesThePath);
  CPPUNIT_TEST(planIsStoredOnceAndConfirmedOnce);
  CPPUNIT_TEST(repeatedConfirmKeepsTheBase);
  CPPUNIT_TEST(progressNamesNodesThatLag);
  CPPUNIT_TEST_SUITE_END();

  static absl::StatusOr<Plan> planOf(const std::string &Intent,
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
    return *ConfigurationView::empty()->applied(
        {1,
         "p0",
         "ana",
         0,
         {{{EntryKind::Deployment, "chat"}, toJson(Chat).dump()}}});
  }

  /// Guards against a confirm whose consequences the operator was not shown.
  void planNamesDifferenceAndEffects() {
    const auto View = viewWithDeployment();
    const auto Drain =
        planOf(R"({"entries":[{"kind":"vm_drain","name":"v1"}]})", *View);
    CPPUNIT_ASSERT(Drain.ok());
    CPPUNIT_ASSERT(Drain->m_Effects.m_Groups == std::vector<std::string>{"g1"});
    CPPUNIT_ASSERT_EQUAL(std::int64_t(5), Drain->m_Effects.m_RunningRequests);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(8),
                         Drain->m_Effects.m_StrandedAccelerators);
    // The domain of v3 has a spare VM, so nothing is stranded.
    const auto Spare =
        planOf(R"({"entries":[{"kind":"vm_drain","name":"v3"}]})", *View);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0),
                         Spare->m_Effects.m_StrandedAccelerators);
    CPPUNIT_ASSERT_EQUAL(40.0, Spare->m_Effects.m_DowntimeSeconds);
    const auto Removal = planOf(
        R"({"entries":[{"kind":"deployment","name":"chat","remove":true},
            {"kind":"zone","name":"a","inService":false},
            {"kind":"zone","name":"b","inService":false}]})",
        *View);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Removal->m_Effects.m_Groups.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Removal->m_Effects.m_Warnings.size());
    CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(1),
                         Removal->m_Entries.at(0).m_BaseRevision);
    CPPUNIT_ASSERT_EQUAL(encodePlan(*Removal),
                         encodePlan(*decodePlan(encodePlan(*Removal))));
  }

  /// Guards against an intent that is accepted but does something else.
  void wrongIntentNamesThePath() {
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
    for (const auto &[Intent, Message] : Cases) {
      const auto Result = planOf(Intent, *ConfigurationView::empty());
      CPPUNIT_ASSERT(errorKind(Result.status()) == ErrorKind::InvalidArgument);
      const std::string Found(Result.status().message());
      CPPUNIT_ASSERT_MESSAGE(Found, Found.rfind(Message, 0) == 0);
    }
  }

  std::mt19937_64 m_Random{3};

  template <typename Machine>
  void run(Machine &Subject, std::vector<StoreAction> Actions,
           FakeConfigurationStore &Store, MonotonicTime &Now) {
    while (!Subject.result())
      if (Actions.empty()) {
        Now += std::chrono::milliseconds(50);
        Actions = tick(Subject, Now);
      } else if (const auto *Get = std::get_if<GetObject>(&Actions[0])) {
        Actions = answer(Subject, Store.get(*Get, m_Random), Now);
      } else {
        Actions = answer(
            Subject, Store.put(std::get<PutObject>(Actions[0]), Now, m_Random),
            Now);
      }
  }
  static std::vector<StoreAction> tick(PlanRecorder &, MonotonicTime) {
    return {};
  }
  static std::vector<StoreAction> tick(PlanConfirmation &Subject,
                                       MonotonicTime Now) {
    return Subject.onTick(Now);
  }
  std::vector<StoreAction> answer(PlanRecorder &Subject,
                                  const GetCompleted &Event, MonotonicTime) {
    return Subject.onGet(Event);
  }
  std::vector<StoreAction> answer(PlanRecorder &Subject,
                                  const PutCompleted &Event, MonotonicTime) {
    return Subject.onPut(Event);
  }
  std::vector<StoreAction> answer(PlanConfirmation &Subject,
                                  const GetCompleted &Event,
                                  MonotonicTime Now) {
    return Subject.onGet(Event, Now, m_Random);
  }
  std::vector<StoreAction> answer(PlanConfirmation &Subject,
                                  const PutCompleted &Event,
                                  MonotonicTime Now) {
    return Subject.onPut(Event, Now, m_Random);
  }

  /// Guards against a plan that is applied twice or reported differently when
  /// every answer to a write is lost and the confirm is sent again.
  void planIsStoredOnceAndConfirmedOnce() {
    FakeConfigurationStore Store;
    Store.m_LostAnswerProbability = 1;
    MonotonicTime Now;
    const auto Made =
        planOf(R"({"entries":[{"kind":"zone","name":"a","inService":false}]})",
               *ConfigurationView::empty());
    PlanRecorder Recorder(*Made, 1);
    run(Recorder, Recorder.start(), Store, Now);
    // All answers to the create are lost, so the recorder reports that it does
    // not know; the plan exists nevertheless and can be confirmed.
    CPPUNIT_ASSERT(!Recorder.result()->ok());
    Store.m_LostAnswerProbability = 0;
    PlanRecorder Again(*Made, 1);
    run(Again, Again.start(), Store, Now);
    CPPUNIT_ASSERT(Again.result()->ok());
    Store.m_LostAnswerProbability = 1;
    for (int Round = 0; Round < 2; ++Round) {
      PlanConfirmation Confirm({}, {"p1", "bea", 5}, nullptr);
      run(Confirm, Confirm.start(Now), Store, Now);
      CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(1), **Confirm.result());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.history().size());
    PlanConfirmation Missing({}, {"nope", "bea", 5}, nullptr);
    run(Missing, Missing.start(Now), Store, Now);
    CPPUNIT_ASSERT(errorKind(Missing.result()->status()) ==
                   ErrorKind::NotFound);
  }

  /// Guards against a confirm that takes the present revision of an entry for
  /// the base of the plan, so that it replaces a change that the operator was
  /// not shown. It is repeated, since a retry must not take a new base either.
  void repeatedConfirmKeepsTheBase() {
    FakeConfigurationStore Store;
    MonotonicTime Now;
    const auto Made =
        planOf(R"({"entries":[{"kind":"zone","name":"a","inService":false}]})",
               *ConfigurationView::empty());
    PlanRecorder Recorder(*Made, 1);
    run(Recorder, Recorder.start(), Store, Now);
    ConfigurationWriter Other(
        {}, {"p2", "ana", 0, 0, {{{EntryKind::Zone, "a"}, 0, "{}"}}}, nullptr);
    auto Actions = Other.start(Now);
    while (!Other.result())
      if (const auto *Get = std::get_if<GetObject>(&Actions.at(0)))
        Actions = Other.onGet(Store.get(*Get, m_Random), Now, m_Random);
      else
        Actions = Other.onPut(
            Store.put(std::get<PutObject>(Actions[0]), Now, m_Random), Now,
            m_Random);
    const auto Present = *Other.view()->applied(*Other.accepted());
    for (int Round = 0; Round < 2; ++Round) {
      PlanConfirmation Confirm({}, {"p1", "bea", 5}, Present);
      run(Confirm, Confirm.start(Now), Store, Now);
      CPPUNIT_ASSERT(errorKind(Confirm.result()->status()) ==
                     ErrorKind::Conflict);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.history().size());
  }

  /// Guards against a node without the change being shown as done.
  void progressNamesNodesThatLag() {
    const PlanProgress Progress =
        progressOf(5, {{"n1", 5}, {"n2", 4}, {"n3", 0}, {"n4", 9}});
    CPPUNIT_ASSERT(
        (Progress.m_Applied == std::vector<std::string>{"n1", "n4"}));
    CPPUNIT_ASSERT((Progress.m_NotYet == std::vector<std::string>{"n2", "n3"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlanningTest);

} // namespace fulmarwinch
