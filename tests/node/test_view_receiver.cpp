#include "node/view_receiver.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

class ViewReceiverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ViewReceiverTest);
  CPPUNIT_TEST(viewOfOlderGenerationIsIgnored);
  CPPUNIT_TEST(withdrawnGroupIsNotRouted);
  CPPUNIT_TEST(groupStaysWarmWhenShardHolderChanges);
  CPPUNIT_TEST(restartedOrColdEngineNeedsSlots);
  CPPUNIT_TEST(newGenerationStartsWithoutFailures);
  CPPUNIT_TEST(groupWithoutViewsIsRemoved);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a delayed view that routes requests to former members.
  void viewOfOlderGenerationIsIgnored() {
    PublishedView NewGeneration = view();
    NewGeneration.m_Generation = 2;
    NewGeneration.m_HeadAddress = "new:1";
    m_Views.onView(NewGeneration, m_Now);
    m_Views.onView(view(), m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("new:1"), routedGroup().m_HeadAddress);
  }

  /// Guards against requests to a group that was withdrawn because a member is
  /// missing.
  void withdrawnGroupIsNotRouted() {
    m_Views.onView(view(), m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_DataPath.routingTable().size());
    PublishedView Withdrawn = view();
    Withdrawn.m_Serving = false;
    m_Views.onView(Withdrawn, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_DataPath.routingTable().size());
  }

  /// Guards against a warm group that gets no requests until a new shard holder
  /// has completed its ramp again.
  void groupStaysWarmWhenShardHolderChanges() {
    m_Views.onView(view(), m_Now);
    CPPUNIT_ASSERT(!routedGroup().m_Warm);
    PublishedView Warm = view();
    Warm.m_WarmStartId = "s1";
    m_Views.onView(Warm, m_Now);
    CPPUNIT_ASSERT(routedGroup().m_Warm);
    PublishedView NewHolder = view();
    NewHolder.m_Holder = "n2";
    m_Views.onView(NewHolder, m_Now);
    CPPUNIT_ASSERT(routedGroup().m_Warm);
  }

  /// Guards against full load on an engine that has restarted or lost its
  /// caches.
  void restartedOrColdEngineNeedsSlots() {
    for (const bool IsRestart : {true, false}) {
      PublishedView Warm = view();
      Warm.m_WarmStartId = "s1";
      m_Views.onView(Warm, m_Now);
      CPPUNIT_ASSERT(routedGroup().m_Warm);
      PublishedView Cold = view();
      Cold.m_StartId = IsRestart ? "s2" : "s1";
      Cold.m_Cold = !IsRestart;
      m_Views.onView(Cold, m_Now);
      CPPUNIT_ASSERT(!routedGroup().m_Warm);
    }
  }

  /// Guards against a repaired group that is still ejected for failures of its
  /// former members.
  void newGenerationStartsWithoutFailures() {
    m_Views.onView(view(), m_Now);
    m_DataPath.outlierTracker().onFailure("g", 1, m_Now);
    m_Views.onView(view(), m_Now);
    CPPUNIT_ASSERT(m_DataPath.outlierTracker().state("g", 1, m_Now).m_Ejected);
    PublishedView NewGeneration = view();
    NewGeneration.m_Generation = 2;
    m_Views.onView(NewGeneration, m_Now);
    CPPUNIT_ASSERT(!m_DataPath.outlierTracker().state("g", 1, m_Now).m_Ejected);
  }

  /// Guards against groups without further views that stay in memory for ever.
  void groupWithoutViewsIsRemoved() {
    m_Views.onView(view(), m_Now);
    m_Views.tick(m_Now + std::chrono::hours(1));
    CPPUNIT_ASSERT(m_Views.groups().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_DataPath.routingTable().size());
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

  GroupView routedGroup() {
    return *m_DataPath.routingTable().candidates("chat").at(0).m_View;
  }

  const MonotonicTime m_Now = monotonicNow();
  Metrics m_Metrics;
  DataPath m_DataPath{
      "n1.1", std::move(makeStrategy("round-robin", {}).value()), m_Metrics};
  ViewReceiver m_Views{m_DataPath, "z"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewReceiverTest);

} // namespace fulmarwinch
