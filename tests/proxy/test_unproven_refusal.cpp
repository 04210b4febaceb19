#include "tests/proxy/relay_fixture.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

/// Servers that answer with a status that promises that the request has not
/// run, but do not report that. Their clients would repeat requests that ran.
class UnprovenRefusalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnprovenRefusalTest);
  CPPUNIT_TEST(requestThatMayRunOnceIsNotCalledNotRun);
  CPPUNIT_TEST(repeatableRequestIsTriedAgain);
  CPPUNIT_TEST(repeatableRequestThatMayHaveRunIsNotCalledNotRun);
  CPPUNIT_TEST(lastAttemptDoesNotHideAnEarlierOne);
  CPPUNIT_TEST(interruptedStreamStaysUnterminated);
  CPPUNIT_TEST(otherErrorsArePassedOnUnchanged);
  CPPUNIT_TEST_SUITE_END();

  using Response = ScriptedServer::Response;
  using ConnectionEnd = Response::ConnectionEnd;

  static std::vector<int> promises() { return {408, 429, 503}; }

  /// Request path on which the servers respond with \p Script by order of
  /// arrival.
  struct Scenario : RelayFixture {
    Scenario(RequestKind Kind, bool Resumable, std::vector<Response> Script)
        : m_Script(std::move(Script)) {
      configure(Kind, 2, Resumable);
      for (ScriptedServer *Server : {m_FirstServer.get(), m_SecondServer.get()})
        Server->onRequest([this, Server] {
          Server->replaceResponses(m_Arrivals < m_Script.size()
                                       ? m_Script[m_Arrivals]
                                       : shortResponse(200, ""));
          ++m_Arrivals;
        });
    }

    std::uint64_t counted(int Status) const {
      return m_Metrics.counter("unproven_refusals_total{status=\"" +
                               std::to_string(Status) + "\"}");
    }

    std::vector<Response> m_Script;
    std::size_t m_Arrivals = 0;
  };

  static Response refusal(int Status) {
    return shortResponse(Status, "Retry-After: 1\r\n");
  }

  static Response provenRefusal(int Status) {
    return shortResponse(Status, "X-Not-Run: 1\r\n");
  }

  static bool contains(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

  /// Asserts that \p Received is a response of the node that promises nothing.
  static void assertPromisesNothing(const std::string &Received) {
    CPPUNIT_ASSERT_MESSAGE(Received, contains(Received, "HTTP/1.1 502 "));
    for (const char *Part : {"X-Digest", "Retry-After", "\r\n\r\nbody"})
      CPPUNIT_ASSERT_MESSAGE(Received, !contains(Received, Part));
  }

  /// Guards against a payout that ran and is refused, so that its client
  /// repeats it.
  void requestThatMayRunOnceIsNotCalledNotRun() {
    for (const int Status : promises())
      for (const RequestKind Kind :
           {RequestKind::NonIdempotent, RequestKind::Streaming}) {
        Scenario Path(Kind, false, {refusal(Status)});
        assertPromisesNothing(Path.request("", "payout"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Path.m_Arrivals);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Path.counted(Status));
      }
  }

  /// Guards against a request that fails although another server can run it.
  void repeatableRequestIsTriedAgain() {
    for (const int Status : promises()) {
      Scenario Path(RequestKind::Idempotent, false, {refusal(Status)});
      const std::string Received = Path.request();
      CPPUNIT_ASSERT_MESSAGE(Received, contains(Received, "HTTP/1.1 200 "));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Path.m_Arrivals);
    }
  }

  /// Guards against a promise for requests whose repetition does no harm.
  void repeatableRequestThatMayHaveRunIsNotCalledNotRun() {
    for (const int Status : promises())
      for (const RequestKind Kind :
           {RequestKind::Idempotent, RequestKind::Streaming}) {
        Scenario Path(Kind, true, {refusal(Status), refusal(Status)});
        assertPromisesNothing(Path.request());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Path.m_Arrivals);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Path.counted(Status));
      }
  }

  /// Guards against a refusal of the last server that is passed on although an
  /// earlier server may have run the request, and against a kept error that is
  /// a promise.
  void lastAttemptDoesNotHideAnEarlierOne() {
    for (const int Status : promises()) {
      const std::vector<std::vector<Response>> Scripts{
          {refusal(Status), provenRefusal(Status)},
          {provenRefusal(Status), refusal(Status)},
          {refusal(Status), {"HTTP/1.1 200 O", ConnectionEnd::Reset}}};
      for (const std::vector<Response> &Script : Scripts) {
        Scenario Path(RequestKind::Idempotent, false, Script);
        assertPromisesNothing(Path.request());
      }
      Scenario Path(RequestKind::Idempotent, false,
                    {shortResponse(500, ""), refusal(Status)});
      const std::string Received = Path.request();
      CPPUNIT_ASSERT_MESSAGE(Received, contains(Received, "HTTP/1.1 500 "));
    }
  }

  /// Guards against a refusal that becomes a part or the end of a stream which
  /// an earlier attempt has begun.
  void interruptedStreamStaysUnterminated() {
    for (const int Status : promises()) {
      const Response Interrupted{
          "HTTP/1.1 200 OK\r\nX-Id: 77\r\nX-Digest: d\r\n"
          "Transfer-Encoding: chunked\r\n\r\n"
          "f\r\nid: 1\ndata: x\n\n\r\n",
          ConnectionEnd::Reset};
      Scenario Path(RequestKind::Streaming, true,
                    {Interrupted, refusal(Status)});
      const std::string Received = Path.request();
      CPPUNIT_ASSERT_MESSAGE(Received, contains(Received, "id: 1\ndata: x"));
      CPPUNIT_ASSERT(!contains(Received, "body"));
      CPPUNIT_ASSERT(!Path.isLastResponseComplete());
    }
  }

  /// Guards against errors of servers that are replaced although they promise
  /// nothing.
  void otherErrorsArePassedOnUnchanged() {
    for (const int Status : {400, 404, 409, 422, 500, 502, 504}) {
      Scenario Path(RequestKind::NonIdempotent, false,
                    {shortResponse(Status, "")});
      const std::string Received = Path.request("", "payout");
      CPPUNIT_ASSERT_MESSAGE(
          Received, Received.find("HTTP/1.1 " + std::to_string(Status)) == 0);
      CPPUNIT_ASSERT(contains(Received, "X-Digest: d\r\n"));
      CPPUNIT_ASSERT(contains(Received, "\r\n\r\nbody"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnprovenRefusalTest);

} // namespace fulmarwinch
