#include "node/failure_gossip.h"
#include "node/monitor_task.h"
#include "node/slot_codec.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Checks that messages between nodes are decoded as they were encoded.
class MessageCodecsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageCodecsTest);
  CPPUNIT_TEST(monitorTaskRoundTrips);
  CPPUNIT_TEST(publishedViewRoundTrips);
  CPPUNIT_TEST(slotMessagesRoundTrip);
  CPPUNIT_TEST(malformedMessagesAreRejected);
  CPPUNIT_TEST(newestFailuresAreEncodedFirst);
  CPPUNIT_TEST(encodedFailuresFitSizeLimit);
  CPPUNIT_TEST(malformedFailuresAreClampedOrSkipped);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a field that is lost on the way to a monitor.
  void monitorTaskRoundTrips() {
    MonitorTask Task;
    Task.m_Group = "g";
    Task.m_Domain = "d";
    Task.m_Zone = "z";
    Task.m_Deployment = "chat";
    Task.m_Version = "2";
    Task.m_Generation = 7;
    Task.m_State = GroupState::Draining;
    Task.m_Members = {{"v1", "a:1"}, {"v2", "a:2"}};
    Task.m_Holder = "n1";
    Task.m_Epoch = 3;
    Task.m_WarmStartId = "s";
    const auto Decoded = parseMonitorTask(toJson(Task));
    CPPUNIT_ASSERT(Decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(toJson(Task).dump(), toJson(*Decoded).dump());
    CPPUNIT_ASSERT_EQUAL(std::string("a:2"), Decoded->m_Members[1].m_Address);
    CPPUNIT_ASSERT(Decoded->m_State == GroupState::Draining);
  }

  /// Guards against a field that is lost on the way to a router.
  void publishedViewRoundTrips() {
    PublishedView View;
    View.m_Group = "g";
    View.m_Deployment = "chat";
    View.m_Version = "2";
    View.m_Zone = "z";
    View.m_Generation = 7;
    View.m_Serving = true;
    View.m_Draining = true;
    View.m_Reason = "r";
    View.m_HeadAddress = "a:1";
    View.m_StartId = "s";
    View.m_Cold = false;
    View.m_WarmStartId = "w";
    View.m_Holder = "n1";
    View.m_Running = 1;
    View.m_Waiting = 2;
    View.m_Capacity = 3;
    View.m_Members = 4;
    const auto Decoded = parsePublishedView(toJson(View));
    CPPUNIT_ASSERT(Decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(toJson(View).dump(), toJson(*Decoded).dump());
    CPPUNIT_ASSERT(Decoded->m_Serving && Decoded->m_Draining &&
                   !Decoded->m_Cold);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Decoded->m_Members);
  }

  /// Guards against a request that is decoded as a grant or the reverse, and
  /// against lost fields.
  void slotMessagesRoundTrip() {
    const SlotRequest Request{"n", "g", 1, "s", 2, 3, 4, 5, 6, 7};
    const auto DecodedRequest = parseSlotRequest(toJson(Request));
    CPPUNIT_ASSERT(DecodedRequest.has_value());
    CPPUNIT_ASSERT_EQUAL(toJson(Request).dump(),
                         toJson(*DecodedRequest).dump());
    CPPUNIT_ASSERT(!parseSlotGrant(toJson(Request)));
    SlotGrant Grant;
    Grant.m_Node = "n";
    Grant.m_Server = "g";
    Grant.m_RequestId = 1;
    Grant.m_Epoch = 2;
    Grant.m_StartId = "s";
    Grant.m_Slots = 3;
    Grant.m_Lifetime = std::chrono::milliseconds(900);
    const auto DecodedGrant = parseSlotGrant(toJson(Grant));
    CPPUNIT_ASSERT(DecodedGrant.has_value());
    CPPUNIT_ASSERT_EQUAL(toJson(Grant).dump(), toJson(*DecodedGrant).dump());
    CPPUNIT_ASSERT(DecodedGrant->m_Lifetime == Grant.m_Lifetime);
    CPPUNIT_ASSERT(!parseSlotRequest(toJson(Grant)));
  }

  /// Guards against a node that crashes on a malformed message.
  void malformedMessagesAreRejected() {
    for (const Json &Message :
         {Json(), Json(1), Json::array(), Json::object(),
          Json{{"g", 1}, {"p", {1}}}, Json{{"k", 1}}, Json{{"g", "g"}},
          Json{{"g", "g"}, {"s", "no such state"}}}) {
      CPPUNIT_ASSERT(!parseMonitorTask(Message));
      CPPUNIT_ASSERT(!parsePublishedView(Message));
      CPPUNIT_ASSERT(!parseSlotRequest(Message));
      CPPUNIT_ASSERT(!parseSlotGrant(Message));
    }
  }

  /// Guards against a message that omits the newest failures when not all
  /// failures fit its size limit.
  void newestFailuresAreEncodedFirst() {
    const FailureRecords Decoded =
        decodeFailures(encodeFailures(manyRecords(), 200));
    CPPUNIT_ASSERT(!Decoded.m_PoisonRecords.empty() &&
                   !Decoded.m_OutlierRecords.empty());
    CPPUNIT_ASSERT_EQUAL(ContentHash{99},
                         Decoded.m_PoisonRecords.front().m_Hash);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         Decoded.m_PoisonRecords.front().m_Generation);
    CPPUNIT_ASSERT(Decoded.m_PoisonRecords.front().m_Quarantined);
    CPPUNIT_ASSERT(
        Decoded.m_PoisonRecords.front().m_CrashedServers ==
        (std::map<std::string, Duration>{{"g1", std::chrono::seconds(1)}}));
    CPPUNIT_ASSERT(Decoded.m_PoisonRecords.front().m_Age ==
                   std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::string("group99"),
                         Decoded.m_OutlierRecords.front().m_Group);
    CPPUNIT_ASSERT(Decoded.m_OutlierRecords.front().m_RemainingTime ==
                   std::chrono::seconds(99));
  }

  /// Guards against membership messages that exceed their size limit.
  void encodedFailuresFitSizeLimit() {
    for (const std::size_t Bytes : {0, 8, 20, 100, 200, 400}) {
      const Json Encoded = encodeFailures(manyRecords(), Bytes);
      CPPUNIT_ASSERT(Encoded.is_null() ||
                     Json::to_cbor(Encoded).size() <= Bytes);
    }
    CPPUNIT_ASSERT(encodeFailures({}, 200).is_null());
  }

  /// Guards against an arithmetic overflow when a received failure has a
  /// malformed age.
  void malformedFailuresAreClampedOrSkipped() {
    const Json Row = {1, 1, Json::array({"g"}), true, INT64_MAX};
    const FailureRecords Decoded =
        decodeFailures({{"p", {Row, {1, 2}}}, {"o", {{"g", 1, 1, INT64_MIN}}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Decoded.m_PoisonRecords.size());
    CPPUNIT_ASSERT(Decoded.m_PoisonRecords[0].m_Age == std::chrono::hours(24));
    for (const Json &Message : {Json(), Json(1), Json{{"p", 1}, {"o", "x"}}})
      CPPUNIT_ASSERT(decodeFailures(Message).m_PoisonRecords.empty());
  }

private:
  static FailureRecords manyRecords() {
    FailureRecords Records;
    for (int Index = 0; Index < 100; ++Index) {
      const std::chrono::seconds Age(100 - Index);
      Records.m_PoisonRecords.push_back(
          {static_cast<ContentHash>(Index), 2, Age, {{"g1", Age}}, true, Age});
      Records.m_OutlierRecords.push_back(
          {"group" + std::to_string(Index), 5, 1, std::chrono::seconds(Index)});
    }
    return Records;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageCodecsTest);

} // namespace fulmarwinch
