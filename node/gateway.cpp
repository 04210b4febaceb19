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

/// Longest time that a request waits for a place at a backend server.
constexpr Duration QueueWait = std::chrono::seconds(5);
/// Bounds the deadline, so that its sum with a time cannot overflow.
constexpr std::chrono::milliseconds LongestDeadline = std::chrono::hours(24);
/// A body that exceeds the limit by less than this is read and answered by
/// 413; RESTinio closes the connection of a larger one without a response.
constexpr std::size_t AnsweredExcessBytes = 1U << 20U;
constexpr int PayloadTooLarge = 413;
constexpr Duration RetryAfterClosed = std::chrono::seconds(1);
constexpr std::string_view ServicePrefix = "/services/";

FairQueueSettings queueSettings(const NodeSettings &Settings) {
  FairQueueSettings Result;
  Result.m_Capacity = static_cast<std::size_t>(Settings.m_QueueCapacity);
  return Result;
}

/// Returns true if a backend server may read \p Path, which is decoded, as
/// another path. Such a path could name a non-idempotent route without matching
/// its prefix.
bool isAmbiguous(std::string Path) {
  if (Path.empty() || Path.back() != '/')
    Path += '/';
  for (const char *Part : {"//", "/./", "/../", "\\", ";"})
    if (Path.find(Part) != std::string::npos)
      return true;
  return Path.find('\0') != std::string::npos;
}

const NonIdempotentRoute *findNonIdempotent(const Service &Target,
                                            const std::string &Method,
                                            const std::string &Path) {
  for (const NonIdempotentRoute &Declared : Target.m_NonIdempotentRoutes)
    if (Declared.m_Method == Method &&
        absl::StartsWith(Path, Declared.m_PathPrefix))
      return &Declared;
  return nullptr;
}

} // namespace

const std::array<Gateway::Filter, 5> Gateway::Filters{
    &Gateway::checkOpen, &Gateway::authenticate, &Gateway::takeRequest,
    &Gateway::readPriority, &Gateway::readDeadline};

const std::array<Gateway::Route, 4> Gateway::Routes{{
    {"POST", "/v1/chat/completions", false, &Gateway::handleCompletion},
    {"POST", "/v1/completions", false, &Gateway::handleCompletion},
    {"GET", "/v1/models", false, &Gateway::handleModels},
    {"", "/services/", true, &Gateway::handleService},
}};

Gateway::Gateway(const NodeSettings &Settings, DataPath &Path,
                 HttpClient &Client, ClaimService &Claims)
    : m_Settings(Settings), m_Path(Path), m_Client(Client), m_Claims(Claims),
      m_Queue(queueSettings(Settings)),
      m_RequestPrefix(
          fmt::format("{}-{:08x}", Settings.m_Node, std::random_device{}())) {}

absl::Status Gateway::start() {
  HttpServerOptions Options;
  Options.m_Address = m_Settings.m_ClientEndpoint.m_Address;
  Options.m_Port = m_Settings.m_ClientEndpoint.m_Port;
  Options.m_Threads = static_cast<std::size_t>(m_Settings.m_HttpThreads);
  Options.m_MaxBodyBytes =
      static_cast<std::size_t>(m_Settings.m_MaxBodyBytes) + AnsweredExcessBytes;
  Options.m_ReadTimeout =
      std::chrono::milliseconds(m_Settings.m_HeaderTimeoutMs);
  return m_Server.start(Options, [this](HttpExchangePtr Exchange) {
    handle(std::move(Exchange));
  });
}

void Gateway::stop(const std::function<void()> &Release) {
  m_Server.stop(Release);
}

std::string Gateway::newRequestId() {
  return fmt::format("{}-{}", m_RequestPrefix, m_NextRequest++);
}

void Gateway::handle(HttpExchangePtr Exchange) {
  Context Request;
  Request.m_Exchange = std::move(Exchange);
  Request.m_RequestId = newRequestId();
  Request.m_ArrivedAt = monotonicNow();
  Request.m_Configuration = m_Path.configuration();
  const bool IsTooLarge = Request.m_Exchange->request().m_Body.size() >
                          static_cast<std::size_t>(m_Settings.m_MaxBodyBytes);
  const absl::Status Result =
      IsTooLarge
          ? makeError(
                ErrorKind::InvalidArgument, "the request body is too large",
                fmt::format("send at most {} bytes", m_Settings.m_MaxBodyBytes))
          : process(Request);
  if (Result.ok())
    return;
  m_Path.metrics().count(
      fmt::format("refusals_total{{kind=\"{}\"}}",
                  nameOf(ErrorKindNames, errorKind(Result))));
  HttpResponse Response = errorHttpResponse(
      {Result, Outcome::NotRun, Request.m_RetryAfter, Request.m_RequestId});
  if (IsTooLarge)
    Response.m_Status = PayloadTooLarge;
  Request.m_Exchange->respond(std::move(Response));
}

