#include "tests/proxy/relay_fixture.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Responses that a server breaks off by closing the connection, which is also
/// how a response without a length or chunks ends.
class InterruptedResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InterruptedResponseTest);
  CPPUNIT_TEST(eventsBeforeTheInterruptionReachTheClient);
  CPPUNIT_TEST(successWithoutDigestIsNotForwarded);
  CPPUNIT_TEST_SUITE_END();

  static bool contains(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

  struct Exchange {
    std::string m_Received;
    std::size_t m_Requests = 0;
  };

  /// Returns what the client receives if the first server that is asked sends
  /// \p First, and the other one \p Second.
  static Exchange exchange(RequestKind Kind, bool Resumable,
                           const ScriptedServer::Response &First,
                           const ScriptedServer::Response &Second = {""}) {
    RelayFixture Fixture;
    Fixture.configure(Kind, 2, Resumable);
    for (ScriptedServer *Server :
         {Fixture.m_FirstServer.get(), Fixture.m_SecondServer.get()}) {
      Server->addResponse(First);
      Server->onResponseChosen([&] {
        Fixture.m_FirstServer->replaceResponses(Second);
        Fixture.m_SecondServer->replaceResponses(Second);
      });
    }
    Exchange Result;
    Result.m_Received = Fixture.request();
    Result.m_Requests = Fixture.m_FirstServer->requests().size() +
                        Fixture.m_SecondServer->requests().size();
    return Result;
  }

  /// Guards against a success that no server has signed.
  void successWithoutDigestIsNotForwarded() {
    const std::string Fields = "X-Id: 77\r\nContent-Length: 4\r\n\r\nbody";
    for (const char *Status : {"200 OK\r\n", "201 Any\r\n", "206 Any\r\n"}) {
      for (const RequestKind Kind :
           {RequestKind::NonIdempotent, RequestKind::Streaming}) {
        const Exchange Result =
            exchange(Kind, false, {std::string("HTTP/1.1 ") + Status + Fields});
        CPPUNIT_ASSERT_MESSAGE(Result.m_Received,
                               contains(Result.m_Received, "HTTP/1.1 502 "));
      }
    }
  }

  /// Guards against events that were passed on and are lost with the connection
  /// of the client.
  void eventsBeforeTheInterruptionReachTheClient() {
    RelayFixture Fixture;
    Fixture.configure(RequestKind::Streaming, 1, false);
    const ScriptedServer::Response Cut{
        "HTTP/1.1 200 OK\r\nX-Id: 77\r\nX-Digest: d\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
        "f\r\nid: 1\ndata: a\n\n\r\nno chunk size"};
    addResponses(Fixture, 1, Cut, Cut);
    const std::string Received = Fixture.request();
    CPPUNIT_ASSERT_MESSAGE(Received, contains(Received, "id: 1\ndata: a\n\n"));
    CPPUNIT_ASSERT_MESSAGE(Received, !contains(Received, "\r\n0\r\n\r\n"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InterruptedResponseTest);

} // namespace fulmarwinch
