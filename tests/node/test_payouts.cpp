#include "core/time.h"
#include "tests/node/gateway_fixture.h"

#include "asio.hpp"
#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <atomic>
#include <future>
#include <thread>

namespace fulmarwinch {

/// Non-idempotent requests through the gateway to a payout service.
class PayoutsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PayoutsTest);
  CPPUNIT_TEST(repeatedPayoutReplaysOutcome);
  CPPUNIT_TEST(truncatedOutcomeIsNotReplayed);
  CPPUNIT_TEST(interruptedOutcomeIsUnknown);
  CPPUNIT_TEST(refusalOfAPayoutThatRanIsUnknown);
  CPPUNIT_TEST(lostStoreResponsesDoNotRepeatPayouts);
  CPPUNIT_TEST(storeOutageRefusesPayoutAsNotRun);
  CPPUNIT_TEST(everyPathSpellingRequiresIdempotencyKey);
  CPPUNIT_TEST(expiredClaimBucketsAreDeleted);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a payout that runs again, or a different body that is
  /// accepted under the same key.
  void repeatedPayoutReplaysOutcome() {
    const std::string Key = newKey();
    const HttpClient::Response First = pay(Key, {{"sum", 1}});
    const HttpClient::Response Second = pay(Key, {{"sum", 1}});
    CPPUNIT_ASSERT_EQUAL(200, First.m_Result.m_Status);
    CPPUNIT_ASSERT_EQUAL(200, Second.m_Result.m_Status);
    CPPUNIT_ASSERT_EQUAL(First.m_Body, Second.m_Body);
    CPPUNIT_ASSERT(findHeader(Second.m_Headers, "X-Idempotent-Replay") ==
                   "true");
    const HttpClient::Response OtherBody = pay(Key, {{"sum", 2}});
    CPPUNIT_ASSERT_EQUAL(std::string("key_reused"),
                         errorOf(OtherBody)["type"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(1, executions(Key));
  }

  /// Guards against a replay of only the recorded start of a long response, as
  /// if it were the complete one.
  void truncatedOutcomeIsNotReplayed() {
    HttpServer LongResponseService;
    HttpServerOptions Options;
    Options.m_Port = m_Fixture.m_ServicePort;
    m_Fixture.m_Service.stop();
    std::atomic<int> Calls{0};
    CPPUNIT_ASSERT(LongResponseService
                       .start(Options,
                              [&Calls](const HttpExchangePtr &Exchange) {
                                ++Calls;
                                Exchange->respond(
                                    jsonResponse(200, std::string(5000, '1')));
                              })
                       .ok());
    const std::string Key = newKey();
    CPPUNIT_ASSERT_EQUAL(std::size_t{5000}, pay(Key, {}).m_Body.size());
    const HttpClient::Response Second = pay(Key, {});
    CPPUNIT_ASSERT_EQUAL(409, Second.m_Result.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("ran"), outcomeOf(Second));
    CPPUNIT_ASSERT_EQUAL(1, Calls.load());
  }

  /// The service breaks off its response by closing the connection. Guards
  /// against the part that is passed on, recorded and replayed as the whole
  /// one.
  void interruptedOutcomeIsUnknown() {
    m_Fixture.m_Service.stop();
    asio::io_context Context;
    asio::ip::tcp::acceptor Acceptor(
        Context, {asio::ip::address_v4::loopback(), m_Fixture.m_ServicePort});
    std::thread Service([&] {
      asio::ip::tcp::socket Socket = Acceptor.accept();
      std::string Request;
      asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n{}");
      asio::write(Socket,
                  asio::buffer(std::string(
                      "HTTP/1.1 200 OK\r\n"
                      "Content-Type: application/json\r\n\r\n{\"paid\":")));
    });
    const std::string Key = newKey();
    const HttpClient::Response First = pay(Key, Json::object());
    Service.join();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(First.m_Body, 502, First.m_Result.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), outcomeOf(First));
    const HttpClient::Response Second = pay(Key, Json::object());
    CPPUNIT_ASSERT(Second.m_Result.m_Status != 200);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), outcomeOf(Second));
  }

  /// The service runs a payout and refuses it all the same. Guards against a
  /// status that tells the client that it has not run, and against its replay.
  void refusalOfAPayoutThatRanIsUnknown() {
    for (const int Status : {408, 421, 429, 503}) {
      m_Fixture.m_Service.control(
          {{"fail_after", 1.0}, {"fail_after_status", Status}});
      const std::string Key = newKey();
      for (int Attempt = 0; Attempt < 2; ++Attempt) {
        const HttpClient::Response Response = pay(Key, {});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Response.m_Body, 502,
                                     Response.m_Result.m_Status);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), outcomeOf(Response));
        CPPUNIT_ASSERT_EQUAL(1, executions(Key));
      }
    }
  }

  /// Guards against payouts that run twice, and against wrong outcomes, when
  /// responses of the platform are lost after the write took effect.
  void lostStoreResponsesDoNotRepeatPayouts() {
    m_Fixture.m_Platform.control({{"lose_answers", 0.3}, {"seed", 7}});
    for (int Index = 0; Index < 15; ++Index) {
      const std::string Key = newKey();
      for (int Attempt = 0; Attempt < 2; ++Attempt) {
        const HttpClient::Response Response = pay(Key, {});
        if (Response.m_Result.m_Status == 200)
          CPPUNIT_ASSERT_EQUAL(1, executions(Key));
        else if (Attempt == 0 && outcomeOf(Response) == "not_run")
          CPPUNIT_ASSERT_EQUAL(0, executions(Key));
      }
    }
    CPPUNIT_ASSERT_EQUAL(
        0, m_Fixture.m_Service.status()["keys_executed_more_than_once"]
               .get<int>());
  }

  /// Guards against a payout that runs although its claim could not be stored.
  void storeOutageRefusesPayoutAsNotRun() {
    m_Fixture.m_Platform.control({{"outage", true}});
    const std::string Key = newKey();
    const HttpClient::Response Response = pay(Key, {});
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), outcomeOf(Response));
    CPPUNIT_ASSERT_EQUAL(0, executions(Key));
  }

  /// Guards against a payout that runs without a claim because a different
  /// spelling of its path does not match the declared prefix.
  void everyPathSpellingRequiresIdempotencyKey() {
    for (const char *Path :
         {"/payouts", "/%70ayouts", "//payouts", "/x/%2e%2e/payouts",
          "/%2fpayouts", "/.%2fpayouts", "/payouts%00", "/;/payouts"}) {
      const HttpClient::Response Response =
          BackgroundCall(
              m_Fixture.m_TestClient,
              m_Fixture.post(fmt::format("/services/pay{}", Path), {}))
              .wait();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Path, 400, Response.m_Result.m_Status);
    }
    CPPUNIT_ASSERT(m_Fixture.m_Service.status()["executions"].empty());
    HttpCall Lookup = m_Fixture.post("/services/pay/balance/", {});
    Lookup.m_Method = "GET";
    CPPUNIT_ASSERT_EQUAL(200, BackgroundCall(m_Fixture.m_TestClient, Lookup)
                                  .wait()
                                  .m_Result.m_Status);
  }

  /// Guards against claim objects that accumulate in the object store, and
  /// against the deletion of a claim that still protects its payout.
  void expiredClaimBucketsAreDeleted() {
    const std::string Key = newKey();
    CPPUNIT_ASSERT_EQUAL(200, pay(Key, {}).m_Result.m_Status);
    runStoreAction(PutObject{1, "claims/1/7", 0, "{}"});
    CPPUNIT_ASSERT(isStored("claims/1/7"));
    m_Fixture.m_Claims.collectGarbage();
    waitFor("the old bucket is deleted",
            [this] { return !isStored("claims/1/7"); });
    CPPUNIT_ASSERT_EQUAL(200, pay(Key, {}).m_Result.m_Status);
    CPPUNIT_ASSERT_EQUAL(1, executions(Key));
  }

