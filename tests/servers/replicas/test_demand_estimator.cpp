#include "servers/replicas/demand_estimator.h"
#include "servers/replicas/fleet_demand.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Estimates of the replica groups that the traffic of each model keeps busy.
class DemandEstimatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DemandEstimatorTest);
  CPPUNIT_TEST(countsPrefillTimeOfLongPrompts);
  CPPUNIT_TEST(countsDecodeStepsBetweenPrefillChunks);
  CPPUNIT_TEST(demandDecaysAfterTrafficStops);
  CPPUNIT_TEST(decodingIsSlowerByThePromptsBetween);
  CPPUNIT_TEST(statedMaximumIsCorrectedByResponses);
  CPPUNIT_TEST(demandIsKnownSecondsAfterTheFirstRequest);
  CPPUNIT_TEST(demandOfAllNodesIsTheSumOfRecentReports);
  CPPUNIT_TEST_SUITE_END();

  static ServiceSpec service() {
    ServiceSpec Result;
    Result.m_Engine.m_Slots = 26;
    Result.m_Engine.m_DecodeStepMs = 6.0;
    Result.m_Engine.m_PrefillTokensPerMs = 50.0;
    ModelSpec Big;
    Big.m_Name = "big";
    ModelSpec Small;
    Small.m_Name = "small";
    Small.m_DurationFactor = 0.6;
    Result.m_Engine.m_Models = {Big, Small};
    return Result;
  }

  /// A model receives requests with long prompts and short responses. Guards
  /// against estimating demand by the number of running requests: that number
  /// is low for such a model, so the other model received nearly all groups.
  void countsPrefillTimeOfLongPrompts() {
    DemandEstimator Estimator;
    const ServiceSpec Service = service();
    MonotonicTime Now{seconds(1000)};
    for (int I = 0; I < 2000; ++I) {
      Now += milliseconds(20);
      Estimator.recordRequest(Service, "big", {2000, 20}, Now);
    }
    // 50 requests per second, each with 40 ms of prefill and 4.6 ms of decode.
    const double BusyGroups = Estimator.busyGroupsByModel(Now).at("big");
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50 * 0.0446, BusyGroups, 0.1);
  }

  /// The same traffic on an engine with chunked prefill: each pass prefills one
  /// chunk and then runs the decode steps of the running streams. Guards
  /// against estimating that a group is half busy while prompts already queue
  /// there.
  void countsDecodeStepsBetweenPrefillChunks() {
    DemandEstimator Estimator;
    ServiceSpec Service = service();
    Service.m_Engine.m_PrefillChunkTokens = 2000;
    Service.m_Engine.m_DecodeStepsPerPass = 8;
    MonotonicTime Now{seconds(1000)};
    for (int I = 0; I < 2000; ++I) {
      Now += milliseconds(20);
      Estimator.recordRequest(Service, "big", {2000, 20}, Now);
    }
    // Each prompt needs one pass of 40 ms of prefill and 48 ms of decode steps.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        50 * 0.088, Estimator.busyGroupsByModel(Now).at("big"), 0.1);
  }

  void demandDecaysAfterTrafficStops() {
    DemandEstimator Estimator;
    MonotonicTime Now{seconds(1000)};
    Estimator.recordRequest(service(), "small", {1000, 200}, Now);
    const double InitialDemand = Estimator.busyGroupsByModel(Now).at("small");
    Now += DemandEstimator::AveragingTime * 3;
    CPPUNIT_ASSERT(Estimator.busyGroupsByModel(Now).at("small") <
                   InitialDemand * 0.1);
  }

  static ServiceSpec chunkedService() {
    ServiceSpec Result = service();
    Result.m_Engine.m_PrefillChunkTokens = 2000;
    Result.m_Engine.m_DecodeStepsPerPass = 8;
    return Result;
  }

  /// Requests with short prompts and long responses. Guards against estimating
  /// the decode time alone: the passes that also prefill a prompt take longer.
  void decodingIsSlowerByThePromptsBetween() {
    DemandEstimator Estimator;
    MonotonicTime Now{seconds(1000)};
    for (int I = 0; I < 2000; ++I) {
      Now += milliseconds(20);
      Estimator.recordRequest(chunkedService(), "big", {500, 208}, Now);
    }
    // 208 tokens are 26 passes of 48 ms, shared by 26 slots; the prompt takes
    // 10 ms.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        50 * 0.058, Estimator.busyGroupsByModel(Now).at("big"), 0.1);
  }

  /// Clients state a maximum of 416 tokens; responses have 208. Guards against
  /// a demand that is twice the real one, which would reject requests that
  /// groups could serve.
  void statedMaximumIsCorrectedByResponses() {
    DemandEstimator Estimator;
    MonotonicTime Now{seconds(1000)};
    for (int I = 0; I < 3000; ++I) {
      Now += milliseconds(20);
      Estimator.recordRequest(chunkedService(), "big", {500, 416}, Now);
      Estimator.recordOutput("big", 416, 208);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        50 * 0.058, Estimator.busyGroupsByModel(Now).at("big"), 0.1);
  }

  /// Guards against a demand that appears small until the averaging time has
  /// passed.
  void demandIsKnownSecondsAfterTheFirstRequest() {
    DemandEstimator Estimator;
    MonotonicTime Now{seconds(1000)};
    for (int I = 0; I < 100; ++I) {
      Now += milliseconds(20);
      Estimator.recordRequest(chunkedService(), "big", {500, 208}, Now);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        50 * 0.058, Estimator.busyGroupsByModel(Now).at("big"), 0.3);
  }

  /// Guards against counting a node that has gone, and against planning for the
  /// requests of one node only.
  void demandOfAllNodesIsTheSumOfRecentReports() {
    FleetDemand Demand;
    const MonotonicTime Now{seconds(1000)};
    Demand.setPeerDemand("n2", {{"big", 2.0}}, Now);
    Demand.setPeerDemand("n3", {{"big", 1.0}, {"small", 4.0}}, Now);
    const DemandByModel Total = Demand.total({{"big", 0.5}}, Now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.5, Total.at("big"), 0.001);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0, Total.at("small"), 0.001);
    const MonotonicTime Later =
        Now + FleetDemand::MaxReportAge + milliseconds(1);
    Demand.setPeerDemand("n2", {{"big", 3.0}}, Later);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, Demand.total({}, Later).at("big"), 0.001);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         Demand.total({}, Later).count("small"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DemandEstimatorTest);

} // namespace fulmarwinch
