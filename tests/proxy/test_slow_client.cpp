#include "tests/proxy/relay_fixture.h"

#include "cppunit/extensions/HelperMacros.h"

#include <sstream>

namespace fulmarwinch {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Memory that a node holds for clients that do not read.
class SlowClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlowClientTest);
  CPPUNIT_TEST(streamIsReadNoFurtherWhileItsClientDoesNotRead);
  CPPUNIT_TEST(responseWaitsUntilTheNodeHoldsLess);
  CPPUNIT_TEST(shortResponseIsReadAlthoughTheNodeIsFull);
  CPPUNIT_TEST(responsesThatArriveAtOnceStayWithinTheBudget);
  CPPUNIT_TEST(responsesOfUnknownLengthDoNotWaitForEachOther);
  CPPUNIT_TEST(pipelinedRequestWaitsForTheLastResponse);
  CPPUNIT_TEST(unreadResponseOutlastsTheIdleTime);
  CPPUNIT_TEST(closedConnectionReturnsItsMemory);
  CPPUNIT_TEST_SUITE_END();

  using ConnectionEnd = ScriptedServer::Response::ConnectionEnd;

  static constexpr std::size_t Megabyte = std::size_t{1024} * 1024;

  static std::string head(const std::string &Fields) {
    return "HTTP/1.1 200 OK\r\nX-Id: 77\r\nX-Digest: d\r\n" + Fields + "\r\n";
  }

  static std::string chunk(const std::string &Bytes) {
    std::ostringstream Text;
    Text << std::hex << Bytes.size() << "\r\n" << Bytes << "\r\n";
    return Text.str();
  }

  static std::string event(std::size_t Id, std::size_t Size) {
    return "id: " + std::to_string(Id) + "\ndata: " + std::string(Size, 'x') +
           "\n\n";
  }

  static void extendTimeout(RelayFixture &Fixture) {
    TrafficConfiguration Configuration =
        Fixture.m_Context.m_RouteTable->configuration();
    Configuration.m_Routes.front().m_Timeout = seconds(10);
    Fixture.m_Context.m_RouteTable =
        std::make_shared<RouteTable>(std::move(Configuration));
  }

  /// Connects a client whose kernel holds little of a response, and sends a
  /// request.
  static asio::ip::tcp::socket connectSmallClient(RelayFixture &Fixture) {
    asio::ip::tcp::socket Client(Fixture.m_Loop);
    Client.open(asio::ip::tcp::v4());
    Client.set_option(asio::socket_base::receive_buffer_size(4096));
    Client.connect(Fixture.clientEndpoint());
    asio::write(Client, asio::buffer(Fixture.formatRequestBytes("", "")));
    return Client;
  }

  static std::string longStream() {
    std::string Result =
        head("Content-Type: text/event-stream\r\nTransfer-Encoding: "
             "chunked\r\n");
    for (std::size_t Id = 1; Id <= 3000; ++Id)
      Result += chunk(event(Id, 4000));
    return Result + "0\r\n\r\n";
  }

  /// Guards against a node that reads a whole stream into memory, and against
  /// one that closes the connection of a client that pauses.
  void streamIsReadNoFurtherWhileItsClientDoesNotRead() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::Streaming, 1, false);
    extendTimeout(Fixture);
    Fixture.m_Context.m_Memory->setLimits(8 * Megabyte, Megabyte);
    const ScriptedServer::Response Stream{longStream(), ConnectionEnd::Close};
    addResponses(Fixture, 1, Stream, Stream);
    asio::ip::tcp::socket Client = connectSmallClient(Fixture);
    Fixture.runFor(milliseconds(500));
    CPPUNIT_ASSERT(Fixture.m_Context.m_Memory->budget()->used() < Megabyte / 2);
    CPPUNIT_ASSERT(Fixture.m_Metrics.counter("response_pauses_total") > 0);
    const std::string Received = Fixture.receiveAll(Client);
    CPPUNIT_ASSERT(Fixture.isLastResponseComplete());
    for (const std::size_t Id : {1, 1500, 3000})
      CPPUNIT_ASSERT(Received.find(event(Id, 4000)) != std::string::npos);
  }

  static ScriptedServer::Response answer(std::size_t Size) {
    return {head("Content-Length: " + std::to_string(Size) + "\r\n") +
                std::string(Size, 'a'),
            ConnectionEnd::Close};
  }

  /// Lets \p Others hold all of the memory once a server has the request: a
  /// full node does not accept one.
  static void fillWhileTheServerAnswers(RelayFixture &Fixture,
                                        MemoryReservation &Others) {
    for (ScriptedServer *Server :
         {Fixture.m_FirstServer.get(), Fixture.m_SecondServer.get()})
      Server->onRequest(
          [&] { Others.set(Fixture.m_Context.m_Memory->budget()->limit()); });
  }

  /// Guards against many answers that exceed the memory together, and against
  /// one that is given up for it.
  void responseWaitsUntilTheNodeHoldsLess() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    extendTimeout(Fixture);
    addResponses(Fixture, 1, answer(Megabyte), answer(Megabyte));
    ClientMemory &Memory = *Fixture.m_Context.m_Memory;
    Memory.setLimits(2 * Megabyte, Megabyte);
    MemoryReservation Others(Memory.budget());
    fillWhileTheServerAnswers(Fixture, Others);
    asio::ip::tcp::socket Client = connectSmallClient(Fixture);
    Fixture.runFor(milliseconds(300));
    CPPUNIT_ASSERT(Memory.budget()->used() < 2 * Megabyte + Megabyte / 4);
    CPPUNIT_ASSERT(Memory.excess() > Megabyte);
    Others.set(0);
    CPPUNIT_ASSERT(Fixture.receiveAll(Client).size() > Megabyte);
    CPPUNIT_ASSERT(Fixture.isLastResponseComplete());
  }

  /// Guards against short answers that wait for the memory of long ones.
  void shortResponseIsReadAlthoughTheNodeIsFull() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    addResponses(Fixture, 1, answer(1000), answer(1000));
    ClientMemory &Memory = *Fixture.m_Context.m_Memory;
    Memory.setLimits(Megabyte, Megabyte);
    MemoryReservation Others(Memory.budget());
    fillWhileTheServerAnswers(Fixture, Others);
    CPPUNIT_ASSERT(Fixture.request().size() > 1000);
    CPPUNIT_ASSERT(Fixture.isLastResponseComplete());
  }

  /// Sends requests from clients that read their answers one after the other,
  /// and returns the most memory held meanwhile.
  static std::size_t receiveAllAnswers(RelayFixture &Fixture, std::size_t Count,
                                       std::size_t Size) {
    const ClientMemory &Memory = *Fixture.m_Context.m_Memory;
    std::vector<asio::ip::tcp::socket> Clients;
    for (std::size_t I = 0; I < Count; ++I)
      Clients.push_back(connectSmallClient(Fixture));
    std::size_t MostUsed = 0;
    for (asio::ip::tcp::socket &Client : Clients) {
      for (int I = 0; I < 20; ++I) {
        Fixture.runFor(milliseconds(10));
        MostUsed = std::max(MostUsed, Memory.budget()->used());
      }
      CPPUNIT_ASSERT(Fixture.receiveAll(Client).size() > Size);
      CPPUNIT_ASSERT(Fixture.isLastResponseComplete());
    }
    return MostUsed;
  }

  /// Guards against a burst of answers, each of which is read whole because the
  /// one before has been.
  void responsesThatArriveAtOnceStayWithinTheBudget() {
    constexpr std::size_t Count = 6;
    RelayFixture Fixture;
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    extendTimeout(Fixture);
    addResponses(Fixture, Count, answer(Megabyte), answer(Megabyte));
    Fixture.m_Context.m_Memory->setLimits(4 * Megabyte, Megabyte);
    CPPUNIT_ASSERT(receiveAllAnswers(Fixture, Count, Megabyte) <= 4 * Megabyte);
  }

  /// Guards against answers that all wait for each other until their deadlines.
  void responsesOfUnknownLengthDoNotWaitForEachOther() {
    constexpr std::size_t Count = 6;
    RelayFixture Fixture;
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    extendTimeout(Fixture);
    std::string Answer = head("Transfer-Encoding: chunked\r\n");
    for (std::size_t Bytes = 0; Bytes < Megabyte; Bytes += 4096)
      Answer += chunk(std::string(4096, 'a'));
    const ScriptedServer::Response Response{Answer + "0\r\n\r\n",
                                            ConnectionEnd::Close};
    addResponses(Fixture, Count, Response, Response);
    Fixture.m_Context.m_Memory->setLimits(4 * Megabyte, Megabyte);
    CPPUNIT_ASSERT(receiveAllAnswers(Fixture, Count, Megabyte) <= 4 * Megabyte);
  }

  /// Guards against a client that lets one answer after the other wait on the
  /// node.
  void pipelinedRequestWaitsForTheLastResponse() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    extendTimeout(Fixture);
    addResponses(Fixture, 3, answer(8 * Megabyte), answer(8 * Megabyte));
    asio::ip::tcp::socket Client(Fixture.m_Loop);
    Client.open(asio::ip::tcp::v4());
    Client.set_option(asio::socket_base::receive_buffer_size(4096));
    Client.connect(Fixture.clientEndpoint());
    std::string Request = Fixture.formatRequestBytes("", "");
    Request.replace(Request.find("Connection: close"), 17, "X-Other: keep-it ");
    asio::write(Client, asio::buffer(Request + Request + Request));
    Fixture.runFor(milliseconds(500));
    const auto ReceivedRequests = [&] {
      return Fixture.m_FirstServer->requests().size() +
             Fixture.m_SecondServer->requests().size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ReceivedRequests());
    CPPUNIT_ASSERT(Fixture.m_Context.m_Memory->budget()->used() < 9 * Megabyte);
    Fixture.receiveAll(Client);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ReceivedRequests());
  }

  /// Guards against an idle timer that cuts the answer of a slow client.
  void unreadResponseOutlastsTheIdleTime() {
    RelayFixture Fixture;
    Fixture.m_ClientLimits.m_IdleTimeout = milliseconds(100);
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    addResponses(Fixture, 1, answer(8 * Megabyte), answer(8 * Megabyte));
    asio::ip::tcp::socket Client(Fixture.m_Loop);
    Client.open(asio::ip::tcp::v4());
    Client.set_option(asio::socket_base::receive_buffer_size(4096));
    Client.connect(Fixture.clientEndpoint());
    std::string Request = Fixture.formatRequestBytes("", "");
    Request.replace(Request.find("Connection: close"), 17, "X-Other: keep-it ");
    asio::write(Client, asio::buffer(Request));
    Fixture.runFor(milliseconds(600));
    CPPUNIT_ASSERT(Fixture.receiveAll(Client).size() > 8 * Megabyte);
    CPPUNIT_ASSERT(Fixture.isLastResponseComplete());
  }

  void closedConnectionReturnsItsMemory() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::NonIdempotent, 1, false);
    extendTimeout(Fixture);
    addResponses(Fixture, 1, answer(8 * Megabyte), answer(8 * Megabyte));
    ClientMemory &Memory = *Fixture.m_Context.m_Memory;
    {
      asio::ip::tcp::socket Client = connectSmallClient(Fixture);
      Fixture.runFor(milliseconds(300));
      CPPUNIT_ASSERT(Memory.budget()->used() > 8 * Megabyte);
      const auto Connections = Fixture.listener().openConnections();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Connections.size());
      const MonotonicTime Now = monotonicNow();
      Connections.front()->sampleState(Now);
      const ConnectionState State =
          Connections.front()->sampleState(Now + seconds(2));
      CPPUNIT_ASSERT(State.m_Activity == ConnectionState::Activity::Sending);
      CPPUNIT_ASSERT(State.m_HeldBytes > 8 * Megabyte);
      CPPUNIT_ASSERT(State.m_Since == Now);
      Connections.front()->shed();
      Fixture.receiveAll(Client);
      CPPUNIT_ASSERT(!Fixture.isLastResponseComplete());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Memory.budget()->used());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowClientTest);

} // namespace fulmarwinch
