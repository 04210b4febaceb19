#include "node/poison_exchange.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

class PoisonExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PoisonExchangeTest);
  CPPUNIT_TEST(recordsSurviveTheLink);
  CPPUNIT_TEST(onlyChangesAreSent);
  CPPUNIT_TEST(malformedRowsAreLeftOut);
  CPPUNIT_TEST_SUITE_END();

  static PoisonRecord record(ContentHash Hash, std::set<std::string> Servers,
                             std::int64_t AgeMs = 0) {
    PoisonRecord Result;
    Result.m_Hash = Hash;
    Result.m_BlamedServers = std::move(Servers);
    Result.m_Age = std::chrono::milliseconds(AgeMs);
    return Result;
  }

public:
  /// Guards against a node that does not learn of the crashes that another
  /// node met, and loses three more backend servers to the same request.
  void recordsSurviveTheLink() {
    PoisonDetector First;
    const MonotonicTime Now = MonotonicTime{} + std::chrono::hours(2);
    for (const char *Server : {"a", "b"}) {
      First.onDispatch(7, Server);
      First.onServerCrash(Server, Now);
    }
    PoisonDetector Second;
    Second.merge(parsePoisonRecords(toJson(First.records(Now))), Now);
    CPPUNIT_ASSERT(Second.verdict(7, Now) == PoisonVerdict::Isolate);
    CPPUNIT_ASSERT(First.beginIsolation(7, "c"));
    First.onDispatch(7, "c");
    First.onServerCrash("c", Now);
    Second.merge(parsePoisonRecords(toJson(First.records(Now))), Now);
    CPPUNIT_ASSERT(Second.verdict(7, Now) == PoisonVerdict::Refuse);
  }

  /// Guards against records that every node sends again and again.
  void onlyChangesAreSent() {
    std::map<ContentHash, PoisonRecord> Told;
    const std::vector<PoisonRecord> Two{record(1, {"a"}, 5),
                                        record(2, {"a"}, 1)};
    const auto Sent = takeNewRecords(Two, Told, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Sent.size());
    CPPUNIT_ASSERT_EQUAL(ContentHash{2}, Sent[0].m_Hash);
    CPPUNIT_ASSERT_EQUAL(ContentHash{1},
                         takeNewRecords(Two, Told, 1)[0].m_Hash);
    CPPUNIT_ASSERT(takeNewRecords(Two, Told, 9).empty());
    const auto Changed =
        takeNewRecords({record(1, {"a", "b"}), Two[1]}, Told, 9);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Changed.size());
    takeNewRecords({}, Told, 9);
    CPPUNIT_ASSERT(Told.empty());
  }

  /// Guards against a message of another version that ends the node.
  void malformedRowsAreLeftOut() {
    const Json Message = {{"r", {1, {{"g", 2}}, {{"h", 3}, {"s", "x"}}}}};
    const auto Records = parsePoisonRecords(Message);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Records.size());
    CPPUNIT_ASSERT(Records[0].m_BlamedServers.empty());
    CPPUNIT_ASSERT(parsePoisonRecords({{"r", 5}}).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoisonExchangeTest);

} // namespace fulmarwinch
