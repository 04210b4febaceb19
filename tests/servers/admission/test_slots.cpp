#include "servers/admission/node_slots.h"
#include "servers/admission/slot_granter.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests the granting and use of slots on cold backend servers.
class SlotsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotsTest);
  CPPUNIT_TEST(newLeaseHolderCountsInFlightRequestsFirst);
  CPPUNIT_TEST(grantExpiresWithTheLease);
  CPPUNIT_TEST(expiredSlotsStayCountedUntilReported);
  CPPUNIT_TEST(requestInTransitStaysCounted);
  CPPUNIT_TEST(rampDoublesPerStepAndResetsOnRestart);
  CPPUNIT_TEST(requestsSentWithoutSlotsAreCounted);
  CPPUNIT_TEST(secondNodeGetsItsShareOfSlots);
  CPPUNIT_TEST(outdatedStartIdDoesNotBlockForEver);
  CPPUNIT_TEST(lostConnectionRequiresANewerReport);
  CPPUNIT_TEST(abandonedAttemptsAreCounted);
  CPPUNIT_TEST(slotLifetimeStartsBeforeTheRequest);
  CPPUNIT_TEST(newStartIdInvalidatesSlotsAndPendingGrants);
  CPPUNIT_TEST_SUITE_END();

  static constexpr MonotonicTime Start{seconds(1000)};

  static ServerReport report(const std::string &StartId, std::size_t Running,
                             std::uint64_t Completed, bool Cold = false) {
    return {"s", StartId, Running, 0, Completed, Cold, 4, 32};
  }

  static SlotRequest request(const std::string &Node, std::uint64_t Id,
                             std::size_t DesiredInFlight) {
    SlotRequest Request;
    Request.m_Node = Node;
    Request.m_Server = "s";
    Request.m_RequestId = Id;
    Request.m_LastAnsweredRequestId = Id - 1;
    Request.m_DesiredInFlight = DesiredInFlight;
    return Request;
  }

  static std::size_t
  grantedSlots(const std::variant<SlotGrant, SlotRefusal> &Answer) {
    const SlotGrant *Grant = std::get_if<SlotGrant>(&Answer);
    return Grant == nullptr ? 0 : Grant->m_Slots;
  }

  /// Returns a granter that has counted \p Running requests in flight from a
  /// report at Start + 2 s.
  static SlotGranter countedGranter(std::size_t Running) {
    SlotGranterSettings Settings;
    Settings.m_MaxColdNoticeDelay = Duration::zero();
    SlotGranter Granter(Settings);
    Granter.onLease(1, Start + seconds(100), Start);
    report(Granter, Running, Duration::zero(), true);
    report(Granter, Running, milliseconds(2000));
    return Granter;
  }

  static void report(SlotGranter &Granter, std::size_t Running, Duration At,
                     bool Cold = false) {
    Granter.onReport(report("i1", Running, 5, Cold), Start + At, Start + At);
  }

  /// Guards against a new lease holder that grants all slots of the ramp
  /// although requests are in flight from slots of the earlier lease holder.
  void newLeaseHolderCountsInFlightRequestsFirst() {
    SlotGranter Granter;
    Granter.onLease(1, Start + seconds(100), Start);
    report(Granter, 3, milliseconds(100));
    const auto EarlyAnswer =
        Granter.onRequest(request("a", 1, 9), Start + milliseconds(200));
    CPPUNIT_ASSERT(std::get<SlotRefusal>(EarlyAnswer) ==
                   SlotRefusal::InFlightNotCounted);
    Granter = countedGranter(3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         grantedSlots(Granter.onRequest(
                             request("a", 2, 9), Start + milliseconds(2100))));
  }

  /// Guards against a slot that is used after the next lease holder has taken
  /// over.
  void grantExpiresWithTheLease() {
    SlotGranter Granter = countedGranter(0);
    Granter.onLease(1, Start + milliseconds(2600), Start + milliseconds(2100));
    const auto Answer =
        Granter.onRequest(request("a", 1, 1), Start + milliseconds(2100));
    CPPUNIT_ASSERT(std::get<SlotGrant>(Answer).m_Lifetime ==
                   Duration(milliseconds(500)));
    const auto LateAnswer =
        Granter.onRequest(request("a", 2, 1), Start + milliseconds(2500));
    CPPUNIT_ASSERT(std::get<SlotRefusal>(LateAnswer) == SlotRefusal::NoLease);
  }

  /// Guards against a granter that, when the slots of a node expire, no longer
  /// counts the requests that the node sent with these slots.
  void expiredSlotsStayCountedUntilReported() {
    SlotGranter Granter = countedGranter(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                         grantedSlots(Granter.onRequest(
                             request("a", 1, 9), Start + milliseconds(2100))));
    // The ramp stays at 4 while the reports are cold.
    report(Granter, 4, milliseconds(5000), true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         grantedSlots(Granter.onRequest(
                             request("b", 1, 9), Start + milliseconds(5001))));
    report(Granter, 4, milliseconds(6000), true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         grantedSlots(Granter.onRequest(
                             request("b", 2, 9), Start + milliseconds(6001))));
    report(Granter, 1, milliseconds(6500), true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         grantedSlots(Granter.onRequest(
                             request("b", 3, 9), Start + milliseconds(6501))));
  }

  /// Guards against ignoring a request that was sent just before its slot
  /// expired and that the backend server has not counted yet.
  void requestInTransitStaysCounted() {
    SlotGranter Granter = countedGranter(0);
    Granter.onRequest(request("a", 1, 9), Start + milliseconds(2100));
    // The slots expired at 3101 ms; requests may arrive until 5101 ms.
    report(Granter, 0, milliseconds(5000), true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         grantedSlots(Granter.onRequest(
                             request("b", 1, 9), Start + milliseconds(5001))));
    report(Granter, 0, milliseconds(5200), true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                         grantedSlots(Granter.onRequest(
                             request("b", 2, 9), Start + milliseconds(5201))));
  }

  /// Guards against a ramp that is not reset by a new start ID, a decreased
  /// completed counter or a cold report. Also guards against a ramp that
  /// doubles before a step has passed without failures.
  void rampDoublesPerStepAndResetsOnRestart() {
    SlotGranter Granter = countedGranter(0);
    report(Granter, 0, milliseconds(2200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Granter.rampLevel("s"));
    report(Granter, 0, milliseconds(2250));
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, Granter.rampLevel("s"));
    SlotRequest FailureRequest = request("a", 1, 1);
    FailureRequest.m_Failures = 1;
    Granter.onRequest(FailureRequest, Start + milliseconds(2400));
    report(Granter, 0, milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, Granter.rampLevel("s"));
    report(Granter, 0, milliseconds(2750));
    report(Granter, 0, milliseconds(3000));
    report(Granter, 0, milliseconds(3250));
    CPPUNIT_ASSERT_EQUAL(std::size_t{32}, Granter.rampLevel("s"));
    CPPUNIT_ASSERT(Granter.warmStartId("s") == "i1");

    Granter.onReport(report("i1", 0, 4), Start + milliseconds(3500),
                     Start + milliseconds(3500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Granter.rampLevel("s"));
    CPPUNIT_ASSERT(!Granter.warmStartId("s"));
    report(Granter, 0, milliseconds(3800));
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, Granter.rampLevel("s"));
    report(Granter, 0, milliseconds(4100), true);
    report(Granter, 0, milliseconds(4400), true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Granter.rampLevel("s"));
    report(Granter, 0, milliseconds(4700));
    report(Granter, 0, milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, Granter.rampLevel("s"));
    Granter.onReport(report("i2", 0, 9), Start + milliseconds(5300),
                     Start + milliseconds(5300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Granter.rampLevel("s"));
  }

  /// Guards against slots that are granted in addition to requests that nodes
  /// sent without slots, before they learnt that the backend server had become
  /// cold. This caused 3 overloads in the scenario cold-again with round-robin
  /// and seed 1.
  void requestsSentWithoutSlotsAreCounted() {
    SlotGranter Granter;
    Granter.onLease(1, Start + seconds(100), Start);
    report(Granter, 20, milliseconds(2100));
    report(Granter, 20, milliseconds(2400), true);
    const auto EarlyAnswer =
        Granter.onRequest(request("a", 1, 9), Start + milliseconds(2500));
    CPPUNIT_ASSERT(std::get<SlotRefusal>(EarlyAnswer) ==
                   SlotRefusal::InFlightNotCounted);
    report(Granter, 3, milliseconds(6500), true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         grantedSlots(Granter.onRequest(
                             request("a", 2, 9), Start + milliseconds(6501))));
  }

  /// Guards against granting all slots permanently to the node that requests
  /// them first.
  void secondNodeGetsItsShareOfSlots() {
    SlotGranter Granter = countedGranter(0);
    const MonotonicTime Now = Start + milliseconds(2100);
    Granter.onRequest(request("a", 1, 9), Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, grantedSlots(Granter.onRequest(
                                             request("b", 1, 9), Now)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, grantedSlots(Granter.onRequest(
                                             request("a", 2, 9), Now)));
  }

  /// Guards against a deadlock of a node with an outdated start ID: it learns
  /// the new one only from a response, but gets no slot to send a request.
  void outdatedStartIdDoesNotBlockForEver() {
    SlotGranter Granter = countedGranter(0);
    SlotRequest Request = request("a", 1, 1);
    Request.m_StartId = "i0";
    const auto First = Granter.onRequest(Request, Start + milliseconds(2100));
    CPPUNIT_ASSERT(std::get<SlotRefusal>(First) == SlotRefusal::StartIdDiffers);
    report(Granter, 0, milliseconds(2200));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        grantedSlots(Granter.onRequest(Request, Start + milliseconds(2300))));
  }

  /// Guards against a granter that grants the slots of a warm backend server
  /// although the server has restarted since its last report. The randomised
  /// test found this failure with seed 3.
  void lostConnectionRequiresANewerReport() {
    NodeSlots Holder("a");
    Holder.onConnectionLost("s");
    SlotGranter Granter = countedGranter(0);
    const SlotRequest Request =
        Holder.makeRequest("s", 1, Start + milliseconds(2100));
    const auto EarlyAnswer =
        Granter.onRequest(Request, Start + milliseconds(2100));
    CPPUNIT_ASSERT(std::get<SlotRefusal>(EarlyAnswer) ==
                   SlotRefusal::ReportTooOld);
    report(Granter, 0, milliseconds(2200));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        grantedSlots(Granter.onRequest(Request, Start + milliseconds(2300))));
  }

  /// Guards against slots that are granted in addition to attempts that the
  /// node abandoned but a stalled backend server still runs. A randomised run
  /// with seed 10 showed the failure at step 1953.
  void abandonedAttemptsAreCounted() {
    SlotGranter Granter = countedGranter(0);
    SlotRequest Request = request("n1", 1, 4);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(4),
        grantedSlots(Granter.onRequest(Request, Start + milliseconds(2010))));
    Request.m_LastAnsweredRequestId = 1;
    Request.m_RequestId = 2;
    Request.m_LostConnections = 1;
    const MonotonicTime ReportedAt = Start + milliseconds(2100);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         grantedSlots(Granter.onRequest(Request, ReportedAt)));
    report(Granter, 4, milliseconds(2200), true);
    Request.m_RequestId = 3;
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(0),
        grantedSlots(Granter.onRequest(Request, Start + milliseconds(2210))));
    report(Granter, 1, milliseconds(2300), true);
    Request.m_RequestId = 4;
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(3),
        grantedSlots(Granter.onRequest(Request, Start + milliseconds(2310))));
  }

  /// Guards against a delayed grant that is used after its lifetime, counted
  /// from the slot request.
  void slotLifetimeStartsBeforeTheRequest() {
    NodeSlots Holder("a");
    const SlotRequest Request = Holder.makeRequest("s", 2, Start);
    const SlotGrant Grant{"a",  "s", Request.m_RequestId, 1,
                          "i1", 1,   seconds(1)};
    CPPUNIT_ASSERT(Holder.onGrant(Grant, Start + milliseconds(900)));
    CPPUNIT_ASSERT(Holder.tryAcquire("s", Start + milliseconds(998)));
    CPPUNIT_ASSERT(!Holder.tryAcquire("s", Start + milliseconds(998)));
    Holder.release("s");
    CPPUNIT_ASSERT(!Holder.tryAcquire("s", Start + milliseconds(1000)));
  }

  /// Guards against slots for an earlier start that are used on a restarted,
  /// cold backend server. The grant may arrive after the new start ID is known,
  /// and a late response may carry the earlier start ID again.
  void newStartIdInvalidatesSlotsAndPendingGrants() {
    NodeSlots Holder("a");
    const SlotRequest First = Holder.makeRequest("s", 2, Start);
    Holder.onGrant({"a", "s", First.m_RequestId, 1, "i1", 2, seconds(1)},
                   Start);
    const SlotRequest Second = Holder.makeRequest("s", 2, Start);
    CPPUNIT_ASSERT(Holder.onStartId("s", "i2"));
    CPPUNIT_ASSERT(!Holder.tryAcquire("s", Start));
    CPPUNIT_ASSERT(!Holder.onGrant(
        {"a", "s", Second.m_RequestId, 1, "i1", 2, seconds(1)}, Start));
    CPPUNIT_ASSERT(!Holder.onStartId("s", "i1"));
    const SlotRequest Third = Holder.makeRequest("s", 2, Start);
    CPPUNIT_ASSERT(!Holder.onGrant(
        {"a", "s", Third.m_RequestId, 1, "i1", 2, seconds(1)}, Start));
    const SlotRequest Fourth = Holder.makeRequest("s", 2, Start);
    CPPUNIT_ASSERT(Holder.onGrant(
        {"a", "s", Fourth.m_RequestId, 1, "i2", 2, seconds(1)}, Start));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotsTest);

} // namespace fulmarwinch
