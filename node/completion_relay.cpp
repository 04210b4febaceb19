#include "node/completion_relay.h"

#include "core/error.h"
#include "core/log.h"
#include "node/body_check.h"

#include "absl/strings/numbers.h"
#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

constexpr std::string_view StreamEndEvent = "[DONE]";
constexpr Duration FailureRetryAfter = std::chrono::seconds(1);
constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);

absl::Status upstreamError(const std::string &Problem) {
  return makeError(ErrorKind::UpstreamFailed, Problem,
                   "the request may be sent again");
}

bool isTemporaryRefusal(ErrorKind Kind) {
  return Kind == ErrorKind::NoCapacity || Kind == ErrorKind::Overloaded;
}

double toSeconds(Duration Interval) {
  return std::chrono::duration<double>(Interval).count();
}

} // namespace

CompletionRelay::CompletionRelay(AdmittedCompletion Request, DataPath &Path,
                                 HttpClient &Client, DispatchQueue &Queue,
                                 const RelayLimits &Limits, DoneCallback OnDone)
    : m_Request(std::move(Request)), m_DataPath(Path), m_Client(Client),
      m_Queue(Queue), m_Limits(Limits), m_OnDone(std::move(OnDone)),
      m_Splicer(m_Request.m_RequestId, Limits.m_MaxBufferedChunks),
      m_QueueDeadlineTicks(
          m_Request.m_QueueDeadline.time_since_epoch().count()) {}

MonotonicTime CompletionRelay::queueDeadline() const {
  return MonotonicTime(Duration(m_QueueDeadlineTicks.load()));
}

absl::StatusOr<RouteDecision> CompletionRelay::chooseGroup(MonotonicTime Now) {
  absl::StatusOr<RouteDecision> Decision =
      m_DataPath.route(m_Request.m_Route, Now);
  // If no other group is available, excluded groups may be tried again, for
  // example after all groups have failed once.
  const bool MayRetryExcluded =
      !m_Request.m_Route.m_ExcludedGroups.empty() &&
      Now - m_LastAttemptEndedAt >= m_Limits.m_GroupExclusionTime;
  if (Decision.ok() || !MayRetryExcluded)
    return Decision;
  m_Request.m_Route.m_ExcludedGroups.clear();
  return m_DataPath.route(m_Request.m_Route, Now);
}

DispatchResult CompletionRelay::tryDispatch(MonotonicTime Now) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (m_IsDone)
    return DispatchResult::Handled;
  if (m_Request.m_Exchange->isClientGone()) {
    finish();
    return DispatchResult::Handled;
  }
  const absl::StatusOr<RouteDecision> Decision = chooseGroup(Now);
  if (!Decision.ok()) {
    const absl::Status &Refusal = Decision.status();
    // A request that excludes groups may find no group although one can serve
    // other requests, so it must not block the queue.
    const bool AffectsOnlyThisRequest =
        dependsOnRequest(Refusal) ||
        !m_Request.m_Route.m_ExcludedGroups.empty();
    if (isTemporaryRefusal(errorKind(Refusal)))
      return AffectsOnlyThisRequest ? DispatchResult::NoSuitableGroup
                                    : DispatchResult::AllGroupsFull;
    sendError(Refusal, Outcome::NotRun, Duration{0});
    return DispatchResult::Handled;
  }
  if (const std::optional<DispatchResult> Replacement =
          applyPoisonVerdict(*Decision))
    return *Replacement;
  dispatch(*Decision, Now);
  return DispatchResult::Handled;
}

