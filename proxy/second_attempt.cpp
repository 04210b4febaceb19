#include "proxy/second_attempt.h"
#include "core/text.h"
#include "proxy/response_buffer.h"
#include "proxy/server_notices.h"
#include "servers/retry/response_flaw.h"

namespace fulmarwinch {

namespace {

constexpr int Ok = 200;
constexpr int FirstRedirection = 300;

bool isSuccess(int Status) { return Status >= Ok && Status < FirstRedirection; }

} // namespace

struct SecondAttempt::Impl {
  Impl(RequestRelayContext &Context, SecondAttemptRequest Request)
      : m_Context(Context), m_Request(std::move(Request)),
        m_Call(std::make_shared<UpstreamCall>(
            Context.m_Loop, m_Request.m_Server.m_Endpoint,
            std::move(m_Request.m_Head), std::move(m_Request.m_Body),
            m_Request.m_ExpectsNoBody)) {
    ++m_Context.m_SecondAttemptCount;
  }
  ~Impl() { --m_Context.m_SecondAttemptCount; }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  void start(const std::shared_ptr<SecondAttempt> &Owner,
             SecondAttemptHandlers Handlers) {
    m_Handlers = std::move(Handlers);
    m_Context.m_Selector.onDispatched(m_Request.m_Server.m_Id,
                                      m_Request.m_SentAt, m_Request.m_Model,
                                      m_Request.m_Tokens);
    for (const ContentHash Content : m_Request.m_Contents)
      m_Context.m_PoisonDetector.onDispatch(Content, processKey());
    m_Context.m_Metrics.increment("second_attempts_sent_total");
    UpstreamCallHandlers CallHandlers;
    CallHandlers.m_MaySend = [this, Owner] { return m_Handlers.m_MaySend(); };
    CallHandlers.m_OnHead = [this, Owner](HttpMessageHead Head) {
      onHead(std::move(Head));
    };
    CallHandlers.m_OnBody = [this, Owner](std::string_view Bytes) {
      onBody(Bytes);
    };
    CallHandlers.m_OnEnd = [this, Owner](UpstreamOutcome Outcome) {
      onEnd(Outcome);
    };
    m_Call->start(std::move(CallHandlers), m_Request.m_ConnectTimeout,
                  m_Request.m_Timeout);
  }

  std::string processKey() const {
    return CrashDetector::processName(m_Request.m_Server.m_Id,
                                      m_Request.m_Server.m_StartedAtMs);
  }

  void onHead(HttpMessageHead Head) {
    if (m_Receiver) {
      m_Receiver->m_OnHead(std::move(Head));
      return;
    }
    m_Head = std::move(Head);
    m_IsStream = m_Request.m_IsStreaming && m_Head->m_Status == Ok;
    const HeaderNames &Names = m_Context.m_HeaderNames;
    if (findHeader(m_Head->m_Headers, Names.m_RequestId)
            .value_or(m_Request.m_Id) != m_Request.m_Id)
      fail("foreign_response");
    else if (isSuccess(m_Head->m_Status) &&
             !findHeader(m_Head->m_Headers, Names.m_ResponseDigest))
      fail("no_digest");
    else
      m_Request.m_Sequence.beginAttempt();
  }

  void onBody(std::string_view Bytes) {
    if (m_Receiver) {
      m_Receiver->m_OnBody(Bytes);
      return;
    }
    if (m_HasEnded)
      return;
    if (!m_Body.append(Bytes)) {
      fail("no_memory");
      return;
    }
    if (m_Body.bytes().size() > m_Request.m_MaxBodyBytes) {
      fail("response_too_large");
      return;
    }
    if (!m_IsStream) {
      reserveNextRead();
      return;
    }
    for (const RawEvent &Event : m_Splitter.accept(Bytes)) {
      m_HasEvents = true;
      switch (m_Request.m_Sequence.accept(Event)) {
      case EventSequenceFilter::Verdict::Duplicate:
        break;
      case EventSequenceFilter::Verdict::Gap:
        fail("event_gap");
        return;
      case EventSequenceFilter::Verdict::Deliver:
        m_Handlers.m_OnWon();
        return;
      }
    }
    if (m_Splitter.hasFailed())
      fail("event_too_large");
    else
      reserveNextRead();
  }