absl::Status Gateway::process(Context &Request) {
  const HttpRequest &Http = Request.m_Exchange->request();
  const Route *Found = nullptr;
  for (const Route &Candidate : Routes) {
    const bool Matches = Candidate.m_IsPrefix
                             ? absl::StartsWith(Http.m_Path, Candidate.m_Path)
                             : Http.m_Path == Candidate.m_Path;
    const bool MethodFits =
        *Candidate.m_Method == '\0' || Http.m_Method == Candidate.m_Method;
    if (Matches && MethodFits)
      Found = &Candidate;
  }
  if (!Found)
    return makeError(
        ErrorKind::NotFound,
        fmt::format("there is no endpoint {} {}", Http.m_Method, Http.m_Path),
        "use /v1/chat/completions, /v1/completions, /v1/models or "
        "/services/<name>/");
  for (const Filter Check : Filters)
    if (absl::Status Result = (this->*Check)(Request); !Result.ok())
      return Result;
  return (this->*Found->m_Handler)(Request);
}

absl::Status Gateway::checkOpen(Context &Request) {
  if (m_IsClosed) {
    Request.m_RetryAfter = RetryAfterClosed;
    return makeError(ErrorKind::NoCapacity, "this node is shutting down",
                     "the request was not run, send it again");
  }
  if (!Request.m_Configuration->m_MayAcceptNewWork) {
    Request.m_RetryAfter = RetryAfterClosed;
    return makeError(ErrorKind::Isolated,
                     "this node cannot tell whether its configuration is "
                     "current",
                     "the request was not run, send it again");
  }
  return absl::OkStatus();
}

absl::Status Gateway::authenticate(Context &Request) {
  absl::StatusOr<Organisation> Found =
      authenticateOrganisation(Request.m_Exchange->request().m_Headers,
                               *Request.m_Configuration->m_View);
  if (!Found.ok())
    return Found.status();
  Request.m_Organisation = *std::move(Found);
  return absl::OkStatus();
}