std::optional<DispatchResult>
CompletionRelay::applyPoisonVerdict(const RouteDecision &Decision) {
  const std::string &GroupId = Decision.m_View->m_Group;
  const PoisonVerdict Verdict =
      m_DataPath.withPoisonDetector([&](PoisonDetector &Detector) {
        const PoisonVerdict InitialVerdict =
            Detector.verdict(m_Request.m_ContentHash, monotonicNow());
        if (InitialVerdict == PoisonVerdict::Isolate &&
            Detector.beginIsolation(m_Request.m_ContentHash, GroupId)) {
          Detector.onDispatch(m_Request.m_ContentHash, GroupId);
          return PoisonVerdict::Run;
        }
        if (InitialVerdict == PoisonVerdict::Run)
          Detector.onDispatch(m_Request.m_ContentHash, GroupId);
        return InitialVerdict;
      });
  if (Verdict == PoisonVerdict::Run)
    return std::nullopt;
  m_DataPath.endAttempt(Decision, std::nullopt);
  if (Verdict == PoisonVerdict::Refuse) {
    sendError(makeError(ErrorKind::Quarantined,
                        "requests with this content crashed several backend "
                        "servers",
                        "change the request or wait for one hour"),
              Outcome::NotRun, Duration{0});
    return DispatchResult::Handled;
  }
  // A request that was dispatched before waits until it may run in isolation,
  // because its client may already have received part of the response.
  if (m_AttemptCount > 0)
    return DispatchResult::NoSuitableGroup;
  sendError(makeError(ErrorKind::Isolated,
                      "the request is suspected of crashing backend servers "
                      "and another suspected request is running "
                      "in isolation",
                      "send it again later"),
            Outcome::NotRun, FailureRetryAfter);
  return DispatchResult::Handled;
}

void CompletionRelay::dispatch(const RouteDecision &Decision,
                               MonotonicTime Now) {
  ++m_AttemptCount;
  m_Attempt = Attempt{};
  m_Body.clear();
  m_Attempt.m_Number = m_Splicer.beginAttempt();
  m_Attempt.m_Decision = Decision;
  m_Attempt.m_StartedAt = Now;
  m_Attempt.m_LastTokenAt = Now;
  m_Attempt.m_FirstTokenIndex = m_Splicer.nextIndex();
  m_Attempt.m_IsInProgress = true;
  m_Attempt.m_CallId =
      m_Client.start(makeCall(*Decision.m_View, m_Attempt.m_Number));
  if (m_AttemptCount > 1) {
    m_DataPath.metrics().increment("retries_total");
    logLine(LogLevel::Info, "gateway",
            fmt::format("request {} is retried on group {} from token {}",
                        m_Request.m_RequestId, Decision.m_View->m_Group,
                        m_Attempt.m_FirstTokenIndex));
  }
}

HttpCall CompletionRelay::makeCall(const GroupView &View,
                                   std::uint32_t AttemptNumber) {
  HttpCall Call;
  Call.m_Method = "POST";
  Call.m_Url = fmt::format("http://{}{}", View.m_HeadAddress,
                           m_Request.m_Exchange->request().m_Path);
  Call.m_Body = m_Request.m_Exchange->request().m_Body;
  Call.m_ConnectTimeout = ConnectTimeout;
  Call.m_Headers = {{"Content-Type", "application/json"},
                    {"X-Request-Id", m_Request.m_RequestId},
                    {"X-Group-Generation",
                     fmt::format("{}:{}", View.m_Group, View.m_Generation)},
                    {"X-Priority", m_Request.m_Priority}};
  if (m_Splicer.nextIndex() > 0)
    Call.m_Headers.push_back(
        {"X-Resume-Offset", fmt::format("{}", m_Splicer.nextIndex())});
  const auto Self = shared_from_this();
  Call.m_OnHeaders = [Self, AttemptNumber](int Status,
                                           const HttpHeaders &Headers) {
    Self->onHeaders(AttemptNumber, Status, Headers);
  };
  Call.m_MayRead = [Self, AttemptNumber] {
    return Self->mayRead(AttemptNumber);
  };
  Call.m_OnData = [Self, AttemptNumber](std::string_view Data) {
    Self->onData(AttemptNumber, Data);
  };
  Call.m_OnDone = [Self, AttemptNumber](const HttpCallResult &Result) {
    Self->onDone(AttemptNumber, Result);
  };
  return Call;
}

void CompletionRelay::onHeaders(std::uint32_t AttemptNumber, int Status,
                                const HttpHeaders &Headers) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (AttemptNumber != m_Attempt.m_Number || !m_Attempt.m_IsInProgress)
    return;
  m_Attempt.m_Status = Status;
  m_Attempt.m_Headers = Headers;
  std::size_t Length = 0;
  if (absl::SimpleAtoi(findHeader(Headers, "Content-Length").value_or(""),
                       &Length))
    m_Body.expect(std::min(Length, m_Limits.m_MaxResponseBytes));
  m_Attempt.m_ReportedNotRun = findHeader(Headers, "X-Outcome") == "not_run";
  if (const auto StartId = findHeader(Headers, "X-Start-Id"))
    m_DataPath.nodeSlots().onStartId(m_Attempt.m_Decision.m_View->m_Group,
                                     *StartId);
}

