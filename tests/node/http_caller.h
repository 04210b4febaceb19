#ifndef FULMARWINCH_TESTS_NODE_HTTP_CALLER_H
#define FULMARWINCH_TESTS_NODE_HTTP_CALLER_H

#include "core/json.h"
#include "drivers/http/http_client.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Waits until \p IsReached. Fails the test, naming \p What, after a time that
/// is far longer than any machine needs.
void waitFor(const char *What, const std::function<bool()> &IsReached);

/// One call that runs while the test does other things.
class RunningCall {
public:
  RunningCall(HttpClient &Client, HttpCall Call);

  bool isDone() const;
  HttpClient::Response wait() const;
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

/// What a client made of a streamed completion.
struct StreamedText {
  std::string m_Text;
  std::vector<std::uint64_t> m_Indexes;
  bool m_HasError = false;
  bool m_IsEnded = false;
};
StreamedText readStream(const std::string &Body);

} // namespace fulmarwinch

#endif // FULMARWINCH_TESTS_NODE_HTTP_CALLER_H
