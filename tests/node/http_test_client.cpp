#include "tests/node/http_test_client.h"

#include "core/time.h"
#include "node/sse_parser.h"

#include "cppunit/TestAssert.h"

#include <thread>

namespace fulmarwinch {

void waitFor(const char *What, const std::function<bool()> &Condition) {
  const MonotonicTime Deadline = monotonicNow() + std::chrono::minutes(2);
  while (!Condition()) {
    CPPUNIT_ASSERT_MESSAGE(What, monotonicNow() < Deadline);
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
}

BackgroundCall::BackgroundCall(HttpClient &Client, HttpCall Call)
    : m_Client(Client) {
  Call.m_OnHeaders = [State = m_State](int, const HttpHeaders &Headers) {
    const std::lock_guard<std::mutex> Guard(State->m_Mutex);
    State->m_Response.m_Headers = Headers;
  };
  Call.m_OnData = [State = m_State](std::string_view Data) {
    const std::lock_guard<std::mutex> Guard(State->m_Mutex);
    State->m_Response.m_Body += Data;
  };
  Call.m_OnDone = [State = m_State](const HttpCallResult &Result) {
    const std::lock_guard<std::mutex> Guard(State->m_Mutex);
    State->m_Response.m_Result = Result;
    State->m_IsDone = true;
  };
  m_Id = m_Client.start(std::move(Call));
}

bool BackgroundCall::isDone() const {
  const std::lock_guard<std::mutex> Guard(m_State->m_Mutex);
  return m_State->m_IsDone;
}

HttpClient::Response BackgroundCall::wait() const {
  waitFor("the call ends", [this] { return isDone(); });
  return m_State->m_Response;
}

std::string BackgroundCall::body() const {
  const std::lock_guard<std::mutex> Guard(m_State->m_Mutex);
  return m_State->m_Response.m_Body;
}

StreamedCompletion parseStreamedCompletion(const std::string &Body) {
  StreamedCompletion Result;
  SseParser Parser;
  for (const std::string &Event : Parser.accept(Body)) {
    if (Event == "[DONE]") {
      Result.m_IsEnded = true;
      continue;
    }
    const Json Chunk = Json::parse(Event);
    if (Chunk.contains("error")) {
      Result.m_HasError = true;
      continue;
    }
    Result.m_Text += Chunk["choices"][0]["text"].get<std::string>();
    Result.m_Indexes.push_back(Chunk["fulmarwinch_index"].get<std::uint64_t>());
  }
  return Result;
}

} // namespace fulmarwinch