bool CompletionRelay::mayRead(std::uint32_t AttemptNumber) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (AttemptNumber != m_Attempt.m_Number || !m_Attempt.m_IsInProgress)
    return true;
  const bool IsBuffered = !m_Request.m_IsStream || m_Attempt.m_Status != 200;
  const bool MayRead =
      IsBuffered ? m_Body.prepareRead() : m_Request.m_Exchange->isWritable();
  const MonotonicTime Now = monotonicNow();
  if (!MayRead && IsBuffered && m_Body.isHopeless(Now)) {
    m_Attempt.m_IsBodyTooLarge = true;
    m_Client.cancel(m_Attempt.m_CallId);
    return false;
  }
  // The silence of a pause is not that of the group.
  if (!MayRead)
    m_Attempt.m_LastTokenAt = Now;
  return MayRead;
}

void CompletionRelay::onData(std::uint32_t AttemptNumber,
                             std::string_view Data) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (AttemptNumber != m_Attempt.m_Number || !m_Attempt.m_IsInProgress)
    return;
  const MonotonicTime Now = monotonicNow();
  if (!m_Request.m_IsStream || m_Attempt.m_Status != 200) {
    m_Attempt.m_LastTokenAt = Now;
    if (m_Body.bytes().size() + Data.size() > m_Limits.m_MaxResponseBytes ||
        !m_Body.append(Data)) {
      m_Attempt.m_IsBodyTooLarge = true;
      m_Client.cancel(m_Attempt.m_CallId);
    }
    return;
  }
  for (const std::string &Event : m_Attempt.m_Parser.accept(Data))
    processEvent(Event, Now);
  // The stream cannot be parsed past an oversized event, so this attempt is
  // cancelled and another one resumes the stream.
  if (m_Attempt.m_Parser.hasOverflowed())
    m_Client.cancel(m_Attempt.m_CallId);
}

void CompletionRelay::processEvent(const std::string &Data, MonotonicTime Now) {
  if (Data == StreamEndEvent)
    return;
  const Json Event = Json::parse(Data, nullptr, false);
  // An engine that fails during generation sends an error event. The stream
  // then ends without a final chunk.
  if (!Event.is_object() || Event.contains("error"))
    return;
  if (m_Attempt.m_TokenCount == 0)
    m_Attempt.m_TimeToFirstToken =
        std::chrono::duration_cast<Duration>(Now - m_Attempt.m_StartedAt);
  // An engine that sends no token indexes may also ignore the resume offset.
  // The positions of its tokens are then known only in a stream that starts at
  // the first token; any other attempt is cancelled.
  const bool IsNumbered = Event.contains("fulmarwinch_index");
  if (!IsNumbered && m_Attempt.m_FirstTokenIndex > 0) {
    m_Client.cancel(m_Attempt.m_CallId);
    return;
  }
  StreamChunk Chunk;
  Chunk.m_RequestId = fieldOr<std::string>(Event, "id", "");
  Chunk.m_Attempt = m_Attempt.m_Number;
  Chunk.m_Index = fieldOr<std::uint64_t>(Event, "fulmarwinch_index",
                                         m_Attempt.m_FirstTokenIndex +
                                             m_Attempt.m_TokenCount);
  Chunk.m_Payload = Data;
  if (Event.contains("choices") && Event["choices"].is_array() &&
      !Event["choices"].empty())
    Chunk.m_Final = Event["choices"][0].contains("finish_reason") &&
                    !Event["choices"][0]["finish_reason"].is_null();
  ++m_Attempt.m_TokenCount;
  m_Attempt.m_LastTokenAt = Now;
  const SpliceResult Result = m_Splicer.accept(Chunk);
  if (Result.m_Verdict == SpliceVerdict::ForeignRequest)
    m_DataPath.metrics().increment("foreign_chunks_total");
  // This attempt has lost chunks. The next attempt resumes the stream at the
  // missing token.
  if (Result.m_Verdict == SpliceVerdict::GapTooLarge)
    m_Client.cancel(m_Attempt.m_CallId);
  for (const std::string &Payload : Result.m_DeliverablePayloads)
    sendToClient(Payload);
}

