#include "proxy/http_stream_parser.h"

#include "cppunit/extensions/HelperMacros.h"

#include <random>

namespace fulmarwinch {

/// Tests the HTTP parser with split, ambiguous, malformed and random input.
class HttpStreamParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpStreamParserTest);
  CPPUNIT_TEST(requestParsesTheSameAtEverySplit);
  CPPUNIT_TEST(bytesOfTheNextRequestAreNotConsumed);
  CPPUNIT_TEST(requestSmugglingIsRejected);
  CPPUNIT_TEST(oversizedHeadIsRejected);
  CPPUNIT_TEST(responseWithoutLengthEndsAtConnectionClose);
  CPPUNIT_TEST(interimResponseIsSkipped);
  CPPUNIT_TEST(bytesAfterTheResponseAreNotDelivered);
  CPPUNIT_TEST(randomBytesDoNotCrashTheParser);
  CPPUNIT_TEST_SUITE_END();

  struct Collector : HttpMessageHandler {
    void onHead(HttpMessageHead Head) override { m_Head = std::move(Head); }
    void onBody(std::string_view Bytes) override { m_Body.append(Bytes); }
    void onMessageEnd() override { ++m_MessageEnds; }
    HttpMessageHead m_Head;
    std::string m_Body;
    int m_MessageEnds = 0;
  };

  using Direction = HttpStreamParser::Direction;
  static constexpr std::size_t MaxHeaderBytes = 4096;

  /// Guards against a request that is parsed differently depending on how TCP
  /// splits its bytes into segments.
  void requestParsesTheSameAtEverySplit() {
    const std::string Text =
        "POST /a/b?c=%2F HTTP/1.1\r\nHost: h\r\nX-Odd:  v \r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (std::size_t SplitAt = 0; SplitAt <= Text.size(); ++SplitAt) {
      Collector Received;
      HttpStreamParser Parser(Direction::Requests, MaxHeaderBytes, Received);
      Parser.parse(Text.substr(0, SplitAt));
      Parser.parse(Text.substr(SplitAt));
      CPPUNIT_ASSERT(Parser.isComplete());
      CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=%2F"), Received.m_Head.m_Target);
      CPPUNIT_ASSERT_EQUAL(std::string("abcde"), Received.m_Body);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Received.m_Head.m_Headers.size());
    }
  }

  void bytesOfTheNextRequestAreNotConsumed() {
    const std::string FirstRequest = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    Collector Received;
    HttpStreamParser Parser(Direction::Requests, MaxHeaderBytes, Received);
    CPPUNIT_ASSERT_EQUAL(FirstRequest.size(),
                         Parser.parse(FirstRequest + "GET /2 HTTP/1.1\r\n"));
    Parser.reset();
    Parser.parse("GET /2 HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("/2"), Received.m_Head.m_Target);
  }

  /// Guards against ambiguous framing, with which a client could hide a second
  /// request in the body of the first one.
  void requestSmugglingIsRejected() {
    const std::string RequestLine = "POST / HTTP/1.1\r\n";
    for (const char *Fields :
         {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "Content-Length: 4\r\nContent-Length: 9\r\n\r\n",
          "Content-Length: 4x\r\n\r\nabcd", "Content-Length : 4\r\n\r\nabcd",
          "Transfer Encoding: chunked\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
      const std::string Text = RequestLine + Fields;
      Collector Received;
      HttpStreamParser Parser(Direction::Requests, MaxHeaderBytes, Received);
      Parser.parse(Text);
      CPPUNIT_ASSERT_MESSAGE(Text, Parser.hasFailed());
    }
  }

  void oversizedHeadIsRejected() {
    Collector Received;
    HttpStreamParser Parser(Direction::Requests, 100, Received);
    Parser.parse("GET / HTTP/1.1\r\nX: ");
    Parser.parse(std::string(200, 'a'));
    CPPUNIT_ASSERT(Parser.isHeadTooLarge());
  }

  void responseWithoutLengthEndsAtConnectionClose() {
    Collector Received;
    HttpStreamParser Parser(Direction::Responses, MaxHeaderBytes, Received);
    Parser.parse("HTTP/1.1 200 OK\r\n\r\nabc");
    CPPUNIT_ASSERT(!Parser.isComplete());
    CPPUNIT_ASSERT(!Received.m_Head.m_IsSelfDelimiting);
    Parser.finish();
    CPPUNIT_ASSERT(Parser.isComplete());
    Collector TruncatedSink;
    HttpStreamParser TruncatedParser(Direction::Responses, MaxHeaderBytes,
                                     TruncatedSink);
    TruncatedParser.parse("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
    TruncatedParser.finish();
    CPPUNIT_ASSERT(!TruncatedParser.isComplete());
  }

  void interimResponseIsSkipped() {
    Collector Received;
    HttpStreamParser Parser(Direction::Responses, MaxHeaderBytes, Received);
    Parser.parse("HTTP/1.1 100 Continue\r\n\r\n"
                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
    CPPUNIT_ASSERT(Parser.isComplete());
    CPPUNIT_ASSERT_EQUAL(200, Received.m_Head.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), Received.m_Body);
  }

  /// Guards against appending a second response on the same connection to the
  /// first one.
  void bytesAfterTheResponseAreNotDelivered() {
    Collector Received;
    HttpStreamParser Parser(Direction::Responses, MaxHeaderBytes, Received);
    Parser.parse("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 "
                 "OK\r\nContent-Length: 1\r\n\r\nx");
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), Received.m_Body);
    CPPUNIT_ASSERT_EQUAL(1, Received.m_MessageEnds);
  }

  /// Guards against a crash, and a second end of message, caused by malformed
  /// bytes from a peer.
  void randomBytesDoNotCrashTheParser() {
    const std::string ValidMessages =
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
    constexpr unsigned Seed = 7;
    std::minstd_rand Random(Seed);
    constexpr int Rounds = 20000;
    for (int Round = 0; Round < Rounds; ++Round) {
      std::string Text = ValidMessages;
      for (unsigned I = 0; I < 1 + Random() % 8; ++I)
        Text[Random() % Text.size()] = static_cast<char>(Random() % 256);
      Collector Received;
      HttpStreamParser Parser(Round % 2 == 0 ? Direction::Requests
                                             : Direction::Responses,
                              MaxHeaderBytes, Received);
      const std::size_t SplitAt = Random() % Text.size();
      Parser.parse(Text.substr(0, SplitAt));
      Parser.parse(Text.substr(SplitAt));
      Parser.finish();
      CPPUNIT_ASSERT(Received.m_MessageEnds <= 1);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpStreamParserTest);

} // namespace fulmarwinch
