#include "tests/proxy/relay_fixture.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Responses that end with their head, each followed by another response on the
/// same connection.
class HeadRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeadRequestsTest);
  CPPUNIT_TEST(nothingFollowsTheHeadOfAResponseToHead);
  CPPUNIT_TEST(nothingFollowsAStatusWithoutABody);
  CPPUNIT_TEST(errorsOfTheNodeEndWithTheirHead);
  CPPUNIT_TEST(lengthOfTheOmittedBodyIsTold);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<RequestKind> kinds() {
    return {RequestKind::Idempotent, RequestKind::NonIdempotent,
            RequestKind::Streaming};
  }

  static std::string headRequest(const std::string &Id) {
    return "HEAD /a HTTP/1.1\r\nHost: h\r\nX-Id: " + Id +
           "\r\nX-Left: 2000\r\nX-Key: key\r\n\r\n";
  }

  static std::string withoutBody(const std::string &Status,
                                 const std::string &Fields) {
    return "HTTP/1.1 " + Status + " Any\r\nX-Id: 76\r\nX-Digest: d\r\n" +
           Fields + "\r\n";
  }

  /// Sends \p First and then the request of the fixture on one connection.
  /// Returns the head of the first response; asserts that the second response
  /// begins directly behind it.
  static std::string headOfFirst(RelayFixture &Fixture,
                                 const std::string &First) {
    asio::ip::tcp::socket Client = Fixture.connectClient();
    asio::write(Client, asio::buffer(First));
    Fixture.runFor(std::chrono::milliseconds(100));
    asio::write(Client, asio::buffer(Fixture.formatRequestBytes("", "payout")));
    const std::string Received = Fixture.receiveAll(Client);
    const std::size_t End = Received.find("\r\n\r\n");
    CPPUNIT_ASSERT_MESSAGE(Received, End != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(Received,
                           Received.compare(End + 4, 13, "HTTP/1.1 200 ") == 0);
    CPPUNIT_ASSERT_MESSAGE(Received, Received.find("id: 1\ndata: x\n\n", End) !=
                                         std::string::npos);
    return Received.substr(0, End + 2);
  }

  /// A response that is sound on each kind of route.
  static std::string stream() {
    return "HTTP/1.1 200 Any\r\nX-Id: 77\r\nX-Digest: d\r\n"
           "Content-Type: text/event-stream\r\n"
           "Content-Length: 15\r\n\r\nid: 1\ndata: x\n\n";
  }

  /// A fixture whose servers answer the first request with \p First.
  struct Scenario : RelayFixture {
    Scenario(RequestKind Kind, const std::string &First) {
      configure(Kind, 1, false);
      for (ScriptedServer *Server : {m_FirstServer.get(), m_SecondServer.get()})
        Server->onRequest([this, Server, First] {
          Server->replaceResponses(++m_Arrivals == 1
                                       ? ScriptedServer::Response{First}
                                       : ScriptedServer::Response{stream()});
        });
    }
    std::size_t m_Arrivals = 0;
  };

  /// Guards against the last chunk or another byte of a body that runs into the
  /// next response.
  void nothingFollowsTheHeadOfAResponseToHead() {
    for (const RequestKind Kind : kinds())
      for (const std::string Fields :
           {"", "Transfer-Encoding: chunked\r\n", "Content-Length: 1234\r\n",
            "Content-Type: text/event-stream\r\n", "Connection: close\r\n"}) {
        Scenario Path(Kind, withoutBody("200", Fields));
        const std::string Head = headOfFirst(Path, headRequest("76"));
        CPPUNIT_ASSERT_MESSAGE(Head, Head.find("HTTP/1.1 200 ") == 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Path.m_Arrivals);
      }
  }

  /// Guards against the same for a status that never has a body.
  void nothingFollowsAStatusWithoutABody() {
    for (const RequestKind Kind : kinds())
      for (const std::string Status : {"204", "304"}) {
        Scenario Path(Kind, withoutBody(Status, ""));
        const std::string Head =
            headOfFirst(Path, "GET /a HTTP/1.1\r\nHost: h\r\nX-Id: 76\r\n"
                              "X-Left: 2000\r\nX-Key: key\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(Head, Head.find("HTTP/1.1 " + Status) == 0);
        CPPUNIT_ASSERT(Head.find("Content-Length") == std::string::npos);
      }
  }

  /// Guards against the text of an error behind the head of a response to HEAD.
  void errorsOfTheNodeEndWithTheirHead() {
    for (const RequestKind Kind : kinds()) {
      Scenario Path(Kind, "no HTTP\r\n\r\n");
      const std::string Head = headOfFirst(Path, headRequest("76"));
      CPPUNIT_ASSERT_MESSAGE(Head, Head.find("HTTP/1.1 502 ") == 0);
    }
  }

  /// Guards against a length that differs from that of the response to GET.
  void lengthOfTheOmittedBodyIsTold() {
    Scenario Path(RequestKind::Idempotent,
                  withoutBody("200", "Content-Length: 1234\r\n"));
    const std::string Head = headOfFirst(Path, headRequest("76"));
    CPPUNIT_ASSERT_MESSAGE(Head, Head.find("Content-Length: 1234\r\n") !=
                                     std::string::npos);
    CPPUNIT_ASSERT(Head.find("Content-Length: 0") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeadRequestsTest);

} // namespace fulmarwinch
