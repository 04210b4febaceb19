#include "randomised/fake_configuration_store.h"
#include "servers/audit/audit_trail.h"

#include "cppunit/extensions/HelperMacros.h"

#include <algorithm>
#include <string>
#include <vector>

namespace fulmarwinch {

class AuditTrailTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AuditTrailTest);
  CPPUNIT_TEST(everyRecordIsStoredOnceUnderFaults);
  CPPUNIT_TEST(recordsDroppedInOutageAreCountedInNextPage);
  CPPUNIT_TEST(pagesAreLimitedInSizeAndSplitByDay);
  CPPUNIT_TEST_SUITE_END();

  static constexpr UnixSeconds Noon = 1796385600;

  void runTicks(AuditTrail &Trail, MonotonicTime &Now, int TickCount) {
    for (; TickCount > 0; --TickCount) {
      Now += std::chrono::milliseconds(200);
      auto Actions = Trail.onTick(Now);
      while (!Actions.empty())
        if (const auto *Get = std::get_if<GetObject>(&Actions[0]))
          Actions = Trail.onGet(m_Store.get(*Get, m_Random), Now);
        else
          Actions = Trail.onPut(
              m_Store.put(std::get<PutObject>(Actions[0]), Now, m_Random), Now);
    }
  }
  AuditPage page(const std::string &Day, std::uint64_t Number) const {
    const std::string Text = m_Store.valueOf(auditPageKey(Day, "w", Number));
    return Text.empty() ? AuditPage() : *decodePage(Text);
  }
  static AuditRecord makeRecord(int Number, UnixSeconds When = Noon) {
    return {"ana", When, "confirm " + std::to_string(Number), "", "", "p1"};
  }

  std::mt19937_64 m_Random{7};
  FakeConfigurationStore m_Store;

public:
  void setUp() override { m_Store = FakeConfigurationStore(); }

private:
  /// Guards against records that are lost or stored twice because of lost
  /// responses, delayed writes and stale reads.
  void everyRecordIsStoredOnceUnderFaults() {
    m_Store.m_LostWriteResponseProbability = 0.3;
    m_Store.m_DelayedWriteProbability = 0.2;
    m_Store.m_StaleReadProbability = 0.3;
    AuditOptions Options;
    Options.m_Writer = "w";
    Options.m_MaxPageBytes = 2000;
    AuditTrail Trail(Options);
    MonotonicTime Now;
    for (int Number = 0; Number < 200; ++Number) {
      Trail.record(makeRecord(Number), Now);
      runTicks(Trail, Now, 1);
    }
    runTicks(Trail, Now, 2000);
    CPPUNIT_ASSERT(Trail.isIdle());
    std::vector<std::string> StoredActions;
    for (std::uint64_t Number = 0; Number < 100; ++Number)
      for (const AuditRecord &Record : page(auditDay(Noon), Number).m_Records)
        StoredActions.push_back(Record.m_Action);
    CPPUNIT_ASSERT_EQUAL(std::size_t(200), StoredActions.size());
    for (std::size_t Number = 0; Number < StoredActions.size(); ++Number)
      CPPUNIT_ASSERT_EQUAL("confirm " + std::to_string(Number),
                           StoredActions[Number]);
  }

  /// Guards against memory use that grows without limit during a store outage,
  /// and against dropped records that are not counted in the audit trail.
  void recordsDroppedInOutageAreCountedInNextPage() {
    AuditOptions Options;
    Options.m_Writer = "w";
    Options.m_MaxBufferBytes = 1000;
    AuditTrail Trail(Options);
    MonotonicTime Now;
    m_Store.m_IsUnavailable = true;
    for (int Number = 0; Number < 100; ++Number) {
      Trail.record(makeRecord(Number), Now);
      runTicks(Trail, Now, 1);
    }
    const std::uint64_t Dropped = Trail.droppedRecords();
    CPPUNIT_ASSERT(Dropped > 0);
    m_Store.m_IsUnavailable = false;
    runTicks(Trail, Now, 50);
    CPPUNIT_ASSERT(Trail.isIdle());
    const AuditPage First = page(auditDay(Noon), 0);
    const AuditPage Second = page(auditDay(Noon), 1);
    CPPUNIT_ASSERT_EQUAL(Dropped,
                         First.m_DroppedRecords + Second.m_DroppedRecords);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(100), First.m_Records.size() +
                                                 Second.m_Records.size() +
                                                 Dropped);
  }

  /// Guards against pages that exceed the size limit of the platform's object
  /// store, and against records in the page of another day.
  void pagesAreLimitedInSizeAndSplitByDay() {
    AuditOptions Options;
    Options.m_Writer = "w";
    Options.m_MaxPageBytes = 1000;
    AuditTrail Trail(Options);
    MonotonicTime Now;
    for (int Number = 0; Number < 30; ++Number)
      Trail.record(makeRecord(Number, Noon + (Number < 20 ? 0 : 86400)), Now);
    runTicks(Trail, Now, 50);
    CPPUNIT_ASSERT(Trail.isIdle());
    CPPUNIT_ASSERT_EQUAL(std::string("2026-12-04"), auditDay(Noon));
    CPPUNIT_ASSERT(encodePage(page("2026-12-04", 0)).size() < 1300);
    CPPUNIT_ASSERT(!page("2026-12-04", 1).m_Records.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("confirm 20"),
                         page("2026-12-05", 0).m_Records.at(0).m_Action);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AuditTrailTest);

} // namespace fulmarwinch
