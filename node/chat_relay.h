#ifndef FULMARWINCH_NODE_CHAT_RELAY_H
#define FULMARWINCH_NODE_CHAT_RELAY_H

#include "core/json.h"
#include "drivers/http/http_client.h"
#include "drivers/http/http_server.h"
#include "node/data_path.h"
#include "node/dispatch_queue.h"
#include "node/error_response.h"
#include "node/sse_parser.h"
#include "servers/retry/stream_splicer.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace fulmarwinch {

/// A completion request that passed the checks of the gateway.
struct ChatRequest {
  HttpExchangePtr m_Exchange;
  std::string m_RequestId;
  std::string m_Organisation;
  std::string m_Priority;
  bool m_IsStream = false;
  ContentHash m_ContentHash = 0;
  RouteRequest m_Route;
  MonotonicTime m_ArrivedAt{};
  /// The request is refused as not run if it was not dispatched by then.
  MonotonicTime m_WaitUntil{};
};

/// Limits of one relay.
struct RelayLimits {
  /// Most attempts for one request.
  std::uint32_t m_MaxAttempts = 6;
  /// Longest silence of a stream before it is moved to another group.
  Duration m_TokenTimeout = std::chrono::seconds(2);
  /// Silence after which a stream leaves a group that no longer serves. A
  /// group that still sends tokens keeps its streams, because its view may
  /// have expired for another reason.
  Duration m_WithdrawnTimeout = std::chrono::milliseconds(250);
  /// Longest time to the first token before the request is moved.
  Duration m_FirstTokenTimeout = std::chrono::seconds(20);
  /// Longest time that a broken stream waits for another group.
  Duration m_ResumeWait = std::chrono::seconds(30);
  /// Time after a failed attempt in which its group is not used again. It
  /// covers the time until the monitor withdraws a broken group; without it
  /// the attempts would be used up at a group that refuses connections.
  Duration m_ExclusionTime = std::chrono::milliseconds(750);
  /// Early chunks that are held for one stream.
  std::size_t m_MaxEarlyChunks = 256;
  /// Largest response that is not streamed; it is held whole.
  std::size_t m_MaxBodyBytes = 8U << 20U;
};

/// Carries one completion request to a replica group and its response back.
/// A stream that breaks is resumed on another group at the next token, so that
/// the client gets the complete response.
class ChatRelay : public QueuedWork,
                  public std::enable_shared_from_this<ChatRelay> {
public:
  using DoneCallback = std::function<void()>;

  ChatRelay(ChatRequest Request, DataPath &Path, HttpClient &Client,
            DispatchQueue &Queue, const RelayLimits &Limits,
            DoneCallback OnDone);

  StartResult tryStart(MonotonicTime Now) override;
  void refuse(const absl::Status &Reason, Duration RetryAfter) override;
  MonotonicTime waitUntil() const override;

  /// Moves the request to another group if its group no longer serves or is
  /// silent for too long. Cancels the request if its client is gone.
  void checkProgress(MonotonicTime Now);

  bool isDone() const { return m_Done; }

private:
  /// One dispatch to one group.
  struct Attempt {
    std::uint32_t m_Number = 0;
    RouteDecision m_Decision;
    HttpCallId m_Call = 0;
    MonotonicTime m_StartedAt{};
    MonotonicTime m_LastTokenAt{};
    std::uint64_t m_FirstIndex = 0;
    std::uint64_t m_Tokens = 0;
    bool m_MarkedNotRun = false;
    bool m_IsOpen = false;
    bool m_IsTooLarge = false;
    Duration m_FirstTokenTime{0};
    SseParser m_Parser;
    HttpHeaders m_Headers;
    std::string m_Body;
    int m_Status = 0;
  };

  /// What happens after an attempt ended.
  enum class NextStep { None, Wait };

  /// Returns what to do instead of a dispatch, if anything.
  std::optional<StartResult> checkPoison(const RouteDecision &Decision);
  absl::StatusOr<RouteDecision> chooseGroup(MonotonicTime Now);
  void dispatch(const RouteDecision &Decision, MonotonicTime Now);
  HttpCall makeCall(const GroupView &View, std::uint32_t Number);

  void onHeaders(std::uint32_t Number, int Status, const HttpHeaders &Headers);
  void onData(std::uint32_t Number, std::string_view Data);
  void onDone(std::uint32_t Number, const HttpCallResult &Result);

  void acceptEvent(const std::string &Data, MonotonicTime Now);
  void deliver(const std::string &Payload);
  NextStep endAttempt(const HttpCallResult &Result, MonotonicTime Now);
  NextStep chooseNext(Outcome Result, MonotonicTime Now);
  void recordAttempt(const HttpCallResult &Result, bool Success,
                     MonotonicTime Now);
  void closeAttempt();
  void abandon();
  void moveElsewhere(MonotonicTime Now);
  void finishStream();
  void answerWhole();
  void answerError(const absl::Status &Reason, Outcome Result,
                   Duration RetryAfter);
  void finish();

  ChatRequest m_Request;
  DataPath &m_Path;
  HttpClient &m_Client;
  DispatchQueue &m_Queue;
  const RelayLimits m_Limits;
  const DoneCallback m_OnDone;

  std::mutex m_Mutex;
  StreamSplicer m_Splicer;
  Attempt m_Attempt;
  std::uint32_t m_Attempts = 0;
  MonotonicTime m_LastAttemptEnded{};
  bool m_ResponseStarted = false;
  /// An attempt may have run, so the request is never reported as not run.
  bool m_MayHaveRun = false;
  std::atomic<std::int64_t> m_WaitUntilTicks;
  std::atomic<bool> m_Done{false};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_CHAT_RELAY_H
