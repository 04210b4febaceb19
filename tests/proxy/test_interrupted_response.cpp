#include "tests/proxy/relay_fixture.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Responses that a server breaks off by closing the connection, which is also
/// how a response without a length or chunks ends.
class InterruptedResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InterruptedResponseTest);
  CPPUNIT_TEST(eventsBeforeTheInterruptionReachTheClient);
  CPPUNIT_TEST_SUITE_END();

  static bool contains(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
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
