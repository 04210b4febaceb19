#include "core/error.h"
#include "randomised/fake_configuration_store.h"

#include "cppunit/extensions/HelperMacros.h"

#include <algorithm>
#include <string>

namespace fulmarwinch {

namespace {

AcceptRequest zoneRequest(const std::string &Plan, const std::string &Zone,
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

/// A writer whose calls are carried out one by one by the test.
class SteppedWriter {
public:
  SteppedWriter(FakeConfigurationStore &Store, AcceptRequest Request,
                std::size_t MaxChangeBytes = 16384)
      : m_Store(Store), m_Writer(options(MaxChangeBytes), Request, nullptr),
        m_Calls(m_Writer.start(m_Now)) {
    Store.m_Requests[Request.m_Plan] = Request;
  }

  const StoreAction &next() const { return m_Calls.at(0); }
  bool isWriting() const {
    return !m_Calls.empty() && std::holds_alternative<PutObject>(next());
  }
  bool isDone() const { return m_Writer.result().has_value(); }
  const absl::StatusOr<ConfigurationRevision> &result() const {
    return *m_Writer.result();
  }

  /// Carries out the next call at the store.
  void step() {
    if (m_Calls.empty()) {
      m_Now = std::max(m_Now, *m_Writer.nextTick());
      m_Calls = m_Writer.onTick(m_Now);
    } else if (const auto *Get = std::get_if<GetObject>(&next())) {
      answer(m_Store.get(*Get, m_Random));
    } else {
      answer(m_Store.put(std::get<PutObject>(next()), m_Now, m_Random));
    }
  }
  void answer(const GetCompleted &Event) {
    m_Calls = m_Writer.onGet(Event, m_Now, m_Random);
  }
  void answer(const PutCompleted &Event) {
    m_Calls = m_Writer.onPut(Event, m_Now, m_Random);
  }
  void runToWrite() {
    while (!isDone() && !isWriting())
      step();
  }
  void run() {
    while (!isDone())
      step();
  }
  void pass(Duration Length) { m_Now += Length; }
  PutObject takeWrite() const { return std::get<PutObject>(next()); }

private:
  static WriterOptions options(std::size_t MaxChangeBytes) {
    WriterOptions Options;
    Options.m_Writer = "w";
    Options.m_MaxChangeBytes = MaxChangeBytes;
    return Options;
  }
  FakeConfigurationStore &m_Store;
  std::mt19937_64 m_Random{1};
  MonotonicTime m_Now{std::chrono::seconds(1)};
  ConfigurationWriter m_Writer;
  std::vector<StoreAction> m_Calls;
};

} // namespace

class WriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WriterTest);
  CPPUNIT_TEST(racingChangesOfOneEntryConflict);
  CPPUNIT_TEST(racingChangesOfDifferentEntriesAreRebased);
  CPPUNIT_TEST(lostAnswerIsRecognised);
  CPPUNIT_TEST(repeatedConfirmAppliesOnce);
  CPPUNIT_TEST(refusalIsFencedAgainstLateWrite);
  CPPUNIT_TEST(outageWithoutWriteIsCertainRefusal);
  CPPUNIT_TEST(laggingReadIsNotAConflict);
  CPPUNIT_TEST(compactionRacesAChange);
  CPPUNIT_TEST(removedEntryStillConflicts);
  CPPUNIT_TEST(oldPlanAndLargeConfigurationAreRefused);
  CPPUNIT_TEST_SUITE_END();