void CompletionRelay::sendToClient(const std::string &Payload) {
  if (!m_ResponseStarted) {
    m_ResponseStarted = true;
    m_DataPath.metrics().observe("first_token_seconds",
                                 toSeconds(std::chrono::duration_cast<Duration>(
                                     monotonicNow() - m_Request.m_ArrivedAt)));
    m_Request.m_Exchange->startStream(
        200, {{"Content-Type", "text/event-stream"},
              {"Cache-Control", "no-cache"},
              {"X-Request-Id", m_Request.m_RequestId}});
  }
  if (m_Request.m_Exchange->write(fmt::format("data: {}\n\n", Payload)))
    return;
  // The client has disconnected, so the engine need not generate further
  // tokens.
  m_Client.cancel(m_Attempt.m_CallId);
}

void CompletionRelay::onDone(std::uint32_t AttemptNumber,
                             const HttpCallResult &Result) {
  const MonotonicTime Now = monotonicNow();
  NextStep Next = NextStep::None;
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (AttemptNumber != m_Attempt.m_Number || !m_Attempt.m_IsInProgress)
      return;
    Next = endAttempt(Result, Now);
  }
  // The queue calls tryDispatch(), which locks m_Mutex, so m_Mutex must be
  // unlocked here.
  if (Next == NextStep::Requeue)
    m_Queue.requeueAtFront(m_Request.m_Route.m_Deployment, shared_from_this(),
                           Now);
  m_Queue.dispatchWaiting(m_Request.m_Route.m_Deployment, Now);
}

CompletionRelay::NextStep
CompletionRelay::endAttempt(const HttpCallResult &Result, MonotonicTime Now) {
  AttemptFacts Facts;
  Facts.m_BytesSent = Result.m_NothingSent ? 0 : 1;
  Facts.m_HttpStatus = Result.m_Status;
  Facts.m_ReportedNotRun = m_Attempt.m_ReportedNotRun;
  const bool IsStream = m_Request.m_IsStream && Result.m_Status == 200;
  Facts.m_ResponseComplete =
      Result.m_Complete &&
      (IsStream ? m_Splicer.isComplete()
                : isBodyWhole(Result, m_Attempt.m_Headers, m_Body.bytes()));
  const Outcome AttemptOutcome = classifyAttempt(Facts);
  const bool IsSuccess =
      AttemptOutcome == Outcome::Ran && Result.m_Status == 200;
  m_MayHaveRun = m_MayHaveRun || AttemptOutcome != Outcome::NotRun;
  recordAttemptResult(Result, IsSuccess, Now);
  if (m_Request.m_Exchange->isClientGone()) {
    finish();
    return NextStep::None;
  }
  if (m_Attempt.m_IsBodyTooLarge) {
    sendError(makeError(ErrorKind::UpstreamFailed,
                        "the response is larger than this node accepts",
                        "request fewer tokens or a streamed response"),
              Outcome::Unknown, Duration{0});
    return NextStep::None;
  }
  if (IsSuccess) {
    m_DataPath.recordSuccess(m_Request.m_Route.m_Deployment);
    m_Request.m_IsStream ? finishStream() : sendWholeResponse();
    return NextStep::None;
  }
  return retryOrFail(AttemptOutcome, Now);
}

void CompletionRelay::recordAttemptResult(const HttpCallResult &Result,
                                          bool IsSuccess, MonotonicTime Now) {
  const std::string Group = m_Attempt.m_Decision.m_View->m_Group;
  const ContentHash Hash = m_Request.m_ContentHash;
  const bool IsConnectionLost =
      !Result.m_Complete && !Result.m_Cancelled && !Result.m_NothingSent;
  m_DataPath.withPoisonDetector([&](PoisonDetector &Detector) {
    if (IsSuccess)
      Detector.onCompleted(Hash, Group, Now);
    else if (IsConnectionLost)
      Detector.onServerCrash(Group, Now);
    else
      Detector.onInconclusiveEnd(Hash, Group);
  });
  if (IsSuccess)
    m_DataPath.outlierTracker().onSuccess(Group, m_Request.m_Route.m_Class,
                                          Now);
  else if (!Result.m_Cancelled)
    m_DataPath.outlierTracker().onFailure(Group, m_Request.m_Route.m_Class,
                                          Now);
  if (IsConnectionLost)
    m_DataPath.nodeSlots().onConnectionLost(Group);
  else if (!IsSuccess && !Result.m_Cancelled)
    m_DataPath.nodeSlots().onFailure(Group);
  reportAttemptEnd();
}

