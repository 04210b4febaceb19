#include "tests/proxy/relay_fixture.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::milliseconds;

/// Connections of clients at the moment at which a node stops to accept them.
class PlannedStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlannedStopTest);
  CPPUNIT_TEST(connectionsInTheAcceptQueueAreServed);
  CPPUNIT_TEST(requestThatWasNotReadYetIsServed);
  CPPUNIT_TEST(requestOnTheWayOfANewConnectionIsServed);
  CPPUNIT_TEST(halfReadRequestIsServed);
  CPPUNIT_TEST(idleConnectionsAreClosed);
  CPPUNIT_TEST(nothingIsReadAfterTheLastResponse);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char *Response =
      "HTTP/1.1 200 OK\r\nX-Id: 77\r\nX-Digest: d\r\nContent-Length: 4\r\n\r\n"
      "body";

  static void configure(RelayFixture &Fixture) {
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    for (auto *Server :
         {Fixture.m_FirstServer.get(), Fixture.m_SecondServer.get()})
      for (int I = 0; I < 50; ++I)
        Server->addResponse({Response});
  }

  static void stop(RelayFixture &Fixture) {
    Fixture.listener().stopAccepting();
    Fixture.listener().closeIdleConnections();
  }

  static void assertServed(RelayFixture &Fixture,
                           asio::ip::tcp::socket &Client) {
    const std::string Received = Fixture.receiveAll(Client);
    CPPUNIT_ASSERT_MESSAGE(Received,
                           Received.find("HTTP/1.1 200 ") == 0 &&
                               Received.find("body") != std::string::npos);
  }

  /// Clients have connected and sent requests, but the node has not called
  /// accept() yet. Guards against resetting them with the listening socket.
  void connectionsInTheAcceptQueueAreServed() {
    RelayFixture Fixture;
    configure(Fixture);
    std::vector<asio::ip::tcp::socket> Clients;
    for (int I = 0; I < 20; ++I) {
      Clients.push_back(Fixture.connectClient());
      const std::string Text = Fixture.formatRequestBytes("", "");
      asio::write(Clients.back(), asio::buffer(Text));
    }
    stop(Fixture);
    for (asio::ip::tcp::socket &Client : Clients)
      assertServed(Fixture, Client);
  }

  /// The request lies in the socket's buffer. Guards against closing the
  /// connection as idle, which resets it.
  void requestThatWasNotReadYetIsServed() {
    RelayFixture Fixture;
    configure(Fixture);
    asio::ip::tcp::socket Client = Fixture.connectClient();
    Fixture.runFor(milliseconds(1200));
    const std::string Text = Fixture.formatRequestBytes("", "");
    asio::write(Client, asio::buffer(Text));
    stop(Fixture);
    assertServed(Fixture, Client);
  }

  /// The connection has just been accepted. Guards against closing it before
  /// its first request arrives.
  void requestOnTheWayOfANewConnectionIsServed() {
    RelayFixture Fixture;
    configure(Fixture);
    asio::ip::tcp::socket Client = Fixture.connectClient();
    Fixture.runFor(milliseconds(20));
    stop(Fixture);
    Fixture.runFor(milliseconds(200));
    const std::string Text = Fixture.formatRequestBytes("", "");
    asio::write(Client, asio::buffer(Text));
    assertServed(Fixture, Client);
  }

  void halfReadRequestIsServed() {
    RelayFixture Fixture;
    configure(Fixture);
    asio::ip::tcp::socket Client = Fixture.connectClient();
    const std::string Text = Fixture.formatRequestBytes("", "");
    asio::write(Client, asio::buffer(Text, 30));
    Fixture.runFor(milliseconds(1200));
    stop(Fixture);
    asio::write(Client, asio::buffer(Text) + 30);
    assertServed(Fixture, Client);
  }

  /// Guards against a node that does not end because a client keeps a
  /// connection open.
  void idleConnectionsAreClosed() {
    RelayFixture Fixture;
    configure(Fixture);
    asio::ip::tcp::socket Client = Fixture.connectClient();
    Fixture.runFor(milliseconds(1200));
    stop(Fixture);
    const MonotonicTime Start = monotonicNow();
    CPPUNIT_ASSERT_EQUAL(std::string(), Fixture.receiveAll(Client));
    CPPUNIT_ASSERT(monotonicNow() - Start < milliseconds(500));
  }

  /// A client sends a request after the one whose response ends the connection.
  /// Guards against a request that is read and gets no response.
  void nothingIsReadAfterTheLastResponse() {
    RelayFixture Fixture;
    configure(Fixture);
    asio::ip::tcp::socket Client = Fixture.connectClient();
    const std::string Text = Fixture.formatRequestBytes("", "");
    asio::write(Client, asio::buffer(Text));
    Fixture.runFor(milliseconds(100));
    asio::write(Client, asio::buffer(Text));
    Fixture.runFor(milliseconds(100));
    CPPUNIT_ASSERT_MESSAGE(Fixture.m_Metrics.prometheusText(),
                           Fixture.m_Metrics.prometheusText().find(
                               "status=\"404\"") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Fixture.m_FirstServer->requests().size() +
                             Fixture.m_SecondServer->requests().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopTest);

} // namespace fulmarwinch