  std::mt19937_64 m_Random{1};
  FakeConfigurationStore m_Store;

public:
  void setUp() override { m_Store = FakeConfigurationStore(); }

private:
  /// Guards against the second of two operators silently replacing the first.
  void racingChangesOfOneEntryConflict() {
    SteppedWriter First(m_Store, zoneRequest("p1", "a"));
    SteppedWriter Second(m_Store, zoneRequest("p2", "a"));
    First.runToWrite();
    Second.runToWrite();
    First.run();
    Second.run();
    CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(1), *First.result());
    CPPUNIT_ASSERT(errorKind(Second.result().status()) == ErrorKind::Conflict);
    CPPUNIT_ASSERT_EQUAL(
        std::string("plan p2 of ana changes zone/a as of revision 0, but plan "
                    "p1 of ana changed it at revision 1; read the present "
                    "entry and make a new plan"),
        std::string(Second.result().status().message()));
  }

  /// Guards against refusing operators who do not touch each other's entries.
  void racingChangesOfDifferentEntriesAreRebased() {
    SteppedWriter First(m_Store, zoneRequest("p1", "a"));
    SteppedWriter Second(m_Store, zoneRequest("p2", "b"));
    First.runToWrite();
    Second.runToWrite();
    First.run();
    Second.run();
    CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(2), *Second.result());
  }

  /// Guards against applying a plan again, or calling it a conflict with
  /// itself, after the answer to its write was lost.
  void lostAnswerIsRecognised() {
    m_Store.m_LostAnswerProbability = 1;
    SteppedWriter Writer(m_Store, zoneRequest("p1", "a"));
    Writer.run();
    CPPUNIT_ASSERT_MESSAGE(Writer.result().status().ToString(),
                           Writer.result().ok());
    CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(1), *Writer.result());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Store.history().size());
  }

  /// Guards against a double application when an operator confirms twice, here
  /// at two nodes at once, and again after another change and a snapshot.
  void repeatedConfirmAppliesOnce() {
    SteppedWriter First(m_Store, zoneRequest("p1", "a"));
    SteppedWriter Second(m_Store, zoneRequest("p1", "a"));
    First.runToWrite();
    Second.runToWrite();
    First.run();
    Second.run();
    SteppedWriter(m_Store, zoneRequest("p2", "a", 1, 1), 10).run();
    SteppedWriter Third(m_Store, zoneRequest("p1", "a"));
    Third.run();
    for (const SteppedWriter *Writer : {&First, &Second, &Third})
      CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(1), *Writer->result());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Store.history().size());
  }

  /// Guards against telling an operator "not accepted" while the write is
  /// still under way and takes effect afterwards.
  void refusalIsFencedAgainstLateWrite() {
    SteppedWriter Writer(m_Store, zoneRequest("p1", "a"));
    Writer.runToWrite();
    const PutObject Late = Writer.takeWrite();
    Writer.answer(PutCompleted{Late.m_Id, StoreOutcome::Unknown, 0});
    Writer.pass(std::chrono::seconds(6));
    Writer.run();
    CPPUNIT_ASSERT(errorKind(Writer.result().status()) ==
                   ErrorKind::StoreUnavailable);
    CPPUNIT_ASSERT(m_Store.put(Late, MonotonicTime(), m_Random).m_Outcome ==
                   StoreOutcome::Conflict);
    CPPUNIT_ASSERT(m_Store.history().empty());
  }

  /// Guards against an uncertain answer where a certain one is possible, and
  /// against a certain one where the write may still apply.
  void outageWithoutWriteIsCertainRefusal() {
    m_Store.m_Outage = true;
    SteppedWriter Refused(m_Store, zoneRequest("p1", "a"));
    Refused.run();
    CPPUNIT_ASSERT(errorKind(Refused.result().status()) ==
                   ErrorKind::StoreUnavailable);
    m_Store.m_Outage = false;
    SteppedWriter Unsure(m_Store, zoneRequest("p2", "a"));
    Unsure.runToWrite();
    Unsure.answer(
        PutCompleted{Unsure.takeWrite().m_Id, StoreOutcome::Unknown, 0});
    m_Store.m_Outage = true;
    Unsure.run();
    CPPUNIT_ASSERT(errorKind(Unsure.result().status()) ==
                   ErrorKind::OutcomeUnknown);
  }

  /// Guards against a conflict reported because a read was older than the
  /// plan, when no other operator changed anything.
  void laggingReadIsNotAConflict() {
    SteppedWriter(m_Store, zoneRequest("p1", "a")).run();
    const std::string Old = m_Store.valueOf(ConfigurationHeadKey);
    SteppedWriter(m_Store, zoneRequest("p2", "a", 1, 1)).run();
    SteppedWriter Writer(m_Store, zoneRequest("p3", "a", 2, 2));
    const StoreCallId Id = std::get<GetObject>(Writer.next()).m_Id;
    Writer.answer(GetCompleted{Id, StoreOutcome::Applied, 1, Old});
    CPPUNIT_ASSERT(!Writer.isDone());
    Writer.run();
    CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(3), *Writer.result());
  }

  /// Guards against a change that is lost because another writer moved the
  /// changes to a snapshot meanwhile. The store checks the whole content.
  void compactionRacesAChange() {
    SteppedWriter(m_Store, zoneRequest("p1", "a")).run();
    SteppedWriter Compacting(m_Store, zoneRequest("p2", "b"), 10);
    SteppedWriter Plain(m_Store, zoneRequest("p3", "c"));
    Compacting.runToWrite();
    CPPUNIT_ASSERT_EQUAL(snapshotKey(1), Compacting.takeWrite().m_Key);
    Compacting.step();
    Plain.run();
    Compacting.run();
    CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(2), *Plain.result());
    CPPUNIT_ASSERT_EQUAL(ConfigurationRevision(3), *Compacting.result());
  }

  /// Guards the bounds: 1 MB per object, and the span in which a repeated
  /// confirm can be recognised.
  void oldPlanAndLargeConfigurationAreRefused() {
    AcceptRequest Large = zoneRequest("large", "a");
    Large.m_Entries[0].m_Text += std::string(1000000, ' ');
    SteppedWriter TooLarge(m_Store, Large);
    TooLarge.run();
    CPPUNIT_ASSERT(errorKind(TooLarge.result().status()) ==
                   ErrorKind::LimitExceeded);
    ConfigurationRevision Revision = 0;
    for (; Revision <= RememberedRevisions; ++Revision)
      SteppedWriter(m_Store, zoneRequest("q" + std::to_string(Revision), "a",
                                         Revision, Revision))
          .run();
    SteppedWriter Old(m_Store, zoneRequest("old", "b", 0, 0));
    Old.run();
    CPPUNIT_ASSERT(errorKind(Old.result().status()) == ErrorKind::KeyExpired);
  }

  /// Guards against a plan that recreates an entry which another operator
  /// removed meanwhile, also after the removal has moved to a snapshot.
  void removedEntryStillConflicts() {
    SteppedWriter(m_Store, zoneRequest("p1", "a")).run();
    AcceptRequest Removal = zoneRequest("p2", "a", 1, 1);
    Removal.m_Entries[0].m_Text.clear();
    SteppedWriter(m_Store, Removal).run();
    for (const ConfigurationRevision Base : {0, 1}) {
      SteppedWriter(m_Store,
                    zoneRequest("q" + std::to_string(Base),
                                "b" + std::to_string(Base), 2),
                    10)
          .run();
      SteppedWriter Stale(
          m_Store, zoneRequest("s" + std::to_string(Base), "a", Base, Base));
      Stale.run();
      CPPUNIT_ASSERT(errorKind(Stale.result().status()) == ErrorKind::Conflict);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WriterTest);

} // namespace fulmarwinch
