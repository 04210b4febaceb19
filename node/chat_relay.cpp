#include "node/chat_relay.h"

#include "core/error.h"
#include "core/log.h"

#include "fmt/format.h"

#include <utility>

namespace fulmarwinch {

namespace {

constexpr std::string_view StreamEnd = "[DONE]";
constexpr Duration RetryAfterFailure = std::chrono::seconds(1);
constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);

absl::Status upstreamError(const std::string &Problem) {
  return makeError(ErrorKind::UpstreamFailed, Problem,
                   "the request may be sent again");
}

bool isWaitable(ErrorKind Kind) {
  return Kind == ErrorKind::NoCapacity || Kind == ErrorKind::Overloaded;
}

double toSeconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

} // namespace

ChatRelay::ChatRelay(ChatRequest Request, DataPath &Path, HttpClient &Client,
                     DispatchQueue &Queue, const RelayLimits &Limits,
                     DoneCallback OnDone)
    : m_Request(std::move(Request)), m_Path(Path), m_Client(Client),
      m_Queue(Queue), m_Limits(Limits), m_OnDone(std::move(OnDone)),
      m_Splicer(m_Request.m_RequestId, Limits.m_MaxEarlyChunks),
      m_WaitUntilTicks(m_Request.m_WaitUntil.time_since_epoch().count()) {}

MonotonicTime ChatRelay::waitUntil() const {
  return MonotonicTime(Duration(m_WaitUntilTicks.load()));
}

absl::StatusOr<RouteDecision> ChatRelay::chooseGroup(MonotonicTime Now) {
  absl::StatusOr<RouteDecision> Decision = m_Path.route(m_Request.m_Route, Now);
  // A group that failed once is still better than none, for example after all
  // groups have failed.
  const bool MayReturn = !m_Request.m_Route.m_Excluded.empty() &&
                         Now - m_LastAttemptEnded >= m_Limits.m_ExclusionTime;
  if (Decision.ok() || !MayReturn)
    return Decision;
  m_Request.m_Route.m_Excluded.clear();
  return m_Path.route(m_Request.m_Route, Now);
}

StartResult ChatRelay::tryStart(MonotonicTime Now) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (m_Done)
    return StartResult::Started;
  if (m_Request.m_Exchange->isClientGone()) {
    finish();
    return StartResult::Started;
  }
  const absl::StatusOr<RouteDecision> Decision = chooseGroup(Now);
  if (!Decision.ok()) {
    const absl::Status &Refusal = Decision.status();
    // A request that excludes groups may wait while others find a place, so it
    // must not hold them up.
    const bool IsParticular =
        dependsOnRequest(Refusal) || !m_Request.m_Route.m_Excluded.empty();
    if (isWaitable(errorKind(Refusal)))
      return IsParticular ? StartResult::Unservable : StartResult::NoRoom;
    answerError(Refusal, Outcome::NotRun, Duration{0});
    return StartResult::Started;
  }
  if (const std::optional<StartResult> Instead = checkPoison(*Decision))
    return *Instead;
  dispatch(*Decision, Now);
  return StartResult::Started;
}

std::optional<StartResult>
ChatRelay::checkPoison(const RouteDecision &Decision) {
  const std::string &Server = Decision.m_View->m_Group;
  const PoisonVerdict Verdict = m_Path.withPoison([&](PoisonDetector &Poison) {
    const PoisonVerdict Found =
        Poison.verdict(m_Request.m_ContentHash, monotonicNow());
    if (Found == PoisonVerdict::Isolate &&
        Poison.beginIsolation(m_Request.m_ContentHash, Server)) {
      Poison.onDispatch(m_Request.m_ContentHash, Server);
      return PoisonVerdict::Run;
    }
    if (Found == PoisonVerdict::Run)
      Poison.onDispatch(m_Request.m_ContentHash, Server);
    return Found;
  });
  if (Verdict == PoisonVerdict::Run)
    return std::nullopt;
  m_Path.endAttempt(Decision, std::nullopt);
  if (Verdict == PoisonVerdict::Refuse) {
    answerError(makeError(ErrorKind::Quarantined,
                          "requests with this content crashed several backend "
                          "servers",
                          "change the request or wait for one hour"),
                Outcome::NotRun, Duration{0});
    return StartResult::Started;
  }
  // A request that was dispatched before waits for its turn, since an answer
  // now would leave the client with a part of the response.
  if (m_Attempts > 0)
    return StartResult::Unservable;
  answerError(makeError(ErrorKind::Isolated,
                        "the request is suspected of crashing backend servers "
                        "and another suspect runs in isolation",
                        "send it again later"),
              Outcome::NotRun, RetryAfterFailure);
  return StartResult::Started;
}

