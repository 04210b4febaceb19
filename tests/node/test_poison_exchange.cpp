#include "node/poison_exchange.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

class PoisonExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PoisonExchangeTest);
  CPPUNIT_TEST(crashRecordsReachOtherNodes);
  CPPUNIT_TEST(onlyChangedRecordsAreSent);
  CPPUNIT_TEST(malformedRowsAreSkipped);
  CPPUNIT_TEST_SUITE_END();

  static PoisonRecord record(ContentHash Hash, std::set<std::string> Servers,
                             std::int64_t AgeMs = 0) {
    PoisonRecord Result;
    Result.m_Hash = Hash;
    Result.m_Age = std::chrono::milliseconds(AgeMs);
    for (const std::string &Server : Servers)
      Result.m_CrashedServers.emplace(Server, Result.m_Age);
    return Result;
  }

public:
  /// Guards against a node that does not receive the crash records of another
  /// node, so that the same request crashes three more backend servers.
  void crashRecordsReachOtherNodes() {
    PoisonDetector FirstNode;
    const MonotonicTime Now = MonotonicTime{} + std::chrono::hours(2);
    for (const char *Server : {"a", "b"}) {
      FirstNode.onDispatch(7, Server);
      FirstNode.onServerCrash(Server, Now);
    }
    PoisonDetector SecondNode;
    SecondNode.merge(parsePoisonRecords(toJson(FirstNode.records(Now))), Now);
    CPPUNIT_ASSERT(SecondNode.verdict(7, Now) == PoisonVerdict::Isolate);
    CPPUNIT_ASSERT(FirstNode.beginIsolation(7, "c"));
    FirstNode.onDispatch(7, "c");
    FirstNode.onServerCrash("c", Now);
    SecondNode.merge(parsePoisonRecords(toJson(FirstNode.records(Now))), Now);
    CPPUNIT_ASSERT(SecondNode.verdict(7, Now) == PoisonVerdict::Refuse);
  }

  /// Guards against unchanged records that every node sends again on each tick.
  void onlyChangedRecordsAreSent() {
    std::map<ContentHash, PoisonRecord> Exchanged;
    const std::vector<PoisonRecord> CurrentRecords{record(1, {"a"}, 5),
                                                   record(2, {"a"}, 1)};
    const auto Sent = selectChangedRecords(CurrentRecords, Exchanged, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Sent.size());
    CPPUNIT_ASSERT_EQUAL(ContentHash{2}, Sent[0].m_Hash);
    CPPUNIT_ASSERT_EQUAL(
        ContentHash{1},
        selectChangedRecords(CurrentRecords, Exchanged, 1)[0].m_Hash);
    CPPUNIT_ASSERT(selectChangedRecords(CurrentRecords, Exchanged, 9).empty());
    const auto Changed = selectChangedRecords(
        {record(1, {"a", "b"}), CurrentRecords[1]}, Exchanged, 9);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Changed.size());
    selectChangedRecords({}, Exchanged, 9);
    CPPUNIT_ASSERT(Exchanged.empty());
  }

  /// Guards against a node that crashes on a message of another software
  /// version.
  void malformedRowsAreSkipped() {
    const Json Message = {{"r", {1, {{"g", 2}}, {{"h", 3}, {"s", "x"}}}}};
    const auto Records = parsePoisonRecords(Message);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Records.size());
    CPPUNIT_ASSERT(Records[0].m_CrashedServers.empty());
    CPPUNIT_ASSERT(parsePoisonRecords({{"r", 5}}).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoisonExchangeTest);

} // namespace fulmarwinch
