#include "node/service_relay.h"

#include "core/error.h"
#include "core/log.h"
#include "node/body_check.h"

#include "absl/strings/numbers.h"
#include "fmt/format.h"

#include <utility>

namespace fulmarwinch {

namespace {

/// Size limit of the responses of plain services, which are buffered in memory.
constexpr std::size_t MaxResponseBytes = 8U << 20U;
constexpr Duration FailureRetryAfter = std::chrono::seconds(1);

/// Distributes requests over the backend servers by round robin, with one
/// counter for all services.
std::atomic<std::size_t> NextBackendIndex{0};

/// Returns the outcome that is reported to the client for a refused claim.
Outcome outcomeOfRefusedClaim(ClaimResultKind Kind) {
  switch (Kind) {
  case ClaimResultKind::KeyReused:
  case ClaimResultKind::StoreUnavailable:
  case ClaimResultKind::BucketFull:
    return Outcome::NotRun;
  default:
    // Another request with this key may be running or may have run.
    return Outcome::Unknown;
  }
}

Duration retryAfterRefusedClaim(ClaimResultKind Kind) {
  const bool IsTemporary = Kind == ClaimResultKind::InProgress ||
                           Kind == ClaimResultKind::StoreUnavailable;
  return IsTemporary ? FailureRetryAfter : Duration{0};
}

std::string contentType(const HttpHeaders &Headers) {
  return findHeader(Headers, "Content-Type")
      .value_or("application/octet-stream");
}

} // namespace

ServiceRelay::ServiceRelay(ServiceRequest Request, DataPath &Path,
                           HttpClient &Client, ClaimService &Claims,
                           std::function<void()> OnDone)
    : m_Request(std::move(Request)), m_DataPath(Path), m_Client(Client),
      m_Claims(Claims), m_OnDone(std::move(OnDone)),
      m_BackendIndex(NextBackendIndex++) {}

void ServiceRelay::start() {
  if (!m_Request.m_Key) {
    dispatch();
    return;
  }
  const HttpRequest &Request = m_Request.m_Exchange->request();
  // The method and target belong to the claimed content, so that a key cannot
  // be reused for a different request.
  const std::string ClaimedContent = fmt::format(
      "{} {}\n{}", Request.m_Method, m_Request.m_Target, Request.m_Body);
  m_Claims.claim(*m_Request.m_Key, m_Request.m_Organisation, ClaimedContent,
                 [Self = shared_from_this()](ClaimResult Result) {
                   Self->onClaim(std::move(Result));
                 });
}

void ServiceRelay::onClaim(ClaimResult Result) {
  if (Result.m_Kind != ClaimResultKind::Granted || !Result.m_Token) {
    respondWithoutClaim(Result);
    return;
  }
  m_Claim = Result.m_Token->consume();
  dispatch();
}

void ServiceRelay::respondWithoutClaim(const ClaimResult &Result) {
  if (Result.m_Kind == ClaimResultKind::AlreadyDone && Result.m_Outcome &&
      !Result.m_Outcome->m_IsBodyComplete) {
    // Only the start of the response was recorded. It must not be replayed as a
    // complete response.
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
  const ErrorResponse Error{
      claimStatus(Result.m_Kind), outcomeOfRefusedClaim(Result.m_Kind),
      retryAfterRefusedClaim(Result.m_Kind), m_Request.m_RequestId};
  m_DataPath.metrics().increment(
      fmt::format("claims_total{{result=\"{}\"}}",
                  nameOf(ClaimResultKindNames, Result.m_Kind)));
  m_Request.m_Exchange->respond(errorHttpResponse(Error));
  m_OnDone();
}

void ServiceRelay::dispatch() {
  ++m_AttemptCount;
  m_Headers.clear();
  m_Body.clear();
  m_ReportedNotRun = false;
  m_IsBodyTooLarge = false;
  m_Client.start(makeCall());
}

HttpCall ServiceRelay::makeCall() {
  const HttpRequest &Request = m_Request.m_Exchange->request();
  const std::vector<std::string> &Backends = m_Request.m_Service.m_Backends;
  HttpCall Call;
  Call.m_Method = Request.m_Method;
  Call.m_Url =
      fmt::format("http://{}{}", Backends[m_BackendIndex % Backends.size()],
                  m_Request.m_Target);
  Call.m_Body = Request.m_Body;
  Call.m_Headers = {{"Content-Type", contentType(Request.m_Headers)},
                    {"X-Request-Id", m_Request.m_RequestId}};
  if (m_Request.m_Key)
    Call.m_Headers.push_back({"Idempotency-Key", m_Request.m_Key->text()});
  Call.m_TotalTimeout =
      std::chrono::milliseconds(m_Request.m_Service.m_TimeoutMs);
  Call.m_UseNewConnection = m_Request.m_Key.has_value();
  const auto Self = shared_from_this();
  Call.m_OnHeaders = [Self](int, const HttpHeaders &Headers) {
    Self->m_Headers = Headers;
    Self->m_ReportedNotRun = findHeader(Headers, "X-Outcome") == "not_run";
    std::size_t Length = 0;
    if (absl::SimpleAtoi(findHeader(Headers, "Content-Length").value_or(""),
                         &Length) &&
        Self->m_Request.m_Exchange->request().m_Method != "HEAD")
      Self->m_Body.expect(Length);
    Self->m_IsBodyTooLarge =
        Length > MaxResponseBytes || Self->m_Body.isTooLarge();
  };
  Call.m_MayRead = [Self] { return Self->mayRead(); };
  Call.m_OnData = [Self](std::string_view Data) {
    if (Self->m_IsBodyTooLarge)
      return;
    if (Self->m_Body.bytes().size() + Data.size() > MaxResponseBytes ||
        !Self->m_Body.append(Data)) {
      Self->m_IsBodyTooLarge = true;
      Self->m_Body.clear();
    }
  };
  Call.m_OnDone = [Self](const HttpCallResult &Result) {
    Self->onDone(Result);
  };
  return Call;
}

bool ServiceRelay::mayRead() {
  if (m_IsBodyTooLarge || m_Body.prepareRead())
    return true;
  if (!m_Body.isHopeless(monotonicNow()))
    return false;
  m_IsBodyTooLarge = true;
  m_Body.clear();
  return true;
}

void ServiceRelay::onDone(const HttpCallResult &Result) {
  AttemptFacts Facts;
  Facts.m_BytesSent = Result.m_NothingSent ? 0 : 1;
  Facts.m_HttpStatus = Result.m_Status;
  Facts.m_ReportedNotRun = m_ReportedNotRun;
  Facts.m_ResponseComplete = isBodyWhole(Result, m_Headers, m_Body.bytes());
  const Outcome AttemptOutcome = classifyAttempt(Facts);
  m_MayHaveRun = m_MayHaveRun || AttemptOutcome != Outcome::NotRun;
  m_HasSentBytes = m_HasSentBytes || !Result.m_NothingSent;
  RetryState State;
  State.m_Idempotent = !m_Request.m_Key.has_value();
  const bool ShouldRetry =
      chooseRetry(AttemptOutcome, State) == RetryAction::RetryElsewhere &&
      m_AttemptCount < m_Request.m_Service.m_Backends.size() &&
      m_DataPath.tryAcquireRetry("service/" + m_Request.m_Service.m_Name,
                                 monotonicNow());
  if (ShouldRetry) {
    m_DataPath.metrics().increment("retries_total");
    ++m_BackendIndex;
    dispatch();
    return;
  }
  if (m_Claim)
    recordClaimOutcome(Result, AttemptOutcome);
  if (AttemptOutcome == Outcome::Ran && !m_IsBodyTooLarge) {
    m_DataPath.recordSuccess("service/" + m_Request.m_Service.m_Name);
    forwardResponse(Result.m_Status);
    return;
  }
  sendError(
      makeError(ErrorKind::UpstreamFailed,
                fmt::format("service {} did not complete the response: {}",
                            m_Request.m_Service.m_Name,
                            Result.m_Error.empty()
                                ? fmt::format("status {}", Result.m_Status)
                                : Result.m_Error),
                remedyFor(AttemptOutcome)),
      AttemptOutcome);
}

std::string_view ServiceRelay::remedyFor(Outcome AttemptOutcome) const {
  if (AttemptOutcome != Outcome::NotRun)
    return "the request may have run, check before sending it again";
  // The claim is released only if no byte was sent. If the service itself
  // refused the request, its key therefore stays claimed, and a repetition
  // needs a new key.
  return m_Request.m_Key && m_HasSentBytes
             ? "the request was not run, send it again under a new key"
             : "the request was not run, send it again";
}

void ServiceRelay::recordClaimOutcome(const HttpCallResult &Result,
                                      Outcome AttemptOutcome) {
  if (!m_HasSentBytes) {
    m_Claims.releaseUnsent(std::move(*m_Claim));
  } else if (AttemptOutcome == Outcome::Ran) {
    ClaimOutcome Recorded;
    Recorded.m_StatusCode = Result.m_Status;
    Recorded.m_Body = m_Body.bytes();
    m_Claims.recordDone(std::move(*m_Claim), std::move(Recorded));
  } else {
    m_Claims.recordUnknown(std::move(*m_Claim));
  }
  m_Claim.reset();
}

void ServiceRelay::forwardResponse(int Status) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Headers = {{"Content-Type", contentType(m_Headers)},
                        {"X-Request-Id", m_Request.m_RequestId}};
  ReservedBytes Body = m_Body.take();
  Response.m_Body = std::move(Body.m_Bytes);
  m_DataPath.metrics().increment("service_requests_total{result=\"complete\"}");
  m_Request.m_Exchange->respond(std::move(Response),
                                std::move(Body.m_Reservation));
  m_OnDone();
}

void ServiceRelay::sendError(const absl::Status &Reason,
                             Outcome AttemptOutcome) {
  const bool MayHaveRunEarlier =
      m_MayHaveRun && AttemptOutcome == Outcome::NotRun;
  const ErrorResponse Error =
      MayHaveRunEarlier
          ? ErrorResponse{withMayHaveRunRemedy(Reason), Outcome::Unknown,
                          FailureRetryAfter, m_Request.m_RequestId}
          : ErrorResponse{Reason, AttemptOutcome, FailureRetryAfter,
                          m_Request.m_RequestId};
  m_DataPath.metrics().increment("service_requests_total{result=\"failed\"}");
  logLine(LogLevel::Warning, "gateway",
          fmt::format("request {} failed: {}", m_Request.m_RequestId,
                      std::string(Reason.message())));
  m_Request.m_Exchange->respond(errorHttpResponse(Error));
  m_OnDone();
}

} // namespace fulmarwinch