void ChatRelay::dispatch(const RouteDecision &Decision, MonotonicTime Now) {
  ++m_Attempts;
  m_Attempt = Attempt{};
  m_Attempt.m_Number = m_Splicer.beginAttempt();
  m_Attempt.m_Decision = Decision;
  m_Attempt.m_StartedAt = Now;
  m_Attempt.m_LastTokenAt = Now;
  m_Attempt.m_FirstIndex = m_Splicer.nextIndex();
  m_Attempt.m_IsOpen = true;
  m_Attempt.m_Call =
      m_Client.start(makeCall(*Decision.m_View, m_Attempt.m_Number));
  if (m_Attempts > 1) {
    m_Path.metrics().count("retries_total");
    logLine(LogLevel::Info, "gateway",
            fmt::format("request {} continues on group {} at token {}",
                        m_Request.m_RequestId, Decision.m_View->m_Group,
                        m_Attempt.m_FirstIndex));
  }
}

HttpCall ChatRelay::makeCall(const GroupView &View, std::uint32_t Number) {
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
  Call.m_OnHeaders = [Self, Number](int Status, const HttpHeaders &Headers) {
    Self->onHeaders(Number, Status, Headers);
  };
  Call.m_OnData = [Self, Number](std::string_view Data) {
    Self->onData(Number, Data);
  };
  Call.m_OnDone = [Self, Number](const HttpCallResult &Result) {
    Self->onDone(Number, Result);
  };
  return Call;
}

void ChatRelay::onHeaders(std::uint32_t Number, int Status,
                          const HttpHeaders &Headers) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (Number != m_Attempt.m_Number || !m_Attempt.m_IsOpen)
    return;
  m_Attempt.m_Status = Status;
  m_Attempt.m_Headers = Headers;
  m_Attempt.m_MarkedNotRun = findHeader(Headers, "X-Outcome") == "not_run";
  if (const auto StartId = findHeader(Headers, "X-Start-Id"))
    m_Path.slots().onStartId(m_Attempt.m_Decision.m_View->m_Group, *StartId);
}

void ChatRelay::onData(std::uint32_t Number, std::string_view Data) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (Number != m_Attempt.m_Number || !m_Attempt.m_IsOpen)
    return;
  const MonotonicTime Now = monotonicNow();
  if (!m_Request.m_IsStream || m_Attempt.m_Status != 200) {
    m_Attempt.m_LastTokenAt = Now;
    if (m_Attempt.m_Body.size() + Data.size() > m_Limits.m_MaxBodyBytes) {
      m_Attempt.m_IsTooLarge = true;
      m_Client.cancel(m_Attempt.m_Call);
      return;
    }
    m_Attempt.m_Body += Data;
    return;
  }
  for (const std::string &Event : m_Attempt.m_Parser.accept(Data))
    acceptEvent(Event, Now);
  // Nothing after an event that is too large can be used, so the stream is
  // resumed by another attempt.
  if (m_Attempt.m_Parser.hasOverflowed())
    m_Client.cancel(m_Attempt.m_Call);
}

