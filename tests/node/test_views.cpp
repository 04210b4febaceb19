#include "node/view_receiver.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

class ViewReceiverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ViewReceiverTest);
  CPPUNIT_TEST(lateViewOfAnOlderGenerationIsIgnored);
  CPPUNIT_TEST(withdrawnGroupIsNotUsed);
  CPPUNIT_TEST(warmStartOutlivesTheHolder);
  CPPUNIT_TEST(coldAgainNeedsSlots);
  CPPUNIT_TEST(newMembersStartWithoutFailures);
  CPPUNIT_TEST(silentGroupIsForgotten);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a late view that brings back members that have left.
  void lateViewOfAnOlderGenerationIsIgnored() {
    PublishedView New = view();
    New.m_Generation = 2;
    New.m_HeadAddress = "new:1";
    m_Views.onView(New, m_Now);
    m_Views.onView(view(), m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("new:1"), group().m_HeadAddress);
  }

  /// Guards against requests to a group whose member is missing.
  void withdrawnGroupIsNotUsed() {
    m_Views.onView(view(), m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_Path.table().size());
    PublishedView Gone = view();
    Gone.m_Serving = false;
    m_Views.onView(Gone, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Path.table().size());
  }

  /// Guards against a warm group that gets no work until a new shard holder
  /// has completed its ramp again.
  void warmStartOutlivesTheHolder() {
    m_Views.onView(view(), m_Now);
    CPPUNIT_ASSERT(!group().m_Warm);
    PublishedView Warm = view();
    Warm.m_WarmStartId = "s1";
    m_Views.onView(Warm, m_Now);
    CPPUNIT_ASSERT(group().m_Warm);
    PublishedView Taken = view();
    Taken.m_Holder = "n2";
    m_Views.onView(Taken, m_Now);
    CPPUNIT_ASSERT(group().m_Warm);
  }

  /// Guards against full load on an engine that restarted or lost its caches.
  void coldAgainNeedsSlots() {
    for (const bool IsRestart : {true, false}) {
      PublishedView Warm = view();
      Warm.m_WarmStartId = "s1";
      m_Views.onView(Warm, m_Now);
      CPPUNIT_ASSERT(group().m_Warm);
      PublishedView Cold = view();
      Cold.m_StartId = IsRestart ? "s2" : "s1";
      Cold.m_Cold = !IsRestart;
      m_Views.onView(Cold, m_Now);
      CPPUNIT_ASSERT(!group().m_Warm);
    }
  }

  /// Guards against a repaired group that is avoided for what its earlier
  /// members failed.
  void newMembersStartWithoutFailures() {
    m_Views.onView(view(), m_Now);
    m_Path.outliers().onFailure("g", 1, m_Now);
    m_Views.onView(view(), m_Now);
    CPPUNIT_ASSERT(m_Path.outliers().state("g", 1, m_Now).m_Removed);
    PublishedView New = view();
    New.m_Generation = 2;
    m_Views.onView(New, m_Now);
    CPPUNIT_ASSERT(!m_Path.outliers().state("g", 1, m_Now).m_Removed);
  }

  /// Guards against groups that stay in memory for ever.
  void silentGroupIsForgotten() {
    m_Views.onView(view(), m_Now);
    m_Views.tick(m_Now + std::chrono::hours(1));
    CPPUNIT_ASSERT(m_Views.groups().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Path.table().size());
  }

private:
  static PublishedView view() {
    PublishedView View;
    View.m_Group = "g";
    View.m_Deployment = "chat";
    View.m_Zone = "z";
    View.m_Generation = 1;
    View.m_Serving = true;
    View.m_HeadAddress = "old:1";
    View.m_StartId = "s1";
    View.m_Cold = false;
    View.m_Holder = "n1";
    return View;
  }

  GroupView group() { return *m_Path.table().candidates("chat").at(0).m_View; }

  const MonotonicTime m_Now = monotonicNow();
  Metrics m_Metrics;
  DataPath m_Path{"n1.1", std::move(makeStrategy("round-robin", {}).value()),
                  m_Metrics};
  ViewReceiver m_Views{m_Path, "z"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewReceiverTest);

} // namespace fulmarwinch
