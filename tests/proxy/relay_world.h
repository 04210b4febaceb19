#ifndef FULMARWINCH_TESTS_PROXY_RELAY_WORLD_H
#define FULMARWINCH_TESTS_PROXY_RELAY_WORLD_H

#include "proxy/backend_call.h"
#include "proxy/http_listener.h"
#include "proxy/request_relay.h"

#include "asio.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fulmarwinch {

/// A backend server on loopback whose answers are scripted byte by byte.
class ScriptedServer {
public:
  struct Answer {
    std::string m_Bytes;
    /// What follows the bytes.
    enum class Then { Close, Reset, Hold } m_Then = Then::Close;
  };

  ScriptedServer(asio::io_context &Loop, std::uint16_t Port);

  void push(Answer Next) { m_Answers.push_back(std::move(Next)); }
  void onRequest(std::function<void()> Hook) { m_OnRequest = std::move(Hook); }
  /// Requests as they arrived, head and body.
  const std::vector<std::string> &requests() const { return m_Requests; }
  /// Connections that the peer closed while an answer was held.
  int abandoned() const { return m_Abandoned; }

private:
  struct Session;
  void accept();

  asio::ip::tcp::acceptor m_Acceptor;
  std::deque<Answer> m_Answers;
  std::function<void()> m_OnRequest = [] {};
  std::vector<std::string> m_Requests;
  int m_Abandoned = 0;
};

/// A node's request path between a client and two scripted servers.
class RelayWorld {
public:
  RelayWorld();

  /// Replaces the routes; two servers `s1` and `s2` belong to the service.
  void configure(RequestKind Kind, unsigned MaxAttempts, bool Resumable);
  /// Makes each server an open group of one member that runs a model with
  /// events of 30 ms.
  void configureGroups();
  /// Sends a request and returns the bytes that the client got.
  std::string request(const std::string &ExtraHeaders = "",
                      const std::string &Body = "");
  /// Sends a request and leaves after \p Stay.
  void requestAndLeave(Duration Stay, const std::string &ExtraHeaders = "");
  void runFor(Duration Length);

  asio::io_context m_Loop;
  EventLog m_Log;
  Metrics m_Figures;
  FleetView m_Fleet;
  ServerSelector m_Selector;
  StallDetector m_Stalls;
  RelayContext m_Context;
  std::unique_ptr<ScriptedServer> m_First;
  std::unique_ptr<ScriptedServer> m_Second;
  std::uint16_t m_SecondPort = 0;

private:
  std::string head(const std::string &ExtraHeaders,
                   const std::string &Body) const;
  void tickUntil(MonotonicTime Until, const std::function<bool()> &Done);

  std::unique_ptr<HttpListener> m_Listener;
  std::uint16_t m_Port = 0;
  std::uint64_t m_Revision = 1;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_TESTS_PROXY_RELAY_WORLD_H