void ChatRelay::acceptEvent(const std::string &Data, MonotonicTime Now) {
  if (Data == StreamEnd)
    return;
  const Json Event = Json::parse(Data, nullptr, false);
  // An engine that fails in the middle says so in an event of its own; the
  // stream then ends without a final chunk.
  if (!Event.is_object() || Event.contains("error"))
    return;
  if (m_Attempt.m_Tokens == 0)
    m_Attempt.m_FirstTokenTime =
        std::chrono::duration_cast<Duration>(Now - m_Attempt.m_StartedAt);
  // An engine that does not number its tokens may ignore the resume offset
  // too, so its tokens can only be placed if they start at the first one.
  const bool IsNumbered = Event.contains("fulmarwinch_index");
  if (!IsNumbered && m_Attempt.m_FirstIndex > 0) {
    m_Client.cancel(m_Attempt.m_Call);
    return;
  }
  StreamChunk Chunk;
  Chunk.m_RequestId = memberOr<std::string>(Event, "id", "");
  Chunk.m_Attempt = m_Attempt.m_Number;
  Chunk.m_Index = memberOr<std::uint64_t>(
      Event, "fulmarwinch_index", m_Attempt.m_FirstIndex + m_Attempt.m_Tokens);
  Chunk.m_Payload = Data;
  if (Event.contains("choices") && Event["choices"].is_array() &&
      !Event["choices"].empty())
    Chunk.m_Final = Event["choices"][0].contains("finish_reason") &&
                    !Event["choices"][0]["finish_reason"].is_null();
  ++m_Attempt.m_Tokens;
  m_Attempt.m_LastTokenAt = Now;
  const SpliceResult Result = m_Splicer.accept(Chunk);
  if (Result.m_Verdict == SpliceVerdict::ForeignRequest)
    m_Path.metrics().count("foreign_chunks_total");
  // The attempt has lost chunks; the next one starts at the missing token.
  if (Result.m_Verdict == SpliceVerdict::TooEarly)
    m_Client.cancel(m_Attempt.m_Call);
  for (const std::string &Payload : Result.m_Deliver)
    deliver(Payload);
}

void ChatRelay::deliver(const std::string &Payload) {
  if (!m_ResponseStarted) {
    m_ResponseStarted = true;
    m_Path.metrics().observe("first_token_seconds",
                             toSeconds(std::chrono::duration_cast<Duration>(
                                 monotonicNow() - m_Request.m_ArrivedAt)));
    m_Request.m_Exchange->startStream(
        200, {{"Content-Type", "text/event-stream"},
              {"Cache-Control", "no-cache"},
              {"X-Request-Id", m_Request.m_RequestId}});
  }
  if (m_Request.m_Exchange->write(fmt::format("data: {}\n\n", Payload)))
    return;
  // The client is gone, so the engine's work is of no use to anybody.
  m_Client.cancel(m_Attempt.m_Call);
}

void ChatRelay::onDone(std::uint32_t Number, const HttpCallResult &Result) {
  const MonotonicTime Now = monotonicNow();
  NextStep Next = NextStep::None;
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (Number != m_Attempt.m_Number || !m_Attempt.m_IsOpen)
      return;
    Next = endAttempt(Result, Now);
  }
  // The queue calls tryStart(), which takes the lock of this relay.
  if (Next == NextStep::Wait)
    m_Queue.resume(m_Request.m_Route.m_Deployment, shared_from_this(), Now);
  m_Queue.pump(m_Request.m_Route.m_Deployment, Now);
}

ChatRelay::NextStep ChatRelay::endAttempt(const HttpCallResult &Result,
                                          MonotonicTime Now) {
  AttemptFacts Facts;
  Facts.m_BytesSent = Result.m_NothingSent ? 0 : 1;
  Facts.m_HttpStatus = Result.m_Status;
  Facts.m_MarkedNotRun = m_Attempt.m_MarkedNotRun;
  Facts.m_ResponseComplete =
      Result.m_Complete && (!m_Request.m_IsStream || Result.m_Status != 200 ||
                            m_Splicer.isComplete());
  const Outcome Ended = classifyAttempt(Facts);
  const bool Success = Ended == Outcome::Ran && Result.m_Status == 200;
  m_MayHaveRun = m_MayHaveRun || Ended != Outcome::NotRun;
  recordAttempt(Result, Success, Now);
  if (m_Request.m_Exchange->isClientGone()) {
    finish();
    return NextStep::None;
  }
  if (m_Attempt.m_IsTooLarge) {
    answerError(makeError(ErrorKind::UpstreamFailed,
                          "the response is larger than this node accepts",
                          "ask for fewer tokens or a streamed response"),
                Outcome::Unknown, Duration{0});
    return NextStep::None;
  }
  if (Success) {
    m_Path.onSuccess(m_Request.m_Route.m_Deployment);
    m_Request.m_IsStream ? finishStream() : answerWhole();
    return NextStep::None;
  }
  return chooseNext(Ended, Now);
}

