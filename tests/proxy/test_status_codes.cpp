#include "tests/proxy/relay_fixture.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Servers whose responses have a status that is none.
class StatusCodesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatusCodesTest);
  CPPUNIT_TEST(invalidStatusIsNotPassedOn);
  CPPUNIT_TEST(repeatableRequestIsTriedAgain);
  CPPUNIT_TEST(lastValidStatusesArePassedOn);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<std::string> invalidStatuses() {
    return {"000", "0", "00", "099", "600", "999", "20"};
  }

  static ScriptedServer::Response response(const std::string &Status) {
    return {"HTTP/1.1 " + Status +
                " Any\r\nX-Id: 77\r\nX-Digest: d\r\nContent-Length: 4\r\n\r\n"
                "body",
            ScriptedServer::Response::ConnectionEnd::Close};
  }

  static std::size_t receivedRequests(const RelayFixture &Fixture) {
    return Fixture.m_FirstServer->requests().size() +
           Fixture.m_SecondServer->requests().size();
  }

  /// Guards against an answer to the client that is no HTTP response, and
  /// against a second run of a request that may have run.
  void invalidStatusIsNotPassedOn() {
    for (const std::string &Status : invalidStatuses())
      for (const std::string Interim :
           {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}) {
        RelayFixture Fixture;
        Fixture.configure(RequestKind::NonIdempotent, 2, false);
        ScriptedServer::Response Invalid = response(Status);
        Invalid.m_Bytes = Interim + Invalid.m_Bytes;
        addResponses(Fixture, 2, Invalid, Invalid);
        const std::string Received = Fixture.request();
        CPPUNIT_ASSERT_MESSAGE(Status + Received,
                               Received.find("HTTP/1.1 502 ") == 0);
        CPPUNIT_ASSERT(Received.find("garbled") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, receivedRequests(Fixture));
      }
  }

  /// Guards against a request that is given up although it may run again.
  void repeatableRequestIsTriedAgain() {
    for (const std::string &Status : invalidStatuses()) {
      RelayFixture Fixture;
      Fixture.configure(RequestKind::Idempotent, 2, false);
      const auto ScriptRest = [&] {
        Fixture.m_FirstServer->replaceResponses(response("200"));
        Fixture.m_SecondServer->replaceResponses(response("200"));
      };
      for (ScriptedServer *Server :
           {Fixture.m_FirstServer.get(), Fixture.m_SecondServer.get()}) {
        Server->replaceResponses(response(Status));
        Server->onResponseChosen(ScriptRest);
      }
      const std::string Received = Fixture.request();
      CPPUNIT_ASSERT_MESSAGE(Status + Received,
                             Received.find("HTTP/1.1 200 ") == 0);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, receivedRequests(Fixture));
    }
  }

  /// Guards against a limit that is too narrow.
  void lastValidStatusesArePassedOn() {
    for (const std::string Status : {"200", "299", "404", "599"}) {
      RelayFixture Fixture;
      Fixture.configure(RequestKind::NonIdempotent, 1, false);
      addResponses(Fixture, 1, response(Status), response(Status));
      CPPUNIT_ASSERT(Fixture.request().find("HTTP/1.1 " + Status + " ") == 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatusCodesTest);

} // namespace fulmarwinch
