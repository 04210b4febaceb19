#include "servers/dispatch/placement_estimate.h"

#include "cppunit/extensions/HelperMacros.h"

#include <cmath>

namespace fulmarwinch {

using std::chrono::milliseconds;

/// Expected time to the first event and expected pause, for prompts of uneven
/// length.
class PlacementEstimateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementEstimateTest);
  CPPUNIT_TEST(emptyGroupTakesPrefillAndOnePass);
  CPPUNIT_TEST(longPromptPausesStreamsForItsChunks);
  CPPUNIT_TEST(costGrowsWithThePausedStreams);
  CPPUNIT_TEST(backlogAndFullSlotsDelayTheFirstEvent);
  CPPUNIT_TEST(serviceWithoutAnEngineHasNoTimes);
  CPPUNIT_TEST_SUITE_END();

  ServiceSpec m_Service;
  PlacementRequest m_Request;

public:
  void setUp() override {
    EngineSpec &Engine = m_Service.m_Engine;
    Engine.m_Slots = 20;
    Engine.m_DecodeStepMs = 8.0;
    Engine.m_PrefillTokensPerMs = 50.0;
    Engine.m_PrefillChunkTokens = 2000;
    Engine.m_DecodeStepsPerPass = 5;
    Engine.m_Models = {{"m", 2, 1.0, 1.0, std::chrono::seconds(16),
                        std::chrono::milliseconds(1600)}};
    m_Request = {0, 100, milliseconds(300), milliseconds(200)};
  }

private:
  PlacementEstimate estimate(double InFlight, Duration Backlog = Duration(0),
                             double Slowness = 1.0) const {
    return PlacementEstimator(m_Service, "m", m_Request)
        .estimate({InFlight, Backlog, Slowness});
  }

  static void assertMs(double Expected, Duration Actual) {
    const double ActualMs =
        std::chrono::duration<double, std::milli>(Actual).count();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Expected, ActualMs, 0.5);
  }

  /// Guards against an expectation that does not follow the published figures:
  /// every server would then seem slow or fast.
  void emptyGroupTakesPrefillAndOnePass() {
    m_Request.m_PromptTokens = 1000;
    const PlacementEstimate Empty = estimate(0.0);
    assertMs(20.0 + 40.0, Empty.m_FirstEvent);
    assertMs(0.0, Empty.m_LongestPause);
    assertMs(0.0, Empty.m_Cost);
    // Half of the current pass is still to come.
    assertMs(80.0, estimate(1.0).m_FirstEvent);
  }

  /// Guards against the neglect of a pass that prefills a chunk in each of its
  /// steps, and against a pause that grows without limit: what does not fit
  /// into one pass waits for the next.
  void longPromptPausesStreamsForItsChunks() {
    m_Request.m_PromptTokens = 5000;
    assertMs(100.0 + 40.0, estimate(4.0).m_LongestPause);
    m_Request.m_PromptTokens = 15000;
    assertMs(200.0 + 40.0, estimate(4.0).m_LongestPause);
    assertMs(480.0, estimate(4.0, Duration(0), 2.0).m_LongestPause);
    assertMs(300.0 + 2 * 40.0 + 20.0, estimate(4.0).m_FirstEvent);
  }

  /// Guards against long prompts that go to the group with the most streams,
  /// and against short ones that avoid it although they pause nobody.
  void costGrowsWithThePausedStreams() {
    m_Request.m_PromptTokens = 5000;
    CPPUNIT_ASSERT(estimate(12.0).m_Cost >
                   estimate(2.0).m_Cost + milliseconds(20));
    assertMs(0.0, estimate(0.0).m_Cost);
    m_Request.m_PromptTokens = 100;
    assertMs(0.0, estimate(12.0).m_Cost);
    // A slow server pauses its streams for longer.
    CPPUNIT_ASSERT(estimate(12.0, Duration(0), 4.0).m_Cost > milliseconds(100));
  }

  /// Guards against a queue that is taken for a slow server.
  void backlogAndFullSlotsDelayTheFirstEvent() {
    m_Request.m_PromptTokens = 500;
    const Duration Idle = estimate(10.0).m_FirstEvent;
    const PlacementEstimate Behind = estimate(10.0, milliseconds(200));
    CPPUNIT_ASSERT(Behind.m_FirstEvent > Idle + milliseconds(150));
    CPPUNIT_ASSERT(Behind.m_Cost >= milliseconds(200));
    // The 20 outputs of 20 passes free one slot for each pass.
    assertMs(5 * 40.0, estimate(24.0).m_FirstEvent - Idle);
  }

  /// Guards against a division by figures that a service without an engine
  /// does not have, and against a cost for its servers.
  void serviceWithoutAnEngineHasNoTimes() {
    m_Service.m_Engine = EngineSpec();
    m_Request.m_PromptTokens = 5000;
    assertMs(0.0, estimate(10.0).m_FirstEvent);
    assertMs(0.0, estimate(10.0).m_Cost);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementEstimateTest);

} // namespace fulmarwinch
