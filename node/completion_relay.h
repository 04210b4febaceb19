#ifndef FULMARWINCH_NODE_COMPLETION_RELAY_H
#define FULMARWINCH_NODE_COMPLETION_RELAY_H

#include "core/json.h"
#include "drivers/http/http_client.h"
#include "drivers/http/http_server.h"
#include "node/data_path.h"
#include "node/dispatch_queue.h"
#include "node/error_response.h"
#include "node/sse_parser.h"
#include "proxy/response_buffer.h"
#include "servers/retry/stream_splicer.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace fulmarwinch {

/// A completion request that passed the filters of the gateway.
struct AdmittedCompletion {
  HttpExchangePtr m_Exchange;
  std::string m_RequestId;
  std::string m_Organisation;
  std::string m_Priority;
  bool m_IsStream = false;
  ContentHash m_ContentHash = 0;
  RouteRequest m_Route;
  MonotonicTime m_ArrivedAt{};
  /// Time at which the request is refused with the outcome not run if it has
  /// not been dispatched.
  MonotonicTime m_QueueDeadline{};
};

/// Limits for the attempts of one request.
struct RelayLimits {
  /// Maximum number of attempts per request, including the first.
  std::uint32_t m_MaxAttempts = 6;
  /// Longest time without a token before a stream is moved to another group.
  Duration m_StreamIdleTimeout = std::chrono::seconds(2);
  /// Time without a token after which a stream is moved away from a group that
  /// is no longer serving. A group that still sends tokens continues its
  /// streams, because its view may have expired for another reason.
  Duration m_WithdrawnIdleTimeout = std::chrono::milliseconds(250);
  /// Longest time to the first token before a stream is moved to another group.
  Duration m_FirstTokenTimeout = std::chrono::seconds(20);
  /// Longest time that an interrupted stream waits in the queue for another
  /// group.
  Duration m_ResumeQueueTimeout = std::chrono::seconds(30);
  /// Time after a failed attempt during which the request is not routed to the
  /// same group. It covers the delay until the monitor withdraws a broken
  /// group; otherwise the attempts would be used up at a group that refuses
  /// connections.
  Duration m_GroupExclusionTime = std::chrono::milliseconds(750);
  /// Maximum number of chunks buffered per stream while an earlier chunk is
  /// missing.
  std::size_t m_MaxBufferedChunks = 256;
  /// Size limit of a response that is not streamed, which is buffered in
  /// memory.
  std::size_t m_MaxResponseBytes = 8U << 20U;
};

/// Forwards one completion request to a replica group and returns the response.
/// If a stream is interrupted, it is resumed on another group at the next
/// token, so that the client receives the complete response.
class CompletionRelay : public PendingDispatch,
                        public std::enable_shared_from_this<CompletionRelay> {
public:
  using DoneCallback = std::function<void()>;

  CompletionRelay(AdmittedCompletion Request, DataPath &Path,
                  HttpClient &Client, DispatchQueue &Queue,
                  const RelayLimits &Limits, DoneCallback OnDone);

  DispatchResult tryDispatch(MonotonicTime Now) override;
  void refuse(const absl::Status &Reason, Duration RetryAfter) override;
  MonotonicTime queueDeadline() const override;

  /// Moves the request to another group if its group is no longer serving or
  /// exceeds an idle timeout. Cancels the request if its client has
  /// disconnected.
  void checkProgress(MonotonicTime Now);

  bool isDone() const { return m_IsDone; }

private:
  /// State of one attempt, that is, one dispatch to one group.
  struct Attempt {
    std::uint32_t m_Number = 0;
    RouteDecision m_Decision;
    HttpCallId m_CallId = 0;
    MonotonicTime m_StartedAt{};
    MonotonicTime m_LastTokenAt{};
    std::uint64_t m_FirstTokenIndex = 0;
    std::uint64_t m_TokenCount = 0;
    /// The engine reported that it did not run the request.
    bool m_ReportedNotRun = false;
    bool m_IsInProgress = false;
    bool m_IsBodyTooLarge = false;
    Duration m_TimeToFirstToken{0};
    SseParser m_Parser;
    HttpHeaders m_Headers;
    int m_Status = 0;
  };

  /// Whether the request returns to the queue after an attempt.
  enum class NextStep { None, Requeue };

  /// Returns the result that replaces a dispatch if the request is suspected of
  /// crashing backend servers, or nullopt if it may be dispatched.
  std::optional<DispatchResult>
  applyPoisonVerdict(const RouteDecision &Decision);
  absl::StatusOr<RouteDecision> chooseGroup(MonotonicTime Now);
  void dispatch(const RouteDecision &Decision, MonotonicTime Now);
  HttpCall makeCall(const GroupView &View, std::uint32_t AttemptNumber);

  void onHeaders(std::uint32_t AttemptNumber, int Status,
                 const HttpHeaders &Headers);
  /// True if the next part of the response may be read.
  bool mayRead(std::uint32_t AttemptNumber);
  void onData(std::uint32_t AttemptNumber, std::string_view Data);
  void onDone(std::uint32_t AttemptNumber, const HttpCallResult &Result);

  void processEvent(const std::string &Data, MonotonicTime Now);
  void sendToClient(const std::string &Payload);
  NextStep endAttempt(const HttpCallResult &Result, MonotonicTime Now);
  NextStep retryOrFail(Outcome AttemptOutcome, MonotonicTime Now);
  void recordAttemptResult(const HttpCallResult &Result, bool IsSuccess,
                           MonotonicTime Now);
  /// Reports the end of the attempt and its response times to the data path.
  void reportAttemptEnd();
  void abortAfterDisconnect();
  void moveToAnotherGroup(MonotonicTime Now);
  void finishStream();
  /// Answers with the buffered response of the last attempt.
  void sendWholeResponse();
  /// Sends \p Reason to the client: as an error response, or, if a response has
  /// begun, as an error event that ends it.
  void sendError(const absl::Status &Reason, Outcome AttemptOutcome,
                 Duration RetryAfter);
  void finish();

  AdmittedCompletion m_Request;
  DataPath &m_DataPath;
  HttpClient &m_Client;
  DispatchQueue &m_Queue;
  const RelayLimits m_Limits;
  const DoneCallback m_OnDone;

  std::mutex m_Mutex;
  StreamSplicer m_Splicer;
  Attempt m_Attempt;
  /// Response to the current attempt, unless it is a stream.
  ResponseBuffer m_Body{m_Request.m_Exchange->memory(), this};
  std::uint32_t m_AttemptCount = 0;
  MonotonicTime m_LastAttemptEndedAt{};
  bool m_ResponseStarted = false;
  /// True if any attempt may have run. The request is then never reported to
  /// the client as not run.
  bool m_MayHaveRun = false;
  std::atomic<std::int64_t> m_QueueDeadlineTicks;
  std::atomic<bool> m_IsDone{false};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_COMPLETION_RELAY_H