void CompletionRelay::reportAttemptEnd() {
  std::optional<ObservedTimes> Times;
  if (m_Attempt.m_TokenCount > 1) {
    const Duration StreamingTime = std::chrono::duration_cast<Duration>(
        m_Attempt.m_LastTokenAt - m_Attempt.m_StartedAt -
        m_Attempt.m_TimeToFirstToken);
    Times = ObservedTimes{toSeconds(m_Attempt.m_TimeToFirstToken),
                          toSeconds(StreamingTime) /
                              static_cast<double>(m_Attempt.m_TokenCount - 1),
                          m_Attempt.m_LastTokenAt};
  }
  m_DataPath.endAttempt(m_Attempt.m_Decision, Times);
  m_Attempt.m_IsInProgress = false;
  m_LastAttemptEndedAt = monotonicNow();
}

CompletionRelay::NextStep CompletionRelay::retryOrFail(Outcome AttemptOutcome,
                                                       MonotonicTime Now) {
  RetryState State;
  State.m_DeliveredTokens = m_Splicer.nextIndex();
  State.m_ResponseStarted = m_ResponseStarted;
  State.m_Resumable = m_Request.m_IsStream;
  // Completions have no side effects, so they may be retried even if the engine
  // rejected the request, which counts as run.
  const Outcome RetryOutcome =
      AttemptOutcome == Outcome::Ran ? Outcome::Unknown : AttemptOutcome;
  const RetryAction Action = chooseRetry(RetryOutcome, State);
  const bool IsResume = Action == RetryAction::ResumeElsewhere;
  // Resuming a stream does not consume the retry budget: the number of such
  // streams is bounded by the requests in flight, and without a resume the
  // client would lose the part of the response that it has received.
  const bool MayRetry = Action != RetryAction::ReturnOutcome &&
                        m_AttemptCount < m_Limits.m_MaxAttempts &&
                        (IsResume || m_DataPath.tryAcquireRetry(
                                         m_Request.m_Route.m_Deployment, Now));
  if (!MayRetry) {
    // Only a complete response of the engine is forwarded. All other failures
    // are reported by this node, which records whether any attempt may have
    // run.
    if (!m_ResponseStarted && AttemptOutcome == Outcome::Ran)
      sendWholeResponse();
    else
      sendError(
          upstreamError(fmt::format("group {} did not complete the response",
                                    m_Attempt.m_Decision.m_View->m_Group)),
          AttemptOutcome, FailureRetryAfter);
    return NextStep::None;
  }
  m_Request.m_Route.m_ExcludedGroups.insert(
      m_Attempt.m_Decision.m_View->m_Group);
  if (IsResume)
    m_QueueDeadlineTicks =
        (Now + m_Limits.m_ResumeQueueTimeout).time_since_epoch().count();
  return NextStep::Requeue;
}

void CompletionRelay::checkProgress(MonotonicTime Now) {
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (m_IsDone)
      return;
    if (m_Request.m_Exchange->isClientGone()) {
      abortAfterDisconnect();
      return;
    }
    if (!m_Attempt.m_IsInProgress)
      return;
    const Duration IdleTimeout = m_Attempt.m_TokenCount == 0
                                     ? m_Limits.m_FirstTokenTimeout
                                     : m_Limits.m_StreamIdleTimeout;
    const auto IdleTime = Now - m_Attempt.m_LastTokenAt;
    const bool IsIdle = m_Request.m_IsStream && IdleTime > IdleTimeout;
    const bool IsWithdrawn =
        IdleTime > m_Limits.m_WithdrawnIdleTimeout &&
        !m_DataPath.isServing(*m_Attempt.m_Decision.m_View, Now);
    if (!IsIdle && !IsWithdrawn)
      return;
    // A group that no longer serves has already been removed from the routing
    // table, so only an idle stream counts as a failure of its group.
    if (IsIdle)
      m_DataPath.outlierTracker().onFailure(
          m_Attempt.m_Decision.m_View->m_Group, m_Request.m_Route.m_Class, Now);
    moveToAnotherGroup(Now);
    if (m_IsDone)
      return;
  }
  m_Queue.requeueAtFront(m_Request.m_Route.m_Deployment, shared_from_this(),
                         Now);
}

