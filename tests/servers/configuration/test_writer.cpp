#include "core/error.h"
#include "randomised/fake_configuration_store.h"

#include "cppunit/extensions/HelperMacros.h"

#include <algorithm>
#include <string>

namespace fulmarwinch {

namespace {

ProposedChange zoneRequest(const std::string &Plan, const std::string &Zone,
                           ConfigurationRevision Base = 0,
                           ConfigurationRevision EntryBase = 0) {
  const EntryId Id{EntryKind::Zone, Zone};
  return {Plan,
          "ana",
          0,
          Base,
          {{Id, EntryBase,
            R"({"inService":false,"kind":"zone","name":")" + Zone + R"("})"}}};
}

/// Runs a ConfigurationWriter against a fake store, one store call per step.
class SteppedWriter {
public:
  SteppedWriter(FakeConfigurationStore &Store, ProposedChange Request,
                std::size_t MaxChangeBytes = 16384)
      : m_Store(Store), m_Writer(options(MaxChangeBytes), Request, nullptr),
        m_Calls(m_Writer.start(m_Now)) {
    Store.m_RequestsByPlan[Request.m_PlanId] = Request;
  }

  const StoreAction &nextCall() const { return m_Calls.at(0); }
  bool isWriting() const {
    return !m_Calls.empty() && std::holds_alternative<PutObject>(nextCall());
  }
  bool isDone() const { return m_Writer.result().has_value(); }
  const absl::StatusOr<ConfigurationRevision> &result() const {
    return *m_Writer.result();
  }

  /// Carries out the next store call, or advances the time to the next retry.
  void step() {
    if (m_Calls.empty()) {
      m_Now = std::max(m_Now, *m_Writer.nextRetryTime());
      m_Calls = m_Writer.onTick(m_Now);
    } else if (const auto *Get = std::get_if<GetObject>(&nextCall())) {
      completeCall(m_Store.get(*Get, m_Random));
    } else {
      completeCall(
          m_Store.put(std::get<PutObject>(nextCall()), m_Now, m_Random));
    }
  }
  void completeCall(const GetCompleted &Event) {
    m_Calls = m_Writer.onGet(Event, m_Now, m_Random);
  }
  void completeCall(const WriteCompleted &Event) {
    m_Calls = m_Writer.onPut(Event, m_Now, m_Random);
  }
  void runUntilWrite() {
    while (!isDone() && !isWriting())
      step();
  }
  void runToResult() {
    while (!isDone())
      step();
  }
  void advanceTime(Duration Length) { m_Now += Length; }
  PutObject pendingWrite() const { return std::get<PutObject>(nextCall()); }

private:
  static ConfigurationWriterOptions options(std::size_t MaxChangeBytes) {
    ConfigurationWriterOptions Options;
    Options.m_Writer = "w";
    Options.m_MaxHeadBytes = MaxChangeBytes;
    return Options;
  }
  FakeConfigurationStore &m_Store;
  std::mt19937_64 m_Random{1};
  MonotonicTime m_Now{std::chrono::seconds(1)};
  ConfigurationWriter m_Writer;
  std::vector<StoreAction> m_Calls;
};

} // namespace

class ConfigurationWriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationWriterTest);
  CPPUNIT_TEST(concurrentChangesOfOneEntryConflict);
  CPPUNIT_TEST(concurrentChangesOfDifferentEntriesBothApply);
  CPPUNIT_TEST(planIsAcceptedOnceDespiteLostAnswers);
  CPPUNIT_TEST(repeatedConfirmAppliesOnce);
  CPPUNIT_TEST(lateWriteAfterRefusalIsFenced);
  CPPUNIT_TEST(refusalInOutageIsCertainOnlyWithoutWrite);
  CPPUNIT_TEST(staleReadIsNotAConflict);
  CPPUNIT_TEST(compactionLosesNoConcurrentChange);
  CPPUNIT_TEST(changeOfRemovedEntryConflicts);
  CPPUNIT_TEST(expiredPlanAndOversizedConfigurationAreRefused);
  CPPUNIT_TEST_SUITE_END();

  std::mt19937_64 m_Random{1};
  FakeConfigurationStore m_Store;