  /// Ends the attempt if there is no memory for the next read. The first
  /// attempt goes on, so that the request does not depend on this one.
  void reserveNextRead() {
    if (!m_Body.prepareRead())
      fail("no_memory");
  }

  void onEnd(UpstreamOutcome Outcome) {
    if (m_Receiver) {
      m_Receiver->m_OnEnd(Outcome);
      return;
    }
    if (Outcome == UpstreamOutcome::NotConnected) {
      m_Context.m_Selector.availability().onConnectFailed(
          m_Request.m_Server.m_Id, monotonicNow());
      end(SecondAttemptResult::NotConnected, "not_connected");
      return;
    }
    if (Outcome == UpstreamOutcome::NotSent) {
      end(SecondAttemptResult::NotSent, "not_sent");
      return;
    }
    const bool HasResponse = hasResponse(Outcome);
    const ResponseFlaw Flaw =
        HasResponse ? findFlaw(Outcome) : ResponseFlaw::None;
    const bool IsInterrupted =
        Outcome == UpstreamOutcome::EndedByClose && Flaw != ResponseFlaw::None;
    if (Outcome == UpstreamOutcome::Reset ||
        Outcome == UpstreamOutcome::Truncated || IsInterrupted)
      onConnectionLost();
    if (!HasResponse)
      end(SecondAttemptResult::Failed, nameOf(UpstreamOutcomeNames, Outcome));
    else if (Flaw != ResponseFlaw::None)
      end(SecondAttemptResult::Failed, nameOf(ResponseFlawNames, Flaw));
    else
      onComplete(Outcome);
  }

  void onComplete(UpstreamOutcome Outcome) {
    switch (judgeResponse(*m_Head, m_Context.m_HeaderNames)) {
    case ResponseVerdict::NotRun:
      recordRefusal(m_Context, m_Request.m_Server, *m_Head, m_Request.m_Id);
      end(SecondAttemptResult::Refused, "not_run");
      return;
    case ResponseVerdict::UnprovenRefusal:
      recordUnprovenRefusal(m_Context, m_Head->m_Status);
      end(SecondAttemptResult::Failed, UnprovenRefusalCause);
      return;
    case ResponseVerdict::ServerError:
      end(SecondAttemptResult::Failed, "server_error");
      return;
    case ResponseVerdict::Answer:
      m_Outcome = Outcome;
      m_Handlers.m_OnWon();
    }
  }

  /// Checks a response that has ended. The head alone tells that a request has
  /// not been executed.
  ResponseFlaw findFlaw(UpstreamOutcome Outcome) const {
    if (reportsNotRun(*m_Head, m_Context.m_HeaderNames))
      return ResponseFlaw::None;
    const ResponseEnd End = Outcome == UpstreamOutcome::Complete
                                ? ResponseEnd::Delimited
                                : ResponseEnd::ConnectionClosed;
    if (m_IsStream)
      return findStreamFlaw(m_Splitter, m_Request.m_Sequence, m_HasEvents, End,
                            false);
    return findBodyFlaw(
        m_Head->m_Status,
        findHeader(m_Head->m_Headers, "Content-Type").value_or(""),
        m_Body.bytes(), End);
  }

  void onConnectionLost() {
    if (!recordLostConnection(m_Context, m_Request.m_Server,
                              m_Request.m_Contents))
      return;
    m_IsCrashWatchPending = true;
    if (m_Context.m_OnConnectionLost)
      m_Context.m_OnConnectionLost(m_Request.m_Server);
  }

  void releaseBuffer() {
    m_Body.clear();
    m_Splitter = EventSplitter();
  }

  /// Ends the attempt because of its response, the rest of which is not read.
  void fail(std::string_view Cause) {
    m_Call->cancel();
    end(SecondAttemptResult::Failed, Cause);
  }

  void end(SecondAttemptResult Result, std::string_view Cause) {
    release(Result, Cause);
    m_Handlers.m_OnEnded(Result);
  }

