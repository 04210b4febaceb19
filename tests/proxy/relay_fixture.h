#ifndef FULMARWINCH_TESTS_PROXY_RELAY_FIXTURE_H
#define FULMARWINCH_TESTS_PROXY_RELAY_FIXTURE_H

#include "proxy/http_listener.h"
#include "proxy/request_relay.h"
#include "proxy/upstream_call.h"

#include "asio.hpp"

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Backend server on loopback that sends scripted bytes as responses.
class ScriptedServer {
public:
  struct Response {
    std::string m_Bytes;
    /// What the server does with the connection after it sent the bytes.
    enum class ConnectionEnd {
      Close,
      Reset,
      KeepOpen
    } m_ConnectionEnd = ConnectionEnd::Close;
    /// Bytes that the server sends after m_Bytes, again and again until the
    /// connection is closed; none if empty.
    std::string m_EndlessBytes = {};
    /// Pause before each repetition of m_EndlessBytes.
    Duration m_EndlessPause{0};
  };

  ScriptedServer(asio::io_context &Loop, std::uint16_t Port);

  /// Adds a response. Each request consumes one; without one, the server does
  /// not respond.
  void addResponse(Response Next) { m_Responses.push_back(std::move(Next)); }
  /// Makes \p Fixed the response to each request for \p Path, which neither
  /// consumes one nor counts among requests().
  void setFixedResponse(const std::string &Path, Response Fixed) {
    m_FixedResponses[Path] = std::move(Fixed);
  }
  /// Discards the remaining responses and adds \p Next unless it is empty.
  void replaceResponses(const Response &Next) {
    m_Responses.clear();
    if (!Next.m_Bytes.empty())
      addResponse(Next);
  }
  /// Sets a function that is called once the response to a request is chosen.
  void onResponseChosen(std::function<void()> Hook) {
    m_OnResponseChosen = std::move(Hook);
  }
  /// Sets a function that is called for each received request.
  void onRequest(std::function<void()> Hook) { m_OnRequest = std::move(Hook); }
  /// Received requests, each with head and body.
  const std::vector<std::string> &requests() const { return m_Requests; }
  /// Bytes sent in endless responses.
  std::size_t endlessBytesSent() const { return m_EndlessBytesSent; }
  /// Number of connections that the peer closed after the server had received
  /// the request and before the server closed them.
  int earlyDisconnects() const { return m_EarlyDisconnects; }

private:
  struct Session;
  void accept();

  asio::ip::tcp::acceptor m_Acceptor;
  std::deque<Response> m_Responses;
  std::map<std::string, Response> m_FixedResponses;
  std::function<void()> m_OnRequest = [] {};
  std::function<void()> m_OnResponseChosen = [] {};
  std::vector<std::string> m_Requests;
  int m_EarlyDisconnects = 0;
  std::size_t m_EndlessBytesSent = 0;
};

/// Request path of a node between a client and two scripted backend servers on
/// one event loop.
class RelayFixture {
public:
  RelayFixture();

  /// Sets one route whose service has the two servers `s1` and `s2`.
  void configure(RequestKind Kind, unsigned MaxAttempts, bool Resumable);
  /// Makes each server an open group of one member that serves the model `m`
  /// with a batch step of 30 ms.
  void configureGroups();
  /// Sends a request and returns all bytes that the client received until the
  /// connection was closed.
  std::string request(const std::string &ExtraHeaders = "",
                      const std::string &Body = "");
  /// Sends a request and closes the client connection after \p DisconnectAfter.
  void requestAndDisconnect(Duration DisconnectAfter,
                            const std::string &ExtraHeaders = "");
  /// Address on which the node accepts clients.
  asio::ip::tcp::endpoint clientEndpoint() const {
    return {asio::ip::make_address("127.0.0.1"), m_Port};
  }
  /// Connects a client without sending anything.
  asio::ip::tcp::socket connectClient();
  /// Returns the bytes of a request to the configured route.
  std::string formatRequestBytes(const std::string &ExtraHeaders,
                                 const std::string &Body) const;
  /// Returns what the client receives until its connection ends, for ten
  /// seconds at most.
  std::string receiveAll(asio::ip::tcp::socket &Client);
  /// True if what receiveAll() returned last, or request(), is a complete
  /// response by its length, its last chunk or the close of its connection. A
  /// reset completes none.
  bool isLastResponseComplete() const;
  HttpListener &listener() { return *m_Listener; }
  /// Runs the event loop and the requests' ticks.
  void runFor(Duration Time);

  asio::io_context m_Loop;
  EventLog m_Log;
  Metrics m_Metrics;
  FleetView m_Fleet;
  ServerSelector m_Selector;
  StallDetector m_StallDetector;
  RequestRelayContext m_Context;
  std::unique_ptr<ScriptedServer> m_FirstServer;
  std::unique_ptr<ScriptedServer> m_SecondServer;
  std::uint16_t m_SecondServerPort = 0;
  ClientLimits m_ClientLimits;
  /// Memory for request bodies; not limited at first.
  std::shared_ptr<MemoryBudget> m_BodyBudget =
      std::make_shared<MemoryBudget>(std::numeric_limits<std::size_t>::max());

private:
  void tickUntil(MonotonicTime Until, const std::function<bool()> &Done);

  std::unique_ptr<HttpListener> m_Listener;
  std::string m_LastReceived;
  bool m_WasLastConnectionClosed = false;
  std::uint16_t m_Port = 0;
  std::uint64_t m_Revision = 1;
};

/// Returns a complete response with a short body and the further header fields
/// \p Fields, after which the server closes the connection.
ScriptedServer::Response shortResponse(int Status, const std::string &Fields);

/// Adds \p Count times \p First to the first server and \p Second to the second
/// one.
void addResponses(RelayFixture &Fixture, int Count,
                  const ScriptedServer::Response &First,
                  const ScriptedServer::Response &Second);

} // namespace fulmarwinch

#endif // FULMARWINCH_TESTS_PROXY_RELAY_FIXTURE_H