private:
  StoreCompletion runStoreAction(StoreAction Action) {
    std::promise<StoreCompletion> Done;
    m_Fixture.m_Store.start(std::move(Action), [&Done](StoreCompletion Event) {
      Done.set_value(std::move(Event));
    });
    return Done.get_future().get();
  }

  bool isStored(const std::string &Key) {
    return std::get<GetCompleted>(runStoreAction(GetObject{1, Key}))
               .m_Outcome == StoreOutcome::Succeeded;
  }

  std::string newKey() {
    return fmt::format("{}-payout{}", unixNow(), m_NextKey++);
  }

  HttpClient::Response pay(const std::string &Key, const Json &Body) {
    return BackgroundCall(m_Fixture.m_TestClient,
                          m_Fixture.post("/services/pay/payouts", Body,
                                         {{"Idempotency-Key", Key}}))
        .wait();
  }

  static Json errorOf(const HttpClient::Response &Response) {
    return Json::parse(Response.m_Body)["error"];
  }
  static std::string outcomeOf(const HttpClient::Response &Response) {
    return errorOf(Response)["outcome"].get<std::string>();
  }

  int executions(const std::string &Key) {
    return fieldOr(m_Fixture.m_Service.status()["executions"], Key.c_str(), 0);
  }

  int m_NextKey = 0;
  GatewayFixture m_Fixture;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PayoutsTest);

} // namespace fulmarwinch
