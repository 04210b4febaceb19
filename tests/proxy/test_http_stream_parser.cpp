#include "proxy/http_stream_parser.h"

#include "cppunit/extensions/HelperMacros.h"

#include <random>

namespace fulmarwinch {

/// Messages on one connection: framing, smuggling attempts and damage.
class HttpStreamParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpStreamParserTest);
  CPPUNIT_TEST(everyCutGivesTheSameRequest);
  CPPUNIT_TEST(bytesOfTheNextRequestStay);
  CPPUNIT_TEST(smugglingIsRefused);
  CPPUNIT_TEST(headerLimit);
  CPPUNIT_TEST(responseWithoutLengthEndsWithItsConnection);
  CPPUNIT_TEST(interimResponseIsNotTheAnswer);
  CPPUNIT_TEST(surplusBytesAreNotPartOfTheResponse);
  CPPUNIT_TEST(randomBytesDoNoHarm);
  CPPUNIT_TEST_SUITE_END();

  struct Collector : HttpSink {
    void onHead(HttpHead Head) override { m_Head = std::move(Head); }
    void onBody(std::string_view Bytes) override { m_Body.append(Bytes); }
    void onMessageEnd() override { ++m_Ends; }
    HttpHead m_Head;
    std::string m_Body;
    int m_Ends = 0;
  };

  using Direction = HttpStreamParser::Direction;
  static constexpr std::size_t Limit = 4096;

  /// Guards against requests that change with the way TCP cuts them.
  void everyCutGivesTheSameRequest() {
    const std::string Text =
        "POST /a/b?c=%2F HTTP/1.1\r\nHost: h\r\nX-Odd:  v \r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (std::size_t Cut = 0; Cut <= Text.size(); ++Cut) {
      Collector Sink;
      HttpStreamParser Parser(Direction::Requests, Limit, Sink);
      Parser.feed(Text.substr(0, Cut));
      Parser.feed(Text.substr(Cut));
      CPPUNIT_ASSERT(Parser.isComplete());
      CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=%2F"), Sink.m_Head.m_Target);
      CPPUNIT_ASSERT_EQUAL(std::string("abcde"), Sink.m_Body);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Sink.m_Head.m_Headers.size());
    }
  }

  void bytesOfTheNextRequestStay() {
    const std::string One = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    Collector Sink;
    HttpStreamParser Parser(Direction::Requests, Limit, Sink);
    CPPUNIT_ASSERT_EQUAL(One.size(), Parser.feed(One + "GET /2 HTTP/1.1\r\n"));
    Parser.reset();
    Parser.feed("GET /2 HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("/2"), Sink.m_Head.m_Target);
  }

  /// Guards against a second request hidden in the body of a first one.
  void smugglingIsRefused() {
    const std::string Start = "POST / HTTP/1.1\r\n";
    for (const char *Fields :
         {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "Content-Length: 4\r\nContent-Length: 9\r\n\r\n",
          "Content-Length: 4x\r\n\r\nabcd", "Content-Length : 4\r\n\r\nabcd",
          "Transfer Encoding: chunked\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
      const std::string Text = Start + Fields;
      Collector Sink;
      HttpStreamParser Parser(Direction::Requests, Limit, Sink);
      Parser.feed(Text);
      CPPUNIT_ASSERT_MESSAGE(Text, Parser.hasFailed());
    }
  }

  void headerLimit() {
    Collector Sink;
    HttpStreamParser Parser(Direction::Requests, 100, Sink);
    Parser.feed("GET / HTTP/1.1\r\nX: ");
    Parser.feed(std::string(200, 'a'));
    CPPUNIT_ASSERT(Parser.headTooLarge());
  }

  void responseWithoutLengthEndsWithItsConnection() {
    Collector Sink;
    HttpStreamParser Parser(Direction::Responses, Limit, Sink);
    Parser.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    CPPUNIT_ASSERT(!Parser.isComplete());
    CPPUNIT_ASSERT(!Sink.m_Head.m_Framed);
    Parser.finish();
    CPPUNIT_ASSERT(Parser.isComplete());
    Collector Cut;
    HttpStreamParser Short(Direction::Responses, Limit, Cut);
    Short.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
    Short.finish();
    CPPUNIT_ASSERT(!Short.isComplete());
  }

  void interimResponseIsNotTheAnswer() {
    Collector Sink;
    HttpStreamParser Parser(Direction::Responses, Limit, Sink);
    Parser.feed("HTTP/1.1 100 Continue\r\n\r\n"
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
    CPPUNIT_ASSERT(Parser.isComplete());
    CPPUNIT_ASSERT_EQUAL(200, Sink.m_Head.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), Sink.m_Body);
  }

  /// Guards against a late second answer that is joined to the first.
  void surplusBytesAreNotPartOfTheResponse() {
    Collector Sink;
    HttpStreamParser Parser(Direction::Responses, Limit, Sink);
    Parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 "
                "OK\r\nContent-Length: 1\r\n\r\nx");
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), Sink.m_Body);
    CPPUNIT_ASSERT_EQUAL(1, Sink.m_Ends);
  }

  /// Guards against a crash on bytes from any peer.
  void randomBytesDoNoHarm() {
    const std::string Corpus =
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
    constexpr unsigned Seed = 7;
    std::minstd_rand Random(Seed);
    constexpr int Rounds = 20000;
    for (int Round = 0; Round < Rounds; ++Round) {
      std::string Text = Corpus;
      for (unsigned I = 0; I < 1 + Random() % 8; ++I)
        Text[Random() % Text.size()] = static_cast<char>(Random() % 256);
      Collector Sink;
      HttpStreamParser Parser(Round % 2 == 0 ? Direction::Requests
                                             : Direction::Responses,
                              Limit, Sink);
      const std::size_t Cut = Random() % Text.size();
      Parser.feed(Text.substr(0, Cut));
      Parser.feed(Text.substr(Cut));
      Parser.finish();
      CPPUNIT_ASSERT(Sink.m_Ends <= 1);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpStreamParserTest);

} // namespace fulmarwinch