void CompletionRelay::abortAfterDisconnect() {
  if (m_Attempt.m_IsInProgress) {
    m_Client.cancel(m_Attempt.m_CallId);
    m_DataPath.withPoisonDetector([this](PoisonDetector &Detector) {
      Detector.onInconclusiveEnd(m_Request.m_ContentHash,
                                 m_Attempt.m_Decision.m_View->m_Group);
    });
    reportAttemptEnd();
  }
  m_DataPath.metrics().increment("abandoned_requests_total");
  finish();
}

void CompletionRelay::moveToAnotherGroup(MonotonicTime Now) {
  const std::string Group = m_Attempt.m_Decision.m_View->m_Group;
  m_Client.cancel(m_Attempt.m_CallId);
  m_MayHaveRun = true;
  m_DataPath.withPoisonDetector([&](PoisonDetector &Detector) {
    Detector.onInconclusiveEnd(m_Request.m_ContentHash, Group);
  });
  reportAttemptEnd();
  m_DataPath.metrics().increment("moved_requests_total");
  if (m_AttemptCount >= m_Limits.m_MaxAttempts) {
    sendError(upstreamError(fmt::format("group {} stopped responding", Group)),
              Outcome::Unknown, FailureRetryAfter);
    return;
  }
  m_Request.m_Route.m_ExcludedGroups.insert(Group);
  m_QueueDeadlineTicks =
      (Now + m_Limits.m_ResumeQueueTimeout).time_since_epoch().count();
}

void CompletionRelay::finishStream() {
  m_Request.m_Exchange->write("data: [DONE]\n\n");
  m_Request.m_Exchange->finish();
  m_DataPath.metrics().increment("requests_total{result=\"complete\"}");
  finish();
}

void CompletionRelay::sendWholeResponse() {
  HttpResponse Response;
  Response.m_Status = m_Attempt.m_Status;
  Response.m_Headers = {{"Content-Type", "application/json"},
                        {"X-Request-Id", m_Request.m_RequestId}};
  ReservedBytes Body = m_Body.take();
  Response.m_Body = std::move(Body.m_Bytes);
  m_DataPath.metrics().increment(
      fmt::format("requests_total{{result=\"{}\"}}",
                  Response.m_Status == 200 ? "complete" : "refused"));
  m_Request.m_Exchange->respond(std::move(Response),
                                std::move(Body.m_Reservation));
  finish();
}

void CompletionRelay::sendError(const absl::Status &Reason,
                                Outcome AttemptOutcome, Duration RetryAfter) {
  // A refusal of the last attempt does not tell whether an earlier attempt ran.
  const bool MayHaveRunEarlier =
      m_MayHaveRun && AttemptOutcome == Outcome::NotRun;
  const ErrorResponse Error =
      MayHaveRunEarlier
          ? ErrorResponse{withMayHaveRunRemedy(Reason), Outcome::Unknown,
                          RetryAfter, m_Request.m_RequestId}
          : ErrorResponse{Reason, AttemptOutcome, RetryAfter,
                          m_Request.m_RequestId};
  m_DataPath.metrics().increment(
      fmt::format("refusals_total{{kind=\"{}\"}}",
                  nameOf(ErrorKindNames, errorKind(Reason))));
  logLine(LogLevel::Info, "gateway",
          fmt::format("request {} of organisation {} refused: {}",
                      m_Request.m_RequestId, m_Request.m_Organisation,
                      std::string(Reason.message())));
  if (m_ResponseStarted) {
    m_Request.m_Exchange->write(fmt::format("data: {}\n\n", errorJson(Error)));
    m_Request.m_Exchange->finish();
  } else {
    m_Request.m_Exchange->respond(errorHttpResponse(Error));
  }
  finish();
}

void CompletionRelay::refuse(const absl::Status &Reason, Duration RetryAfter) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (m_IsDone)
    return;
  sendError(Reason, Outcome::NotRun, RetryAfter);
}

void CompletionRelay::finish() {
  if (m_IsDone.exchange(true))
    return;
  m_OnDone();
}

} // namespace fulmarwinch
