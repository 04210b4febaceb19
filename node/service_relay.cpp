#include "node/service_relay.h"

#include "core/error.h"
#include "core/log.h"

#include "fmt/format.h"

#include <utility>

namespace fulmarwinch {

namespace {

/// Larger responses of plain services are refused, since they are held whole.
constexpr std::size_t MaxResponseBytes = 8U << 20U;
constexpr Duration RetryAfterFailure = std::chrono::seconds(1);

/// Spreads requests over the backend servers of all services.
std::atomic<std::size_t> NextBackend{0};

/// What a refused claim says about the request as a whole.
Outcome outcomeOf(ClaimResultKind Kind) {
  switch (Kind) {
  case ClaimResultKind::KeyReused:
  case ClaimResultKind::StoreUnavailable:
  case ClaimResultKind::BucketFull:
    return Outcome::NotRun;
  default:
    // Another attempt with this key may run or may have run.
    return Outcome::Unknown;
  }
}

Duration retryAfter(ClaimResultKind Kind) {
  const bool MayChange = Kind == ClaimResultKind::InProgress ||
                         Kind == ClaimResultKind::StoreUnavailable;
  return MayChange ? RetryAfterFailure : Duration{0};
}

std::string contentType(const HttpHeaders &Headers) {
  return findHeader(Headers, "Content-Type")
      .value_or("application/octet-stream");
}

} // namespace

ServiceRelay::ServiceRelay(ServiceRequest Request, DataPath &Path,
                           HttpClient &Client, ClaimService &Claims,
                           std::function<void()> OnDone)
    : m_Request(std::move(Request)), m_Path(Path), m_Client(Client),
      m_Claims(Claims), m_OnDone(std::move(OnDone)), m_Backend(NextBackend++) {}

void ServiceRelay::start() {
  if (!m_Request.m_Key) {
    dispatch();
    return;
  }
  const HttpRequest &Request = m_Request.m_Exchange->request();
  // The target is part of what must not differ under one key.
  const std::string Content = fmt::format("{} {}\n{}", Request.m_Method,
                                          m_Request.m_Target, Request.m_Body);
  m_Claims.claim(*m_Request.m_Key, m_Request.m_Organisation, Content,
                 [Self = shared_from_this()](ClaimResult Result) {
                   Self->onClaim(std::move(Result));
                 });
}

void ServiceRelay::onClaim(ClaimResult Result) {
  if (Result.m_Kind != ClaimResultKind::Granted || !Result.m_Token) {
    answerClaimed(Result);
    return;
  }
  m_Claim = Result.m_Token->consume();
  dispatch();
}

void ServiceRelay::answerClaimed(const ClaimResult &Result) {
  if (Result.m_Kind == ClaimResultKind::AlreadyDone && Result.m_Outcome &&
      !Result.m_Outcome->m_IsBodyComplete) {
    // The start of a response must not look like a complete one.
    m_Request.m_Exchange->respond(errorHttpResponse(
        {makeError(ErrorKind::Conflict,
                   fmt::format("the request ran with status {} and its "
                               "response was too long to be recorded",
                               Result.m_Outcome->m_StatusCode),
                   "read the result from the service"),
         Outcome::Ran, Duration{0}, m_Request.m_RequestId}));
    m_OnDone();
    return;
  }
  if (Result.m_Kind == ClaimResultKind::AlreadyDone && Result.m_Outcome) {
    HttpResponse Response;
    Response.m_Status = Result.m_Outcome->m_StatusCode;
    Response.m_Headers = {{"X-Request-Id", m_Request.m_RequestId},
                          {"X-Idempotent-Replay", "true"},
                          {"Content-Type", "application/json"}};
    Response.m_Body = Result.m_Outcome->m_Body;
    m_Request.m_Exchange->respond(std::move(Response));
    m_OnDone();
    return;
  }
  const ErrorResponse Error{claimStatus(Result.m_Kind),
                            outcomeOf(Result.m_Kind), retryAfter(Result.m_Kind),
                            m_Request.m_RequestId};
  m_Path.metrics().count(
      fmt::format("claims_total{{result=\"{}\"}}",
                  nameOf(ClaimResultKindNames, Result.m_Kind)));
  m_Request.m_Exchange->respond(errorHttpResponse(Error));
  m_OnDone();
}

void ServiceRelay::dispatch() {
  ++m_Attempts;
  m_Headers.clear();
  m_Body.clear();
  m_MarkedNotRun = false;
  m_TooLarge = false;
  m_Client.start(makeCall());
}

HttpCall ServiceRelay::makeCall() {
  const HttpRequest &Request = m_Request.m_Exchange->request();
  const std::vector<std::string> &Backends = m_Request.m_Service.m_Backends;
  HttpCall Call;
  Call.m_Method = Request.m_Method;
  Call.m_Url = fmt::format("http://{}{}", Backends[m_Backend % Backends.size()],
                           m_Request.m_Target);
  Call.m_Body = Request.m_Body;
  Call.m_Headers = {{"Content-Type", contentType(Request.m_Headers)},
                    {"X-Request-Id", m_Request.m_RequestId}};
  if (m_Request.m_Key)
    Call.m_Headers.push_back({"Idempotency-Key", m_Request.m_Key->text()});
  Call.m_TotalTimeout =
      std::chrono::milliseconds(m_Request.m_Service.m_TimeoutMs);
  Call.m_FreshConnection = m_Request.m_Key.has_value();
  const auto Self = shared_from_this();
  Call.m_OnHeaders = [Self](int, const HttpHeaders &Headers) {
    Self->m_Headers = Headers;
    Self->m_MarkedNotRun = findHeader(Headers, "X-Outcome") == "not_run";
  };
  Call.m_OnData = [Self](std::string_view Data) {
    if (Self->m_Body.size() + Data.size() > MaxResponseBytes)
      Self->m_TooLarge = true;
    else
      Self->m_Body += Data;
  };
  Call.m_OnDone = [Self](const HttpCallResult &Result) {
    Self->onDone(Result);
  };
  return Call;
}

void ServiceRelay::onDone(const HttpCallResult &Result) {
  AttemptFacts Facts;
  Facts.m_BytesSent = Result.m_NothingSent ? 0 : 1;
  Facts.m_HttpStatus = Result.m_Status;
  Facts.m_MarkedNotRun = m_MarkedNotRun;
  Facts.m_ResponseComplete = Result.m_Complete;
  const Outcome Ended = classifyAttempt(Facts);
  m_MayHaveRun = m_MayHaveRun || Ended != Outcome::NotRun;
  m_IsAnySent = m_IsAnySent || !Result.m_NothingSent;
  RetryState State;
  State.m_Idempotent = !m_Request.m_Key.has_value();
  const bool Retry =
      chooseRetry(Ended, State) == RetryAction::RetryElsewhere &&
      m_Attempts < m_Request.m_Service.m_Backends.size() &&
      m_Path.tryRetry("service/" + m_Request.m_Service.m_Name, monotonicNow());
  if (Retry) {
    m_Path.metrics().count("retries_total");
    ++m_Backend;
    dispatch();
    return;
  }
  if (m_Claim)
    record(Result, Ended);
  if (Ended == Outcome::Ran && !m_TooLarge) {
    m_Path.onSuccess("service/" + m_Request.m_Service.m_Name);
    answerResponse(Result.m_Status);
    return;
  }
  answerError(
      makeError(ErrorKind::UpstreamFailed,
                fmt::format("service {} did not complete the response: {}",
                            m_Request.m_Service.m_Name,
                            Result.m_Error.empty()
                                ? fmt::format("status {}", Result.m_Status)
                                : Result.m_Error),
                remedyFor(Ended)),
      Ended);
}

std::string_view ServiceRelay::remedyFor(Outcome Ended) const {
  if (Ended != Outcome::NotRun)
    return "the request may have run, check before sending it again";
  // A claim is released only if no byte left this node, so the key is used up
  // by a request that the service itself refused.
  return m_Request.m_Key && m_IsAnySent
             ? "the request was not run, send it again under a new key"
             : "the request was not run, send it again";
}

void ServiceRelay::record(const HttpCallResult &Result, Outcome Ended) {
  if (!m_IsAnySent) {
    m_Claims.releaseUnsent(std::move(*m_Claim));
  } else if (Ended == Outcome::Ran) {
    ClaimOutcome Recorded;
    Recorded.m_StatusCode = Result.m_Status;
    Recorded.m_Body = m_Body;
    m_Claims.recordDone(std::move(*m_Claim), std::move(Recorded));
  } else {
    m_Claims.recordUnknown(std::move(*m_Claim));
  }
  m_Claim.reset();
}

void ServiceRelay::answerResponse(int Status) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Headers = {{"Content-Type", contentType(m_Headers)},
                        {"X-Request-Id", m_Request.m_RequestId}};
  Response.m_Body = std::move(m_Body);
  m_Path.metrics().count("service_requests_total{result=\"complete\"}");
  m_Request.m_Exchange->respond(std::move(Response));
  m_OnDone();
}

void ServiceRelay::answerError(const absl::Status &Reason, Outcome Ended) {
  const bool IsContradicted = m_MayHaveRun && Ended == Outcome::NotRun;
  const ErrorResponse Error =
      IsContradicted ? ErrorResponse{mayHaveRun(Reason), Outcome::Unknown,
                                     RetryAfterFailure, m_Request.m_RequestId}
                     : ErrorResponse{Reason, Ended, RetryAfterFailure,
                                     m_Request.m_RequestId};
  m_Path.metrics().count("service_requests_total{result=\"failed\"}");
  logLine(LogLevel::Warning, "gateway",
          fmt::format("request {}: {}", m_Request.m_RequestId,
                      std::string(Reason.message())));
  m_Request.m_Exchange->respond(errorHttpResponse(Error));
  m_OnDone();
}

} // namespace fulmarwinch