void ChatRelay::recordAttempt(const HttpCallResult &Result, bool Success,
                              MonotonicTime Now) {
  const std::string Group = m_Attempt.m_Decision.m_View->m_Group;
  const ContentHash Hash = m_Request.m_ContentHash;
  const bool LostConnection =
      !Result.m_Complete && !Result.m_Cancelled && !Result.m_NothingSent;
  m_Path.withPoison([&](PoisonDetector &Poison) {
    if (Success)
      Poison.onCompleted(Hash, Group, Now);
    else if (LostConnection)
      Poison.onServerCrash(Group, Now);
    else
      Poison.onEnded(Hash, Group);
  });
  if (Success)
    m_Path.outliers().onSuccess(Group, m_Request.m_Route.m_Class, Now);
  else if (!Result.m_Cancelled)
    m_Path.outliers().onFailure(Group, m_Request.m_Route.m_Class, Now);
  if (LostConnection)
    m_Path.slots().onConnectionLost(Group);
  else if (!Success && !Result.m_Cancelled)
    m_Path.slots().onFailure(Group);
  closeAttempt();
}

void ChatRelay::closeAttempt() {
  std::optional<ObservedTimes> Times;
  if (m_Attempt.m_Tokens > 1) {
    const Duration Streaming = std::chrono::duration_cast<Duration>(
        m_Attempt.m_LastTokenAt - m_Attempt.m_StartedAt -
        m_Attempt.m_FirstTokenTime);
    Times = ObservedTimes{toSeconds(m_Attempt.m_FirstTokenTime),
                          toSeconds(Streaming) /
                              static_cast<double>(m_Attempt.m_Tokens - 1),
                          m_Attempt.m_LastTokenAt};
  }
  m_Path.endAttempt(m_Attempt.m_Decision, Times);
  m_Attempt.m_IsOpen = false;
  m_LastAttemptEnded = monotonicNow();
}

ChatRelay::NextStep ChatRelay::chooseNext(Outcome Result, MonotonicTime Now) {
  RetryState State;
  State.m_TokensDelivered = m_Splicer.nextIndex();
  State.m_ResponseStarted = m_ResponseStarted;
  State.m_Resumable = m_Request.m_IsStream;
  // Completions change nothing outside the engine, so they may be repeated
  // even after a refusal that counts as run.
  const Outcome Counted = Result == Outcome::Ran ? Outcome::Unknown : Result;
  const RetryAction Action = chooseRetry(Counted, State);
  const bool IsResume = Action == RetryAction::ResumeElsewhere;
  // A resumed stream needs no budget: such streams are bounded by the
  // requests in flight, and their clients hold a part that would be lost.
  const bool Allowed =
      Action != RetryAction::Answer && m_Attempts < m_Limits.m_MaxAttempts &&
      (IsResume || m_Path.tryRetry(m_Request.m_Route.m_Deployment, Now));
  if (!Allowed) {
    // Only the engine's own answer to the request is passed on. Other errors
    // are told by this node, which knows the outcome of all attempts.
    if (!m_ResponseStarted && Result == Outcome::Ran)
      answerWhole();
    else
      answerError(
          upstreamError(fmt::format("group {} did not complete the response",
                                    m_Attempt.m_Decision.m_View->m_Group)),
          Result, RetryAfterFailure);
    return NextStep::None;
  }
  m_Request.m_Route.m_Excluded.insert(m_Attempt.m_Decision.m_View->m_Group);
  if (IsResume)
    m_WaitUntilTicks = (Now + m_Limits.m_ResumeWait).time_since_epoch().count();
  return NextStep::Wait;
}

void ChatRelay::checkProgress(MonotonicTime Now) {
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (m_Done)
      return;
    if (m_Request.m_Exchange->isClientGone()) {
      abandon();
      return;
    }
    if (!m_Attempt.m_IsOpen)
      return;
    const Duration Limit = m_Attempt.m_Tokens == 0
                               ? m_Limits.m_FirstTokenTimeout
                               : m_Limits.m_TokenTimeout;
    const auto Silence = Now - m_Attempt.m_LastTokenAt;
    const bool IsSilent = m_Request.m_IsStream && Silence > Limit;
    const bool IsWithdrawn =
        Silence > m_Limits.m_WithdrawnTimeout &&
        !m_Path.isServing(*m_Attempt.m_Decision.m_View, Now);
    if (!IsSilent && !IsWithdrawn)
      return;
    // A group that no longer serves has left the routing table already.
    if (IsSilent)
      m_Path.outliers().onFailure(m_Attempt.m_Decision.m_View->m_Group,
                                  m_Request.m_Route.m_Class, Now);
    moveElsewhere(Now);
    if (m_Done)
      return;
  }
  m_Queue.resume(m_Request.m_Route.m_Deployment, shared_from_this(), Now);
}