public:
  void setUp() override { m_Store = FakeConfigurationStore(); }

private:
  /// Guards against a lost update: of two operators who change the same entry
  /// at the same time, the second must not silently overwrite the first.
  void concurrentChangesOfOneEntryConflict() {
    SteppedWriter First(m_Store, zoneRequest("p1", "a"));
    SteppedWriter Second(m_Store, zoneRequest("p2", "a"));
    First.runUntilWrite();
    Second.runUntilWrite();
    First.runToResult();
    Second.runToResult();
    CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(1), *First.result());
    CPPUNIT_ASSERT(errorKind(Second.result().status()) == ErrorKind::Conflict);
    CPPUNIT_ASSERT_EQUAL(
        std::string("plan p2 of ana changes zone/a as of revision 0, but plan "
                    "p1 of ana changed it at revision 1; read the present "
                    "entry and make a new plan"),
        std::string(Second.result().status().message()));
  }

  /// Guards against a conflict between operators who change different entries.
  void concurrentChangesOfDifferentEntriesBothApply() {
    SteppedWriter First(m_Store, zoneRequest("p1", "a"));
    SteppedWriter Second(m_Store, zoneRequest("p2", "b"));
    First.runUntilWrite();
    Second.runUntilWrite();
    First.runToResult();
    Second.runToResult();
    CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(2), *Second.result());
  }

  /// Guards against a plan that is applied twice, or reported as in conflict
  /// with itself, after the answer to its write was lost.
  void planIsAcceptedOnceDespiteLostAnswers() {
    m_Store.m_LostWriteResponseProbability = 1;
    SteppedWriter Writer(m_Store, zoneRequest("p1", "a"));
    Writer.runToResult();
    CPPUNIT_ASSERT_MESSAGE(Writer.result().status().ToString(),
                           Writer.result().ok());
    CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(1), *Writer.result());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Store.history().size());
  }

  /// Guards against a plan that is applied twice when an operator confirms it
  /// repeatedly: at two nodes at once, and again after another change and a
  /// snapshot.
  void repeatedConfirmAppliesOnce() {
    SteppedWriter First(m_Store, zoneRequest("p1", "a"));
    SteppedWriter Second(m_Store, zoneRequest("p1", "a"));
    First.runUntilWrite();
    Second.runUntilWrite();
    First.runToResult();
    Second.runToResult();
    SteppedWriter(m_Store, zoneRequest("p2", "a", 1, 1), 10).runToResult();
    SteppedWriter Third(m_Store, zoneRequest("p1", "a"));
    Third.runToResult();
    for (const SteppedWriter *Writer : {&First, &Second, &Third})
      CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(1), *Writer->result());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Store.history().size());
  }

  /// Guards against a plan that is reported as not accepted while its write is
  /// still in flight and takes effect later.
  void lateWriteAfterRefusalIsFenced() {
    SteppedWriter Writer(m_Store, zoneRequest("p1", "a"));
    Writer.runUntilWrite();
    const PutObject LateWrite = Writer.pendingWrite();
    Writer.completeCall(
        WriteCompleted{LateWrite.m_Id, StoreOutcome::Unknown, 0});
    Writer.advanceTime(std::chrono::seconds(6));
    Writer.runToResult();
    CPPUNIT_ASSERT(errorKind(Writer.result().status()) ==
                   ErrorKind::StoreUnavailable);
    CPPUNIT_ASSERT(
        m_Store.put(LateWrite, MonotonicTime(), m_Random).m_Outcome ==
        StoreOutcome::Conflict);
    CPPUNIT_ASSERT(m_Store.history().empty());
  }

  /// Guards against reporting an unknown outcome when no write was sent, and
  /// against reporting a definite refusal when a write may still take effect.
  void refusalInOutageIsCertainOnlyWithoutWrite() {
    m_Store.m_IsUnavailable = true;
    SteppedWriter Refused(m_Store, zoneRequest("p1", "a"));
    Refused.runToResult();
    CPPUNIT_ASSERT(errorKind(Refused.result().status()) ==
                   ErrorKind::StoreUnavailable);
    m_Store.m_IsUnavailable = false;
    SteppedWriter Uncertain(m_Store, zoneRequest("p2", "a"));
    Uncertain.runUntilWrite();
    Uncertain.completeCall(WriteCompleted{Uncertain.pendingWrite().m_Id,
                                          StoreOutcome::Unknown, 0});
    m_Store.m_IsUnavailable = true;
    Uncertain.runToResult();
    CPPUNIT_ASSERT(errorKind(Uncertain.result().status()) ==
                   ErrorKind::OutcomeUnknown);
  }

  /// Guards against a false conflict when the store returns a head from before
  /// the plan was made although no other operator changed anything.
  void staleReadIsNotAConflict() {
    SteppedWriter(m_Store, zoneRequest("p1", "a")).runToResult();
    const std::string OldHead = m_Store.valueOf(ConfigurationHeadKey);
    SteppedWriter(m_Store, zoneRequest("p2", "a", 1, 1)).runToResult();
    SteppedWriter Writer(m_Store, zoneRequest("p3", "a", 2, 2));
    const StoreCallId Id = std::get<GetObject>(Writer.nextCall()).m_Id;
    Writer.completeCall(GetCompleted{Id, StoreOutcome::Succeeded, 1, OldHead});
    CPPUNIT_ASSERT(!Writer.isDone());
    Writer.runToResult();
    CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(3), *Writer.result());
  }

  /// Guards against a change that is lost because another writer compacts the
  /// head into a snapshot at the same time. The fake store checks the whole
  /// configuration at each write.
  void compactionLosesNoConcurrentChange() {
    SteppedWriter(m_Store, zoneRequest("p1", "a")).runToResult();
    SteppedWriter Compacting(m_Store, zoneRequest("p2", "b"), 10);
    SteppedWriter Plain(m_Store, zoneRequest("p3", "c"));
    Compacting.runUntilWrite();
    CPPUNIT_ASSERT_EQUAL(snapshotKey(1), Compacting.pendingWrite().m_Key);
    Compacting.step();
    Plain.runToResult();
    Compacting.runToResult();
    CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(2), *Plain.result());
    CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(3), *Compacting.result());
  }

  /// Guards against objects over 1 MB and against plans that are so old that a
  /// repeated confirm can no longer be recognised.
  void expiredPlanAndOversizedConfigurationAreRefused() {
    ProposedChange Large = zoneRequest("large", "a");
    Large.m_Entries[0].m_JsonText += std::string(1000000, ' ');
    SteppedWriter TooLarge(m_Store, Large);
    TooLarge.runToResult();
    CPPUNIT_ASSERT(errorKind(TooLarge.result().status()) ==
                   ErrorKind::LimitExceeded);
    ConfigurationRevision Revision = 0;
    for (; Revision <= RetainedRevisions; ++Revision)
      SteppedWriter(m_Store, zoneRequest("q" + std::to_string(Revision), "a",
                                         Revision, Revision))
          .runToResult();
    SteppedWriter ExpiredPlan(m_Store, zoneRequest("old", "b", 0, 0));
    ExpiredPlan.runToResult();
    CPPUNIT_ASSERT(errorKind(ExpiredPlan.result().status()) ==
                   ErrorKind::KeyExpired);
  }

  /// Guards against a plan that recreates an entry which another operator
  /// removed after the plan was made, also once a snapshot holds the removal.
  void changeOfRemovedEntryConflicts() {
    SteppedWriter(m_Store, zoneRequest("p1", "a")).runToResult();
    ProposedChange Removal = zoneRequest("p2", "a", 1, 1);
    Removal.m_Entries[0].m_JsonText.clear();
    SteppedWriter(m_Store, Removal).runToResult();
    for (const ConfigurationRevision Base : {0, 1}) {
      SteppedWriter(m_Store,
                    zoneRequest("q" + std::to_string(Base),
                                "b" + std::to_string(Base), 2),
                    10)
          .runToResult();
      SteppedWriter StalePlan(
          m_Store, zoneRequest("s" + std::to_string(Base), "a", Base, Base));
      StalePlan.runToResult();
      CPPUNIT_ASSERT(errorKind(StalePlan.result().status()) ==
                     ErrorKind::Conflict);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationWriterTest);

} // namespace fulmarwinch
