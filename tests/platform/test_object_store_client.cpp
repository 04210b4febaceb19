#include "platform/decoders.h"
#include "platform/object_store_client.h"

#include "asio.hpp"
#include "cppunit/extensions/HelperMacros.h"

#include <optional>

namespace fulmarwinch {

/// Reads of the platform's store whose responses are damaged.
class ObjectStoreClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectStoreClientTest);
  CPPUNIT_TEST(damagedListingIsNoEmptyList);
  CPPUNIT_TEST(damagedWatchDropsNoChanges);
  CPPUNIT_TEST(oddEntryLeavesTheOthers);
  CPPUNIT_TEST(deeplyNestedEntryEndsNoProcess);
  CPPUNIT_TEST(bodyThatACloseEndsIsReadIfItIsWhole);
  CPPUNIT_TEST(damagedObjectIsNoObjectOfRevisionZero);
  CPPUNIT_TEST(positionsNameTheEraOfTheStore);
  CPPUNIT_TEST_SUITE_END();

  /// Store on loopback that sends one response on one connection.
  class OneResponseStore {
  public:
    /// Without \p HasLength, only the end of the connection ends the body.
    /// \p Fields are further header lines.
    OneResponseStore(asio::io_context &Loop, const std::string &Body,
                     bool HasLength = true, const std::string &Fields = "")
        : m_Acceptor(Loop, {asio::ip::address_v4::loopback(), 0}),
          m_Connection(Loop),
          m_Response("HTTP/1.1 200 OK\r\n" + Fields +
                     (HasLength ? "Content-Length: " +
                                      std::to_string(Body.size()) + "\r\n"
                                : std::string()) +
                     "\r\n" + Body) {
      m_Acceptor.async_accept(m_Connection, [this](const asio::error_code &) {
        asio::async_read_until(m_Connection, m_Request, "\r\n\r\n",
                               [this](const asio::error_code &, std::size_t) {
                                 asio::write(m_Connection,
                                             asio::buffer(m_Response));
                                 m_Connection.close();
                               });
      });
    }

    Endpoint endpoint() const {
      return {"127.0.0.1", m_Acceptor.local_endpoint().port()};
    }

  private:
    asio::ip::tcp::acceptor m_Acceptor;
    asio::ip::tcp::socket m_Connection;
    asio::streambuf m_Request;
    std::string m_Response;
  };

  static ObjectsListed list(const std::string &Body, bool HasLength = true,
                            const std::string &Fields = "") {
    asio::io_context Loop;
    OneResponseStore Store(Loop, Body, HasLength, Fields);
    platform::ObjectStoreClient Client(Loop, Store.endpoint());
    std::optional<ObjectsListed> Result;
    Client.list("servers",
                [&](ObjectsListed Listed) { Result = std::move(Listed); });
    while (!Result)
      Loop.run_one();
    return *Result;
  }

  static ObjectsWatched watch(const std::string &Body) {
    asio::io_context Loop;
    OneResponseStore Store(Loop, Body);
    platform::ObjectStoreClient Client(Loop, Store.endpoint());
    std::optional<ObjectsWatched> Result;
    Client.watch("servers", 4, std::chrono::milliseconds(10),
                 [&](ObjectsWatched Watched) { Result = std::move(Watched); });
    while (!Result)
      Loop.run_one();
    return *Result;
  }

  static GetCompleted get(const std::string &Body, bool HasLength) {
    asio::io_context Loop;
    OneResponseStore Store(Loop, Body, HasLength);
    platform::ObjectStoreClient Client(Loop, Store.endpoint());
    std::optional<StoreCompletion> Result;
    Client.start(GetObject{1, "servers/a"},
                 [&](const StoreCompletion &Done) { Result = Done; });
    while (!Result)
      Loop.run_one();
    return std::get<GetCompleted>(*Result);
  }

  /// Revisions go back when the store returns from a copy. Guards against a
  /// position that is compared with one of another era by its revision alone.
  void positionsNameTheEraOfTheStore() {
    const std::string Body =
        "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":4},"
        "\"spec\":{}}],\"as_of\":5}";
    const ObjectsListed Listed = list(Body, true, "Store-Era: 3\r\n");
    CPPUNIT_ASSERT_EQUAL(StoreEra{3}, Listed.m_Era);
    CPPUNIT_ASSERT_EQUAL(StorePosition(3, 5), Listed.m_Position);
    CPPUNIT_ASSERT_EQUAL(StorePosition(3, 4),
                         Listed.m_Objects.at(0).m_Position);
    // A store without eras, and a field that is no number.
    CPPUNIT_ASSERT_EQUAL(StorePosition(5), list(Body).m_Position);
    CPPUNIT_ASSERT_EQUAL(StorePosition(5),
                         list(Body, true, "Store-Era: x\r\n").m_Position);
  }

  /// Guards against a page that counts as whole because its connection ended,
  /// and against a sound one that does not count.
  void bodyThatACloseEndsIsReadIfItIsWhole() {
    const std::string Whole =
        "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":4},"
        "\"spec\":{}}],\"as_of\":5}";
    const ObjectsListed Listed = list(Whole, false);
    CPPUNIT_ASSERT(Listed.m_Outcome == StoreOutcome::Succeeded);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Listed.m_Objects.size());
    for (std::size_t Cut = 0; Cut < Whole.size(); ++Cut)
      CPPUNIT_ASSERT_MESSAGE(Whole.substr(0, Cut),
                             list(Whole.substr(0, Cut), false).m_Outcome !=
                                 StoreOutcome::Succeeded);
  }

  /// Guards against an object whose content is lost because its response was
  /// cut or spoiled.
  void damagedObjectIsNoObjectOfRevisionZero() {
    const std::string Whole =
        "{\"metadata\":{\"name\":\"a\",\"revision\":4},\"spec\":{}}";
    for (const bool HasLength : {true, false}) {
      const GetCompleted Read = get(Whole, HasLength);
      CPPUNIT_ASSERT(Read.m_Outcome == StoreOutcome::Succeeded);
      CPPUNIT_ASSERT_EQUAL(ObjectVersion{4}, Read.m_Version);
      for (const std::string &Body :
           {std::string(), std::string("{}"), Whole.substr(0, 30)})
        CPPUNIT_ASSERT_MESSAGE(Body, get(Body, HasLength).m_Outcome !=
                                         StoreOutcome::Succeeded);
    }
  }

  /// Guards against a node that takes all servers, or all evacuations, for
  /// deleted.
  void damagedListingIsNoEmptyList() {
    for (const char *Body :
         {"{}", "{\"as_of\":5}", "{\"items\":[]}", "[]", "null", "{\"items\"",
          "{\"items\":{},\"as_of\":5}", "{\"items\":[],\"as_of\":\"5\"}",
          "{\"items\":[{\"spec\":{}}],\"as_of\":5}"})
      CPPUNIT_ASSERT_MESSAGE(Body,
                             list(Body).m_Outcome == StoreOutcome::Unavailable);
    const ObjectsListed Sound =
        list(R"({"items":[{"metadata":{"name":"i-1","revision":3},"spec":{}}],
                 "has_more":false,"as_of":5})");
    CPPUNIT_ASSERT(Sound.m_Outcome == StoreOutcome::Succeeded);
    CPPUNIT_ASSERT_EQUAL(StorePosition(5), Sound.m_Position);
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), Sound.m_Objects.front().m_Name);
  }

  /// Guards against a node that advances to a revision whose changes it could
  /// not read.
  void damagedWatchDropsNoChanges() {
    for (const char *Body :
         {"{}", "{\"events\":[]}", "{\"as_of\":\"5\"}",
          "{\"events\":{},\"as_of\":5}", "{\"events\":[{}],\"as_of\":5}"})
      CPPUNIT_ASSERT_MESSAGE(Body, watch(Body).m_Outcome ==
                                       StoreOutcome::Unavailable);
    const ObjectsWatched Unchanged = watch("{\"as_of\":5}");
    CPPUNIT_ASSERT(Unchanged.m_Outcome == StoreOutcome::Succeeded);
    CPPUNIT_ASSERT(Unchanged.m_Changes.empty());
    const ObjectsWatched Sound = watch(
        R"({"events":[{"object":{"metadata":{"name":"i-1","revision":5}},
                       "deleted":true}],"as_of":5})");
    CPPUNIT_ASSERT(Sound.m_Changes.front().m_Deleted);
  }

  static std::string entry(const std::string &Id, const std::string &Port,
                           const std::string &Slots) {
    return R"({"metadata":{"name":")" + Id +
           R"(","revision":3},"spec":{"service":"llm","zone":"a",)"
           R"("version":"v1","born":1,"seq_no":0,"cold_remaining_ms":0,)"
           R"("state":"ready","address":"10.0.0.1:)" +
           Port + R"(","slots":)" + Slots + "}}";
  }

  /// Returns the IDs of the listed or changed servers that can be used.
  static std::vector<std::string>
  usableServers(const std::vector<StoredObject> &Objects) {
    std::vector<std::string> Ids;
    for (const StoredObject &Object : Objects)
      if (platform::decodeServer(Object).ok())
        Ids.push_back(Object.m_Name);
    return Ids;
  }

  /// Checks that \p Odd names no server to use, and that the entries listed and
  /// changed beside it do.
  static void checkOddEntry(const std::string &Odd) {
    const std::vector<std::string> Others{"i-1", "i-3"};
    const std::string Message = Odd.substr(0, 200);
    const ObjectsListed Listed =
        list("{\"items\":[" + entry("i-1", "80", "26") + "," + Odd + "," +
             entry("i-3", "80", "26") + "],\"as_of\":5}");
    CPPUNIT_ASSERT_MESSAGE(Message,
                           Listed.m_Outcome == StoreOutcome::Succeeded);
    CPPUNIT_ASSERT_MESSAGE(Message, usableServers(Listed.m_Objects) == Others);

    const ObjectsWatched Watched =
        watch("{\"events\":[{\"object\":" + entry("i-1", "80", "26") +
              "},{\"object\":" + Odd +
              "},{\"object\":" + entry("i-3", "80", "26") + "}],\"as_of\":5}");
    CPPUNIT_ASSERT_MESSAGE(Message,
                           Watched.m_Outcome == StoreOutcome::Succeeded);
    std::vector<StoredObject> Changed;
    for (const ObjectChange &Change : Watched.m_Changes)
      Changed.push_back(Change.m_Object);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Message, std::size_t{3}, Changed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("i-2"), Changed[1].m_Name);
    CPPUNIT_ASSERT_MESSAGE(Message, usableServers(Changed) == Others);
  }

  /// Another program wrote one entry. Guards against a node that then reads
  /// none of the list, or stops to follow its changes.
  void oddEntryLeavesTheOthers() {
    for (const char *Slots :
         {"1e999", "-1e999", "Infinity", "-Infinity", "NaN", "1e300",
          "123456789012345678901234567890", "-5", "4294967296", "true", "\"4\"",
          "[[[]]]", "{\"x\":1e999}"})
      checkOddEntry(entry("i-2", "80", Slots));
    for (const char *Port : {"0", "-1", "65536", "99999999999999999999", "8e1",
                             "80:80", "x", "", "\xff\xfe", "80\\ud800"})
      checkOddEntry(entry("i-2", Port, "26"));
  }

  /// Guards against one entry that ends each process that reads the list.
  void deeplyNestedEntryEndsNoProcess() {
    for (const std::size_t Depth : {200U, 5000U, 100000U})
      for (const char *Brackets : {"[]", "{}"}) {
        std::string Nested;
        for (std::size_t I = 0; I < Depth; ++I)
          Nested += Brackets[0] == '[' ? "[" : "{\"a\":";
        Nested += "0" + std::string(Depth, Brackets[1]);
        checkOddEntry(entry("i-2", "80", Nested));
      }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectStoreClientTest);

} // namespace fulmarwinch