absl::Status Gateway::readPriority(Context &Request) {
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

absl::Status Gateway::readDeadline(Context &Request) {
  const std::optional<std::string> Text =
      findHeader(Request.m_Exchange->request().m_Headers, "X-Deadline-Ms");
  if (!Text)
    return absl::OkStatus();
  std::int64_t Milliseconds = 0;
  if (!absl::SimpleAtoi(*Text, &Milliseconds) || Milliseconds <= 0 ||
      Milliseconds > LongestDeadline.count())
    return makeError(ErrorKind::InvalidArgument,
                     fmt::format("X-Deadline-Ms is '{}'", *Text),
                     fmt::format("send the time left in milliseconds, from 1 "
                                 "to {}",
                                 LongestDeadline.count()));
  Request.m_Deadline =
      Request.m_ArrivedAt + std::chrono::milliseconds(Milliseconds);
  return absl::OkStatus();
}

absl::Status Gateway::take(Context &Request, RateLimiter &Limiter, double Limit,
                           double Cost, std::string_view Unit) {
  if (Limit <= 0)
    return absl::OkStatus();
  const std::string &Name = Request.m_Organisation.m_Name;
  // A limit below one per second still allows one at a time.
  Limiter.setLimit(Name, {Limit, std::max(Limit, 1.0)});
  const std::optional<Duration> Wait =
      Limiter.tryTake(Name, Cost, Request.m_ArrivedAt);
  if (!Wait)
    return absl::OkStatus();
  Request.m_RetryAfter = *Wait;
  return makeError(ErrorKind::LimitExceeded,
                   fmt::format("organisation {} is over its limit of {} {} per "
                               "second on this node",
                               Name, Limit, Unit),
                   "the request was not run, send it after the given time");
}

absl::Status Gateway::takeRequest(Context &Request) {
  return take(Request, m_Path.requestLimiter(),
              Request.m_Organisation.m_RequestsPerSecond, 1, "requests");
}

absl::Status Gateway::takeTokens(Context &Request, double CostTokens) {
  return take(Request, m_Path.rateLimiter(),
              Request.m_Organisation.m_TokensPerSecond, CostTokens, "tokens");
}

absl::Status Gateway::handleModels(Context &Request) {
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

absl::Status Gateway::handleCompletion(Context &Request) {
  absl::StatusOr<CompletionRequest> Parsed = parseCompletion(
      Request.m_Exchange->request().m_Body, *Request.m_Configuration->m_View);
  if (!Parsed.ok())
    return Parsed.status();
  if (absl::Status Limit = takeTokens(Request, Parsed->m_CostTokens);
      !Limit.ok())
    return Limit;
  ChatRequest Chat;
  Chat.m_Exchange = Request.m_Exchange;
  Chat.m_RequestId = Request.m_RequestId;
  Chat.m_Organisation = Request.m_Organisation.m_Name;
  // Engines admit larger numbers first.
  Chat.m_Priority = fmt::format("{}", static_cast<int>(Request.m_Priority));
  Chat.m_IsStream = Parsed->m_IsStream;
  Chat.m_ContentHash = Parsed->m_ContentHash;
  Chat.m_Route = std::move(Parsed->m_Route);
  Chat.m_Route.m_Deadline = Request.m_Deadline;
  Chat.m_ArrivedAt = Request.m_ArrivedAt;
  Chat.m_WaitUntil = Request.m_ArrivedAt + QueueWait;
  if (Request.m_Deadline)
    Chat.m_WaitUntil = std::min(Chat.m_WaitUntil, *Request.m_Deadline);
  submit(Request, std::move(Chat));
  return absl::OkStatus();
}

void Gateway::submit(Context &Request, ChatRequest Chat) {
  QueuedRequest Queued;
  Queued.m_Organisation = Chat.m_Organisation;
  Queued.m_Priority = Request.m_Priority;
  Queued.m_CostTokens = static_cast<double>(Chat.m_Route.m_PromptTokens +
                                            Chat.m_Route.m_OutputTokens);
  Queued.m_EnqueuedAt = Request.m_ArrivedAt;
  const std::string Deployment = Chat.m_Route.m_Deployment;
  ++m_InProgress;
  const auto Relay =
      std::make_shared<ChatRelay>(std::move(Chat), m_Path, m_Client, m_Queue,
                                  m_Limits, [this] { --m_InProgress; });
  {
    const std::lock_guard<std::mutex> Guard(m_RelaysMutex);
    m_Relays.push_back(Relay);
  }
  m_Queue.setWeight(Request.m_Organisation.m_Name,
                    Request.m_Organisation.m_Weight);
  m_Queue.submit(Deployment, std::move(Queued), Relay, Request.m_ArrivedAt);
}

absl::Status Gateway::handleService(Context &Request) {
  const HttpRequest &Http = Request.m_Exchange->request();
  const std::string_view Rest =
      std::string_view(Http.m_Path).substr(ServicePrefix.size());
  const std::size_t Slash = Rest.find('/');
  const std::string Name(Rest.substr(0, Slash));
  const Service *Target = Request.m_Configuration->m_View->service(Name);
  if (!Target || Target->m_Backends.empty())
    return makeError(ErrorKind::NotFound,
                     fmt::format("there is no service called '{}'", Name),
                     "check the name or ask an operator to add the service");
  ServiceRequest Service;
  const std::string Path =
      Slash == std::string_view::npos ? "/" : std::string(Rest.substr(Slash));
  const std::string Decoded = percentDecode(Path);
  if (isAmbiguous(Decoded))
    return makeError(ErrorKind::InvalidArgument,
                     "the path contains '.', '..', '//', '\\', ';' or a zero "
                     "byte, which services read in different ways",
                     "send the path in its plain form");
  Service.m_Target =
      Http.m_Query.empty() ? Path : fmt::format("{}?{}", Path, Http.m_Query);
  if (findNonIdempotent(*Target, Http.m_Method, Decoded)) {
    absl::StatusOr<IdempotencyKey> Key = IdempotencyKey::parse(
        findHeader(Http.m_Headers, "Idempotency-Key").value_or(""));
    if (!Key.ok())
      return Key.status();
    if (absl::Status Age = Key->checkAge(unixNow()); !Age.ok())
      return Age;
    Service.m_Key = *std::move(Key);
  }
  if (absl::Status Limit = takeTokens(Request, 1); !Limit.ok())
    return Limit;
  Service.m_Exchange = Request.m_Exchange;
  Service.m_RequestId = Request.m_RequestId;
  Service.m_Organisation = Request.m_Organisation.m_Name;
  Service.m_Service = *Target;
  ++m_InProgress;
  std::make_shared<ServiceRelay>(std::move(Service), m_Path, m_Client, m_Claims,
                                 [this] { --m_InProgress; })
      ->start();
  return absl::OkStatus();
}

void Gateway::tick(MonotonicTime Now) {
  std::vector<std::shared_ptr<ChatRelay>> Running;
  {
    const std::lock_guard<std::mutex> Guard(m_RelaysMutex);
    for (auto Entry = m_Relays.begin(); Entry != m_Relays.end();) {
      std::shared_ptr<ChatRelay> Relay = Entry->lock();
      if (!Relay || Relay->isDone()) {
        Entry = m_Relays.erase(Entry);
        continue;
      }
      Running.push_back(std::move(Relay));
      ++Entry;
    }
  }
  for (const std::shared_ptr<ChatRelay> &Relay : Running)
    Relay->checkProgress(Now);
  m_Queue.tick(Now);
}

} // namespace fulmarwinch
