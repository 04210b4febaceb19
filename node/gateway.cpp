#include "node/gateway.h"

#include "core/error.h"
#include "core/log.h"
#include "node/authenticator.h"
#include "node/completion_request.h"
#include "node/service_relay.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "fmt/format.h"

#include <algorithm>
#include <random>
#include <vector>

namespace fulmarwinch {

namespace {

/// Longest time that a request waits in the dispatch queue.
constexpr Duration QueueTimeout = std::chrono::seconds(5);
/// Upper limit of X-Deadline-Ms, so that adding it to a time cannot overflow.
constexpr std::chrono::milliseconds MaxDeadline = std::chrono::hours(24);
/// A body that exceeds the size limit by less than this is read, so that the
/// client receives a response that tells the limit. That to a larger one has
/// the status 413 and nothing else.
constexpr std::size_t RejectableExcessBytes = 1U << 20U;
/// Copies of a body beside the request: that of the call to a server, and the
/// content of a claim.
constexpr std::size_t BodyCopies = 2;
constexpr int PayloadTooLarge = 413;
constexpr Duration UnavailableRetryAfter = std::chrono::seconds(1);
constexpr std::string_view ServicePrefix = "/services/";

FairQueueSettings queueSettings(const NodeSettings &Settings) {
  FairQueueSettings Result;
  Result.m_Capacity = static_cast<std::size_t>(Settings.m_QueueCapacity);
  return Result;
}

/// Returns true if a backend server may interpret \p Path, which is
/// percent-decoded, as a different path. Such a path could address a
/// non-idempotent route without matching its prefix.
bool isAmbiguousPath(std::string Path) {
  if (Path.empty() || Path.back() != '/')
    Path += '/';
  for (const char *Part : {"//", "/./", "/../", "\\", ";"})
    if (Path.find(Part) != std::string::npos)
      return true;
  return Path.find('\0') != std::string::npos;
}

const NonIdempotentRoute *findNonIdempotentRoute(const Service &TargetService,
                                                 const std::string &Method,
                                                 const std::string &Path) {
  for (const NonIdempotentRoute &Declared : TargetService.m_NonIdempotentRoutes)
    if (Declared.m_Method == Method &&
        absl::StartsWith(Path, Declared.m_PathPrefix))
      return &Declared;
  return nullptr;
}

} // namespace

const std::array<Gateway::Filter, 5> Gateway::Filters{
    &Gateway::checkAcceptsRequests, &Gateway::authenticate,
    &Gateway::limitRequestRate, &Gateway::readPriority, &Gateway::readDeadline};

const std::array<Gateway::Route, 4> Gateway::Routes{{
    {"POST", "/v1/chat/completions", false, &Gateway::handleCompletion},
    {"POST", "/v1/completions", false, &Gateway::handleCompletion},
    {"GET", "/v1/models", false, &Gateway::handleModels},
    {"", "/services/", true, &Gateway::handleService},
}};

Gateway::Gateway(const NodeSettings &Settings, DataPath &Path,
                 HttpClient &Client, ClaimService &Claims)
    : m_Settings(Settings), m_DataPath(Path), m_Client(Client),
      m_Claims(Claims), m_Queue(queueSettings(Settings)),
      m_RequestIdPrefix(
          fmt::format("{}-{:08x}", Settings.m_Node, std::random_device{}())) {}

absl::Status Gateway::start() {
  HttpServerOptions Options;
  Options.m_Address = m_Settings.m_ClientEndpoint.m_Address;
  Options.m_Port = m_Settings.m_ClientEndpoint.m_Port;
  Options.m_Threads = static_cast<std::size_t>(m_Settings.m_HttpThreads);
  Options.m_MaxBodyBytes = static_cast<std::size_t>(m_Settings.m_MaxBodyBytes) +
                           RejectableExcessBytes;
  Options.m_RequestReadTimeout =
      std::chrono::milliseconds(m_Settings.m_HeaderTimeoutMs);
  m_Memory->setProcessLimit(memoryMb(m_Settings));
  Options.m_Memory = m_Memory;
  Options.m_BodyCopies = BodyCopies;
  Options.m_MaxDescriptors = clientDescriptors(m_Settings);
  Options.m_MakeRefusal = [this](std::string_view Missing) {
    m_DataPath.metrics().increment(
        fmt::format("refusals_total{{kind=\"no_{}\"}}", Missing));
    return errorHttpResponse(
        {makeError(
             ErrorKind::NoCapacity,
             fmt::format("this node has no {} left for the request", Missing),
             "the request was not run, send it again"),
         Outcome::NotRun, UnavailableRetryAfter, makeRequestId()});
  };
  return m_Server.start(Options, [this](HttpExchangePtr Exchange) {
    handle(std::move(Exchange));
  });
}

void Gateway::stop(const std::function<void()> &Release) {
  m_Server.stop(Release);
}

std::string Gateway::makeRequestId() {
  return fmt::format("{}-{}", m_RequestIdPrefix, m_NextRequestNumber++);
}

void Gateway::handle(HttpExchangePtr Exchange) {
  RequestContext Request;
  Request.m_Exchange = std::move(Exchange);
  Request.m_RequestId = makeRequestId();
  Request.m_ArrivedAt = monotonicNow();
  Request.m_Configuration = m_DataPath.configuration();
  const bool IsTooLarge = Request.m_Exchange->request().m_Body.size() >
                          static_cast<std::size_t>(m_Settings.m_MaxBodyBytes);
  const absl::Status Result =
      IsTooLarge
          ? makeError(
                ErrorKind::InvalidArgument, "the request body is too large",
                fmt::format("send at most {} bytes", m_Settings.m_MaxBodyBytes))
          : filterAndRoute(Request);
  if (Result.ok())
    return;
  m_DataPath.metrics().increment(
      fmt::format("refusals_total{{kind=\"{}\"}}",
                  nameOf(ErrorKindNames, errorKind(Result))));
  HttpResponse Response = errorHttpResponse(
      {Result, Outcome::NotRun, Request.m_RetryAfter, Request.m_RequestId});
  if (IsTooLarge)
    Response.m_Status = PayloadTooLarge;
  Request.m_Exchange->respond(std::move(Response));
}

absl::Status Gateway::filterAndRoute(RequestContext &Request) {
  const HttpRequest &Http = Request.m_Exchange->request();
  const Route *MatchedRoute = nullptr;
  for (const Route &Candidate : Routes) {
    const bool PathMatches =
        Candidate.m_IsPrefix ? absl::StartsWith(Http.m_Path, Candidate.m_Path)
                             : Http.m_Path == Candidate.m_Path;
    const bool MethodMatches =
        *Candidate.m_Method == '\0' || Http.m_Method == Candidate.m_Method;
    if (PathMatches && MethodMatches)
      MatchedRoute = &Candidate;
  }
  if (!MatchedRoute)
    return makeError(
        ErrorKind::NotFound,
        fmt::format("there is no endpoint {} {}", Http.m_Method, Http.m_Path),
        "use /v1/chat/completions, /v1/completions, /v1/models or "
        "/services/<name>/");
  for (const Filter Apply : Filters)
    if (absl::Status Result = (this->*Apply)(Request); !Result.ok())
      return Result;
  return (this->*MatchedRoute->m_Handler)(Request);
}

absl::Status Gateway::checkAcceptsRequests(RequestContext &Request) {
  if (m_IsShuttingDown) {
    Request.m_RetryAfter = UnavailableRetryAfter;
    return makeError(ErrorKind::NoCapacity, "this node is shutting down",
                     "the request was not run, send it again");
  }
  if (!Request.m_Configuration->m_MayAcceptNewWork) {
    Request.m_RetryAfter = UnavailableRetryAfter;
    return makeError(ErrorKind::Isolated,
                     "this node cannot tell whether its configuration is "
                     "current",
                     "the request was not run, send it again");
  }
  return absl::OkStatus();
}

absl::Status Gateway::authenticate(RequestContext &Request) {
  absl::StatusOr<Organisation> Found =
      authenticateOrganisation(Request.m_Exchange->request().m_Headers,
                               *Request.m_Configuration->m_View);
  if (!Found.ok())
    return Found.status();
  Request.m_Organisation = *std::move(Found);
  return absl::OkStatus();
}

absl::Status Gateway::readPriority(RequestContext &Request) {
  const std::optional<std::string> Text =
      findHeader(Request.m_Exchange->request().m_Headers, "X-Priority");
  if (!Text)
    return absl::OkStatus();
  const std::optional<Priority> Value = valueOf(PriorityNames, *Text);
  if (!Value)
    return makeError(ErrorKind::InvalidArgument,
                     fmt::format("X-Priority is '{}'", *Text),
                     "use low, normal or high");
  Request.m_Priority = *Value;
  return absl::OkStatus();
}

absl::Status Gateway::readDeadline(RequestContext &Request) {
  const std::optional<std::string> Text =
      findHeader(Request.m_Exchange->request().m_Headers, "X-Deadline-Ms");
  if (!Text)
    return absl::OkStatus();
  std::int64_t Milliseconds = 0;
  if (!absl::SimpleAtoi(*Text, &Milliseconds) || Milliseconds <= 0 ||
      Milliseconds > MaxDeadline.count())
    return makeError(
        ErrorKind::InvalidArgument, fmt::format("X-Deadline-Ms is '{}'", *Text),
        fmt::format("send the remaining time in milliseconds, from 1 "
                    "to {}",
                    MaxDeadline.count()));
  Request.m_Deadline =
      Request.m_ArrivedAt + std::chrono::milliseconds(Milliseconds);
  return absl::OkStatus();
}

absl::Status Gateway::applyRateLimit(RequestContext &Request,
                                     RateLimiter &Limiter, double Limit,
                                     double Cost, std::string_view Unit) {
  if (Limit <= 0)
    return absl::OkStatus();
  const std::string &Name = Request.m_Organisation.m_Name;
  // The bucket size is at least 1, so that a limit below one per second still
  // admits one request at a time.
  Limiter.setLimit(Name, {Limit, std::max(Limit, 1.0)});
  const std::optional<Duration> RetryDelay =
      Limiter.tryConsume(Name, Cost, Request.m_ArrivedAt);
  if (!RetryDelay)
    return absl::OkStatus();
  Request.m_RetryAfter = *RetryDelay;
  return makeError(ErrorKind::LimitExceeded,
                   fmt::format("organisation {} is over its limit of {} {} per "
                               "second on this node",
                               Name, Limit, Unit),
                   "the request was not run, send it after the given time");
}

absl::Status Gateway::limitRequestRate(RequestContext &Request) {
  return applyRateLimit(Request, m_DataPath.requestRateLimiter(),
                        Request.m_Organisation.m_RequestsPerSecond, 1,
                        "requests");
}

absl::Status Gateway::limitTokenRate(RequestContext &Request,
                                     double CostTokens) {
  return applyRateLimit(Request, m_DataPath.tokenRateLimiter(),
                        Request.m_Organisation.m_TokensPerSecond, CostTokens,
                        "tokens");
}

absl::Status Gateway::handleModels(RequestContext &Request) {
  Json Models = Json::array();
  const ConfigurationView &View = *Request.m_Configuration->m_View;
  for (const auto &[Id, Entry] : View.entries()) {
    const Deployment *Found = Id.m_Kind == EntryKind::Deployment
                                  ? View.deployment(Id.m_Name)
                                  : nullptr;
    if (!Found)
      continue;
    Models.push_back({{"id", Found->m_Name},
                      {"object", "model"},
                      {"created", 0},
                      {"owned_by", "fulmarwinch"}});
    for (const std::string &Adapter : Found->m_Adapters)
      Models.push_back({{"id", fmt::format("{}:{}", Found->m_Name, Adapter)},
                        {"object", "model"},
                        {"created", 0},
                        {"owned_by", "fulmarwinch"}});
  }
  Request.m_Exchange->respond(
      jsonResponse(200, Json{{"object", "list"}, {"data", Models}}.dump()));
  return absl::OkStatus();
}

absl::Status Gateway::handleCompletion(RequestContext &Request) {
  const std::string &Body = Request.m_Exchange->request().m_Body;
  const std::size_t ParsedBytes = maxParsedBytes(Body);
  if (ParsedBytes > m_Memory->maxReservation())
    return makeError(ErrorKind::InvalidArgument,
                     "the request body contains too many values",
                     "send prompts as texts");
  MemoryReservation ParsedMemory(m_Memory->budget());
  if (!m_Memory->reserveInput(ParsedMemory, ParsedBytes)) {
    Request.m_RetryAfter = UnavailableRetryAfter;
    return makeError(ErrorKind::NoCapacity,
                     "this node has no memory to read the request",
                     "the request was not run, send it again");
  }
  absl::StatusOr<CompletionRequest> Parsed =
      parseCompletion(Body, *Request.m_Configuration->m_View);
  ParsedMemory.set(0);
  if (!Parsed.ok())
    return Parsed.status();
  if (absl::Status Refusal = limitTokenRate(Request, Parsed->m_CostTokens);
      !Refusal.ok())
    return Refusal;
  AdmittedCompletion Completion;
  Completion.m_Exchange = Request.m_Exchange;
  Completion.m_RequestId = Request.m_RequestId;
  Completion.m_Organisation = Request.m_Organisation.m_Name;
  // Engines schedule requests with larger numbers first.
  Completion.m_Priority =
      fmt::format("{}", static_cast<int>(Request.m_Priority));
  Completion.m_IsStream = Parsed->m_IsStream;
  Completion.m_ContentHash = Parsed->m_ContentHash;
  Completion.m_Route = std::move(Parsed->m_Route);
  Completion.m_Route.m_Deadline = Request.m_Deadline;
  Completion.m_ArrivedAt = Request.m_ArrivedAt;
  Completion.m_QueueDeadline = Request.m_ArrivedAt + QueueTimeout;
  if (Request.m_Deadline)
    Completion.m_QueueDeadline =
        std::min(Completion.m_QueueDeadline, *Request.m_Deadline);
  submit(Request, std::move(Completion));
  return absl::OkStatus();
}

void Gateway::submit(RequestContext &Request, AdmittedCompletion Completion) {
  QueuedRequest Queued;
  Queued.m_Organisation = Completion.m_Organisation;
  Queued.m_Priority = Request.m_Priority;
  Queued.m_CostTokens = static_cast<double>(Completion.m_Route.m_PromptTokens +
                                            Completion.m_Route.m_OutputTokens);
  Queued.m_EnqueuedAt = Request.m_ArrivedAt;
  const std::string Deployment = Completion.m_Route.m_Deployment;
  ++m_InProgressCount;
  const auto Relay = std::make_shared<CompletionRelay>(
      std::move(Completion), m_DataPath, m_Client, m_Queue, m_Limits,
      [this] { --m_InProgressCount; });
  {
    const std::lock_guard<std::mutex> Guard(m_RelaysMutex);
    m_Relays.push_back(Relay);
  }
  m_Queue.setWeight(Request.m_Organisation.m_Name,
                    Request.m_Organisation.m_Weight);
  m_Queue.submit(Deployment, std::move(Queued), Relay, Request.m_ArrivedAt);
}

absl::Status Gateway::handleService(RequestContext &Request) {
  const HttpRequest &Http = Request.m_Exchange->request();
  const std::string_view PathAfterPrefix =
      std::string_view(Http.m_Path).substr(ServicePrefix.size());
  const std::size_t Slash = PathAfterPrefix.find('/');
  const std::string Name(PathAfterPrefix.substr(0, Slash));
  const Service *TargetService = Request.m_Configuration->m_View->service(Name);
  if (!TargetService || TargetService->m_Backends.empty())
    return makeError(ErrorKind::NotFound,
                     fmt::format("there is no service called '{}'", Name),
                     "check the name or ask an operator to add the service");
  ServiceRequest Service;
  const std::string Path = Slash == std::string_view::npos
                               ? "/"
                               : std::string(PathAfterPrefix.substr(Slash));
  const std::string Decoded = percentDecode(Path);
  if (isAmbiguousPath(Decoded))
    return makeError(ErrorKind::InvalidArgument,
                     "the path contains '.', '..', '//', '\\', ';' or a zero "
                     "byte, which services read in different ways",
                     "send the path in its plain form");
  Service.m_Target =
      Http.m_Query.empty() ? Path : fmt::format("{}?{}", Path, Http.m_Query);
  if (findNonIdempotentRoute(*TargetService, Http.m_Method, Decoded)) {
    absl::StatusOr<IdempotencyKey> Key = IdempotencyKey::parse(
        findHeader(Http.m_Headers, "Idempotency-Key").value_or(""));
    if (!Key.ok())
      return Key.status();
    if (absl::Status Age = Key->checkAge(unixNow()); !Age.ok())
      return Age;
    Service.m_Key = *std::move(Key);
  }
  if (absl::Status Refusal = limitTokenRate(Request, 1); !Refusal.ok())
    return Refusal;
  Service.m_Exchange = Request.m_Exchange;
  Service.m_RequestId = Request.m_RequestId;
  Service.m_Organisation = Request.m_Organisation.m_Name;
  Service.m_Service = *TargetService;
  ++m_InProgressCount;
  std::make_shared<ServiceRelay>(std::move(Service), m_DataPath, m_Client,
                                 m_Claims, [this] { --m_InProgressCount; })
      ->start();
  return absl::OkStatus();
}

void Gateway::tick(MonotonicTime Now) {
  std::vector<std::shared_ptr<CompletionRelay>> ActiveRelays;
  {
    const std::lock_guard<std::mutex> Guard(m_RelaysMutex);
    for (auto Entry = m_Relays.begin(); Entry != m_Relays.end();) {
      std::shared_ptr<CompletionRelay> Relay = Entry->lock();
      if (!Relay || Relay->isDone()) {
        Entry = m_Relays.erase(Entry);
        continue;
      }
      ActiveRelays.push_back(std::move(Relay));
      ++Entry;
    }
  }
  for (const std::shared_ptr<CompletionRelay> &Relay : ActiveRelays)
    Relay->checkProgress(Now);
  m_Queue.tick(Now);
}

} // namespace fulmarwinch
