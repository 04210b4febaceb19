#include "node/failure_gossip.h"
#include "node/monitor_task.h"
#include "node/slot_codec.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Messages between nodes.
class NodeCodecsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeCodecsTest);
  CPPUNIT_TEST(taskSurvives);
  CPPUNIT_TEST(viewSurvives);
  CPPUNIT_TEST(slotMessagesSurvive);
  CPPUNIT_TEST(damagedMessagesAreRefused);
  CPPUNIT_TEST(failuresSurviveNewestFirst);
  CPPUNIT_TEST(failuresAreBounded);
  CPPUNIT_TEST(damagedFailuresDoNoHarm);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a field that a monitor never learns.
  void taskSurvives() {
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
    const auto Read = parseMonitorTask(toJson(Task));
    CPPUNIT_ASSERT(Read.has_value());
    CPPUNIT_ASSERT_EQUAL(toJson(Task).dump(), toJson(*Read).dump());
    CPPUNIT_ASSERT_EQUAL(std::string("a:2"), Read->m_Members[1].m_Address);
    CPPUNIT_ASSERT(Read->m_State == GroupState::Draining);
  }

  /// Guards against a field that a router never learns.
  void viewSurvives() {
    PublishedView View;
    View.m_Group = "g";
    View.m_Deployment = "chat";
    View.m_Version = "2";
    View.m_Zone = "z";
    View.m_Generation = 7;
    View.m_Serving = true;
    View.m_Leaving = true;
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
    const auto Read = parsePublishedView(toJson(View));
    CPPUNIT_ASSERT(Read.has_value());
    CPPUNIT_ASSERT_EQUAL(toJson(View).dump(), toJson(*Read).dump());
    CPPUNIT_ASSERT(Read->m_Serving && Read->m_Leaving && !Read->m_Cold);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Read->m_Members);
  }

  /// Guards against a request that is taken for a grant, and lost fields.
  void slotMessagesSurvive() {
    const SlotRequest Request{"n", "g", 1, "s", 2, 3, 4, 5, 6, 7};
    const auto ReadRequest = parseSlotRequest(toJson(Request));
    CPPUNIT_ASSERT(ReadRequest.has_value());
    CPPUNIT_ASSERT_EQUAL(toJson(Request).dump(), toJson(*ReadRequest).dump());
    CPPUNIT_ASSERT(!parseSlotGrant(toJson(Request)));
    SlotGrant Grant;
    Grant.m_Node = "n";
    Grant.m_Server = "g";
    Grant.m_RequestId = 1;
    Grant.m_Epoch = 2;
    Grant.m_StartId = "s";
    Grant.m_Slots = 3;
    Grant.m_Lifetime = std::chrono::milliseconds(900);
    const auto ReadGrant = parseSlotGrant(toJson(Grant));
    CPPUNIT_ASSERT(ReadGrant.has_value());
    CPPUNIT_ASSERT_EQUAL(toJson(Grant).dump(), toJson(*ReadGrant).dump());
    CPPUNIT_ASSERT(ReadGrant->m_Lifetime == Grant.m_Lifetime);
    CPPUNIT_ASSERT(!parseSlotRequest(toJson(Grant)));
  }

  /// Guards against a node that a damaged message stops.
  void damagedMessagesAreRefused() {
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

  /// Guards against peers that never hear of the newest failure.
  void failuresSurviveNewestFirst() {
    const FailureRecords Read =
        decodeFailures(encodeFailures(manyRecords(), 200));
    CPPUNIT_ASSERT(!Read.m_Poison.empty() && !Read.m_Outliers.empty());
    CPPUNIT_ASSERT_EQUAL(ContentHash{99}, Read.m_Poison.front().m_Hash);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Read.m_Poison.front().m_Generation);
    CPPUNIT_ASSERT(Read.m_Poison.front().m_Refused);
    CPPUNIT_ASSERT(Read.m_Poison.front().m_BlamedServers ==
                   std::set<std::string>{"g1"});
    CPPUNIT_ASSERT(Read.m_Poison.front().m_Age == std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::string("group99"),
                         Read.m_Outliers.front().m_Group);
    CPPUNIT_ASSERT(Read.m_Outliers.front().m_Remaining ==
                   std::chrono::seconds(99));
  }

  /// Guards against pings that exceed membership's byte budget.
  void failuresAreBounded() {
    for (const std::size_t Bytes : {0, 8, 20, 100, 200, 400}) {
      const Json Encoded = encodeFailures(manyRecords(), Bytes);
      CPPUNIT_ASSERT(Encoded.is_null() ||
                     Json::to_cbor(Encoded).size() <= Bytes);
    }
    CPPUNIT_ASSERT(encodeFailures({}, 200).is_null());
  }

  /// Guards against an overflow by a damaged age.
  void damagedFailuresDoNoHarm() {
    const Json Row = {1, 1, Json::array({"g"}), true, INT64_MAX};
    const FailureRecords Read =
        decodeFailures({{"p", {Row, {1, 2}}}, {"o", {{"g", 1, 1, INT64_MIN}}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Read.m_Poison.size());
    CPPUNIT_ASSERT(Read.m_Poison[0].m_Age == std::chrono::hours(24));
    for (const Json &Message : {Json(), Json(1), Json{{"p", 1}, {"o", "x"}}})
      CPPUNIT_ASSERT(decodeFailures(Message).m_Poison.empty());
  }

private:
  static FailureRecords manyRecords() {
    FailureRecords Records;
    for (int Index = 0; Index < 100; ++Index) {
      const std::chrono::seconds Age(100 - Index);
      Records.m_Poison.push_back(
          {static_cast<ContentHash>(Index), 2, {"g1"}, true, Age});
      Records.m_Outliers.push_back(
          {"group" + std::to_string(Index), 5, 1, std::chrono::seconds(Index)});
    }
    return Records;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeCodecsTest);

} // namespace fulmarwinch