  /// Ends the responsibility for the server. What its response says about the
  /// server counts although the response is not passed on.
  void release(SecondAttemptResult Result, std::string_view Cause) {
    m_HasEnded = true;
    if (m_Head)
      recordServerNotices(m_Context, m_Request.m_Server,
                          {m_Head->m_Status, m_Head->m_Headers, m_Request.m_Id,
                           m_Request.m_SentAt});
    m_Context.m_Selector.onRequestEnded(m_Request.m_Server.m_Id,
                                        m_Request.m_Tokens);
    if (!m_IsCrashWatchPending)
      for (const ContentHash Content : m_Request.m_Contents)
        m_Context.m_PoisonDetector.onInconclusiveEnd(Content, processKey());
    releaseBuffer();
    logEnd(Result, Cause);
  }

  void adopt(UpstreamCallHandlers Receiver, SecondAttemptResult Result) {
    m_HasEnded = true;
    m_Receiver = std::move(Receiver);
    const ReservedBytes Body = m_Body.take();
    releaseBuffer();
    logEnd(Result, nameOf(SecondAttemptResultNames, Result));
    if (m_Head)
      m_Receiver->m_OnHead(*m_Head);
    if (!Body.m_Bytes.empty())
      m_Receiver->m_OnBody(Body.m_Bytes);
    if (m_Outcome)
      onEnd(*m_Outcome);
  }

  void logEnd(SecondAttemptResult Result, std::string_view Cause) {
    const std::string_view Name = nameOf(SecondAttemptResultNames, Result);
    m_Context.m_Metrics.increment(
        concat("second_attempts_ended_total{result=\"", Name, "\"}"));
    m_Context.m_Log.write(
        "second_attempt_ended",
        {{"id", m_Request.m_Id},
         {"server", m_Request.m_Server.m_Id},
         {"result", Name},
         {"cause", Cause},
         {"after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                          monotonicNow() - m_Request.m_SentAt)
                          .count()}});
  }

  RequestRelayContext &m_Context;
  SecondAttemptRequest m_Request;
  SecondAttemptHandlers m_Handlers;
  std::shared_ptr<UpstreamCall> m_Call;
  std::optional<HttpMessageHead> m_Head;
  /// Bytes of the body that are held back.
  ResponseBuffer m_Body{m_Context.m_Memory, this};
  EventSplitter m_Splitter;
  /// How the exchange ended, if that is held back.
  std::optional<UpstreamOutcome> m_Outcome;
  /// Receives the response once the relay has adopted this attempt.
  std::optional<UpstreamCallHandlers> m_Receiver;
  bool m_IsStream = false;
  bool m_HasEvents = false;
  bool m_HasEnded = false;
  bool m_IsCrashWatchPending = false;
};

SecondAttempt::SecondAttempt(RequestRelayContext &Context,
                             SecondAttemptRequest Request)
    : m_Impl(std::make_unique<Impl>(Context, std::move(Request))) {}

SecondAttempt::~SecondAttempt() = default;

void SecondAttempt::start(SecondAttemptHandlers Handlers) {
  m_Impl->start(shared_from_this(), std::move(Handlers));
}

void SecondAttempt::cancel() {
  if (m_Impl->m_HasEnded)
    return;
  m_Impl->m_Call->cancel();
  m_Impl->release(SecondAttemptResult::Cancelled, "cancelled");
}

void SecondAttempt::adopt(UpstreamCallHandlers Receiver,
                          SecondAttemptResult Result) {
  m_Impl->adopt(std::move(Receiver), Result);
}

const ChosenServer &SecondAttempt::server() const {
  return m_Impl->m_Request.m_Server;
}

MonotonicTime SecondAttempt::sentAt() const {
  return m_Impl->m_Request.m_SentAt;
}

const std::shared_ptr<UpstreamCall> &SecondAttempt::call() const {
  return m_Impl->m_Call;
}

bool SecondAttempt::mayHaveArrived() const {
  return m_Impl->m_Call->mayHaveSent();
}

} // namespace fulmarwinch
