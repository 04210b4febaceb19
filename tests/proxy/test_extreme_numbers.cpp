#include "tests/proxy/relay_fixture.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Numbers of clients that are larger than any time or size.
class ExtremeNumbersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExtremeNumbersTest);
  CPPUNIT_TEST(longestTimeLeftIsThatOfTheRoute);
  CPPUNIT_TEST(tokensWithoutEndRaiseDemandByABoundedAmount);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<std::string> extremes() {
    return {"9223372036854775807", "9223372036854775", "18446744073709551615"};
  }

  /// Guards against a time that overflows, so that the request counts as late
  /// at once.
  void longestTimeLeftIsThatOfTheRoute() {
    for (const std::string &Time : extremes()) {
      RelayFixture Fixture;
      Fixture.configure(RequestKind::Idempotent, 1, false);
      addResponses(Fixture, 1, shortResponse(200, ""), shortResponse(200, ""));
      asio::ip::tcp::socket Client = Fixture.connectClient();
      const std::string Text = "GET /a HTTP/1.1\r\nHost: h\r\nX-Id: 77\r\n"
                               "X-Key: key\r\nConnection: close\r\n"
                               "X-Left: " +
                               Time + "\r\n\r\n";
      asio::write(Client, asio::buffer(Text));
      const std::string Received = Fixture.receiveAll(Client);
      CPPUNIT_ASSERT_MESSAGE(Time + Received,
                             Received.find("HTTP/1.1 200 ") == 0);
      const auto &Requests = Fixture.m_FirstServer->requests().empty()
                                 ? Fixture.m_SecondServer->requests()
                                 : Fixture.m_FirstServer->requests();
      const std::size_t Left = Requests.at(0).find("X-Left: ");
      CPPUNIT_ASSERT(Left != std::string::npos);
      const int LeftMs = std::stoi(Requests.at(0).substr(Left + 8));
      CPPUNIT_ASSERT(LeftMs > 100 && LeftMs <= 700);
    }
  }

  /// Guards against an estimate that overflows and becomes negative or
  /// infinite for all requests of the model.
  void tokensWithoutEndRaiseDemandByABoundedAmount() {
    for (const std::string &Tokens : extremes()) {
      RelayFixture Fixture;
      Fixture.configureGroups();
      Fixture.requestAndDisconnect(std::chrono::milliseconds(100),
                                   "X-Model: m\r\nX-Tokens: " + Tokens + "," +
                                       Tokens + "\r\n");
      const auto Demand =
          Fixture.m_Context.m_DemandEstimator.busyGroupsByModel(monotonicNow());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Demand.size());
      const double Groups = Demand.begin()->second;
      CPPUNIT_ASSERT(Groups > 0.0 && Groups < 1e9);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExtremeNumbersTest);

} // namespace fulmarwinch
