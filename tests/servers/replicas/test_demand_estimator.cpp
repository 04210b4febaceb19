#include "servers/replicas/demand_estimator.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Work of each model, from which the planner weighs them.
class DemandEstimatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DemandEstimatorTest);
  CPPUNIT_TEST(longPromptsCountForTheTimeTheyAreRead);
  CPPUNIT_TEST(chunksBoundWhatAPassReads);
  CPPUNIT_TEST(demandFadesWhenTrafficStops);
  CPPUNIT_TEST_SUITE_END();

  static ServiceSpec service() {
    ServiceSpec Result;
    Result.m_Engine.m_Slots = 26;
    Result.m_Engine.m_StepMs = 6.0;
    Result.m_Engine.m_PrefillTokensPerMs = 50.0;
    ModelSpec Big;
    Big.m_Name = "big";
    ModelSpec Small;
    Small.m_Name = "small";
    Small.m_Pace = 0.6;
    Result.m_Engine.m_Models = {Big, Small};
    return Result;
  }

  /// Pattern: a model whose requests have long prompts and short answers.
  /// Guards against counting its few running requests, which gave the other
  /// model nearly all groups.
  void longPromptsCountForTheTimeTheyAreRead() {
    DemandEstimator Estimator;
    const ServiceSpec Service = service();
    MonotonicTime Now{seconds(1000)};
    for (int I = 0; I < 2000; ++I) {
      Now += milliseconds(20);
      Estimator.onRequest(Service, "big", {2000, 20}, Now);
    }
    // 50 requests a second of 40 ms of reading and 4.6 ms of writing each.
    const double Busy = Estimator.demand(Now).at("big");
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50 * 0.0446, Busy, 0.1);
  }

  /// Pattern: the same on an engine that reads one chunk a pass, between the
  /// token steps of its streams. Guards against taking a group for half used
  /// whose prompts queue already.
  void chunksBoundWhatAPassReads() {
    DemandEstimator Estimator;
    ServiceSpec Service = service();
    Service.m_Engine.m_ChunkTokens = 2000;
    Service.m_Engine.m_StepsPerPass = 8;
    MonotonicTime Now{seconds(1000)};
    for (int I = 0; I < 2000; ++I) {
      Now += milliseconds(20);
      Estimator.onRequest(Service, "big", {2000, 20}, Now);
    }
    // Each prompt takes a pass of 40 ms of reading and 48 ms of steps.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50 * 0.088, Estimator.demand(Now).at("big"),
                                 0.1);
  }

  void demandFadesWhenTrafficStops() {
    DemandEstimator Estimator;
    MonotonicTime Now{seconds(1000)};
    Estimator.onRequest(service(), "small", {1000, 200}, Now);
    const double Before = Estimator.demand(Now).at("small");
    Now += DemandEstimator::Memory * 3;
    CPPUNIT_ASSERT(Estimator.demand(Now).at("small") < Before * 0.1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DemandEstimatorTest);

} // namespace fulmarwinch