void ChatRelay::abandon() {
  if (m_Attempt.m_IsOpen) {
    m_Client.cancel(m_Attempt.m_Call);
    m_Path.withPoison([this](PoisonDetector &Poison) {
      Poison.onEnded(m_Request.m_ContentHash,
                     m_Attempt.m_Decision.m_View->m_Group);
    });
    closeAttempt();
  }
  m_Path.metrics().count("abandoned_requests_total");
  finish();
}

void ChatRelay::moveElsewhere(MonotonicTime Now) {
  const std::string Group = m_Attempt.m_Decision.m_View->m_Group;
  m_Client.cancel(m_Attempt.m_Call);
  m_MayHaveRun = true;
  m_Path.withPoison([&](PoisonDetector &Poison) {
    Poison.onEnded(m_Request.m_ContentHash, Group);
  });
  closeAttempt();
  m_Path.metrics().count("moved_requests_total");
  if (m_Attempts >= m_Limits.m_MaxAttempts) {
    answerError(
        upstreamError(fmt::format("group {} stopped responding", Group)),
        Outcome::Unknown, RetryAfterFailure);
    return;
  }
  m_Request.m_Route.m_Excluded.insert(Group);
  m_WaitUntilTicks = (Now + m_Limits.m_ResumeWait).time_since_epoch().count();
}

void ChatRelay::finishStream() {
  m_Request.m_Exchange->write("data: [DONE]\n\n");
  m_Request.m_Exchange->finish();
  m_Path.metrics().count("requests_total{result=\"complete\"}");
  finish();
}

void ChatRelay::answerWhole() {
  HttpResponse Response;
  Response.m_Status = m_Attempt.m_Status;
  Response.m_Headers = {{"Content-Type", "application/json"},
                        {"X-Request-Id", m_Request.m_RequestId}};
  Response.m_Body = std::move(m_Attempt.m_Body);
  m_Path.metrics().count(
      fmt::format("requests_total{{result=\"{}\"}}",
                  Response.m_Status == 200 ? "complete" : "refused"));
  m_Request.m_Exchange->respond(std::move(Response));
  finish();
}

void ChatRelay::answerError(const absl::Status &Reason, Outcome Result,
                            Duration RetryAfter) {
  // The last refusal says nothing about earlier attempts.
  const bool IsContradicted = m_MayHaveRun && Result == Outcome::NotRun;
  const ErrorResponse Error =
      IsContradicted
          ? ErrorResponse{mayHaveRun(Reason), Outcome::Unknown, RetryAfter,
                          m_Request.m_RequestId}
          : ErrorResponse{Reason, Result, RetryAfter, m_Request.m_RequestId};
  m_Path.metrics().count(
      fmt::format("refusals_total{{kind=\"{}\"}}",
                  nameOf(ErrorKindNames, errorKind(Reason))));
  logLine(LogLevel::Info, "gateway",
          fmt::format("request {} of {} refused: {}", m_Request.m_RequestId,
                      m_Request.m_Organisation, std::string(Reason.message())));
  if (m_ResponseStarted) {
    m_Request.m_Exchange->write(fmt::format("data: {}\n\n", errorJson(Error)));
    m_Request.m_Exchange->finish();
  } else {
    m_Request.m_Exchange->respond(errorHttpResponse(Error));
  }
  finish();
}

void ChatRelay::refuse(const absl::Status &Reason, Duration RetryAfter) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (m_Done)
    return;
  answerError(Reason, Outcome::NotRun, RetryAfter);
}

void ChatRelay::finish() {
  if (m_Done.exchange(true))
    return;
  m_OnDone();
}

} // namespace fulmarwinch
