#ifndef FULMARWINCH_TESTS_NODE_HTTP_TEST_CLIENT_H
#define FULMARWINCH_TESTS_NODE_HTTP_TEST_CLIENT_H

#include "core/json.h"
#include "drivers/http/http_client.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Waits until \p Condition returns true. Fails the test with the message \p
/// What after two minutes, which is far longer than any machine needs.
void waitFor(const char *What, const std::function<bool()> &Condition);

/// An HTTP call that runs in the background of a test.
class BackgroundCall {
public:
  BackgroundCall(HttpClient &Client, HttpCall Call);

  bool isDone() const;
  /// Waits for the end of the call and returns the response.
  HttpClient::Response wait() const;
  /// Returns the part of the body that has arrived.
  std::string body() const;
  void cancel() { m_Client.cancel(m_Id); }

private:
  struct State {
    std::mutex m_Mutex;
    bool m_IsDone = false;
    HttpClient::Response m_Response;
  };

  HttpClient &m_Client;
  std::shared_ptr<State> m_State = std::make_shared<State>();
  HttpCallId m_Id = 0;
};

/// A streamed completion as a client receives it.
struct StreamedCompletion {
  std::string m_Text;
  /// Token index of each chunk, in the order of arrival.
  std::vector<std::uint64_t> m_Indexes;
  bool m_HasError = false;
  bool m_IsEnded = false;
};
/// Parses the server-sent events of a response body.
StreamedCompletion parseStreamedCompletion(const std::string &Body);

} // namespace fulmarwinch

#endif // FULMARWINCH_TESTS_NODE_HTTP_TEST_CLIENT_H
