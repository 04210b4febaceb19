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
  CPPUNIT_TEST_SUITE_END();

  /// Store on loopback that sends one response on one connection.
  class OneResponseStore {
  public:
    OneResponseStore(asio::io_context &Loop, const std::string &Body)
        : m_Acceptor(Loop, {asio::ip::address_v4::loopback(), 0}),
          m_Connection(Loop),
          m_Response("HTTP/1.1 200 OK\r\nContent-Length: " +
                     std::to_string(Body.size()) + "\r\n\r\n" + Body) {
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

  static ObjectsListed list(const std::string &Body) {
    asio::io_context Loop;
    OneResponseStore Store(Loop, Body);
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
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, Sound.m_Revision);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectStoreClientTest);

} // namespace fulmarwinch
