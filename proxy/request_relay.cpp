#include "proxy/request_relay.h"
#include "core/text.h"
#include "proxy/http_fields.h"
#include "proxy/request_metrics.h"
#include "proxy/response_buffer.h"
#include "proxy/second_attempt.h"
#include "proxy/second_attempt_choice.h"
#include "proxy/server_notices.h"
#include "proxy/upstream_call.h"
#include "servers/retry/event_splitter.h"
#include "servers/retry/prompt_parts.h"
#include "servers/retry/response_flaw.h"
#include "servers/routes/engine_times.h"

#include "xxhash.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

using std::chrono::milliseconds;

/// Timeout for connecting to a backend server. Connections within a site take a
/// few milliseconds.
constexpr Duration ConnectTimeout = milliseconds(250);
/// Maximum time for which a stream may be interrupted while it waits for
/// another server. Clients disconnect after a pause of two seconds.
constexpr Duration MaxStreamInterruption = milliseconds(1900);
/// Retry-After for services without groups: longer than a server with a full
/// queue takes to serve the queued requests.
constexpr double UngroupedRetryAfterSeconds = 0.6;
/// Retry-After for services with groups: the time in which a new group of
/// staged servers is formed and opened to replace a failed one. Earlier retries
/// would still find no group.
constexpr double GroupReplacementSeconds = 2.2;
/// Maximum Retry-After as a share of the time until the request's deadline.
/// Clients do not honour longer delays.
constexpr double MaxRetryAfterShare = 1.0 / 3.0;
/// Lower bound of the random factor on Retry-After, which spreads the retries
/// of clients that were rejected at the same time.
constexpr double MinRetryAfterFactor = 0.7;
/// Lower bound of the random factor on Retry-After under overload, which lasts
/// for seconds. If all clients returned at the same time, they would exceed the
/// capacity again.
constexpr double MinOverloadSpread = 0.4;
/// Upper bound of the random factor on Retry-After if all servers have asked
/// for a pause: an earlier retry would find them pausing.
constexpr double MaxPauseSpread = 1.25;
/// A request that no server can accept is rejected after its latency objective
/// divided by this number, so that another node can still serve it in time.
constexpr int RejectAfterDivisor = 8;
/// A stream moves to another group without a failed probe after this multiple
/// of the stall threshold, because the node that sends the probes may have
/// failed.
constexpr int UnconfirmedStallFactor = 4;
/// Maximum size of a response that is not a stream. Such a response is buffered
/// and forwarded only once it is complete.
constexpr std::size_t MaxBufferedResponseBytes = std::size_t{16} * 1024 * 1024;
/// Admission priority of a stream that resumes on another server, since its
/// client has already waited once.
constexpr unsigned ResumedStreamUrgency = 1;

/// A server may terminate a response that stayed unread for this long, which
/// then is no sign of a crash. They do so after four seconds or more.
constexpr Duration LongReadPause = std::chrono::seconds(2);

/// Memory of one part of a prompt: its hash, and its entry for the server that
/// the request runs on and for that of a second attempt.
constexpr std::size_t ContentBytes = 160;

/// Number of tokens, far more than a server can hold, up to which the numbers
/// that a request states count. The times calculated from larger ones would not
/// be representable.
constexpr std::uint64_t MaxStatedTokens = 1'000'000'000;

/// Time between two ticks from which the process counts as having stood still.
constexpr Duration LongestTickGap = milliseconds(100);
/// Time between two decisions about a second attempt that was not sent. Each
/// decision looks at all servers.
constexpr Duration SecondAttemptInterval = milliseconds(100);

/// Logged for an attempt whose response has no head.
constexpr int NoStatus = 0;
constexpr int Ok = 200;
constexpr int FirstRedirection = 300;
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int FirstServerError = 500;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

std::int64_t inMs(Duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

} // namespace

struct RequestRelay::Impl {
  enum class Phase { AwaitingServer, Sent, Streaming, Ended };

  Impl(RequestRelayContext &Context, std::shared_ptr<ClientConnection> Client,
       ClientRequest Request)
      : m_Context(Context), m_Held(Context.m_Memory->budget()),
        m_Client(std::move(Client)), m_ClientRequest(std::move(Request)),
        m_ResponseBody(Context.m_Memory, this) {
    m_Held.set(m_FixedBytes);
  }

  std::string header(const std::string &Name) const {
    return findHeader(m_ClientRequest.m_Head.m_Headers, Name).value_or("");
  }

  void admit(const std::shared_ptr<RequestRelay> &Owner) {
    m_Id = header(m_Context.m_HeaderNames.m_RequestId);
    if (!findService())
      return;
    setDeadline();
    if (!isModelKnown()) {
      reject("unknown_model");
      return;
    }
    if (!hashContents()) {
      reject("no_memory");
      return;
    }
    recordDemand();
    std::optional<std::uint64_t> LastId;
    std::uint64_t ParsedId = 0;
    if (parseNumber(header(m_Context.m_HeaderNames.m_LastEventId), ParsedId))
      LastId = ParsedId;
    m_Sequence = EventSequenceFilter(LastId);
    // A client that resumes a stream has already been admitted once.
    if (!LastId && isShed()) {
      m_Context.m_Metrics.increment(concat("requests_shed_total{model=\"",
                                           m_Pool, "\",priority=\"", m_Priority,
                                           "\"}"));
      rejectOverloaded();
      return;
    }
    m_WaitingSince = monotonicNow();
    m_Client->setOnDisconnected(
        [this, Weak = std::weak_ptr<RequestRelay>(Owner)] {
          if (const auto Self = Weak.lock())
            onClientDisconnected();
        });
    dispatch();
  }

  /// Authenticates the request and chooses its route and service. Returns
  /// false if it has been rejected.
  bool findService() {
    const std::string_view Shortage = m_Context.m_FindShortage();
    if (!Shortage.empty()) {
      reject(Shortage);
      return false;
    }
    m_Table = m_Context.m_RouteTable;
    if (!m_Table) {
      reject("no_configuration");
      return false;
    }
    const HttpMessageHead &Head = m_ClientRequest.m_Head;
    m_Route = m_Table->findRoute(header("Host"), Head.m_Target);
    if (!m_Route) {
      respondWithError(NotFound, "no_route");
      return false;
    }
    if (!authenticate())
      return false;
    std::uniform_real_distribution<double> TrafficShare(0.0, 1.0);
    m_Service = m_Table->findService(
        chooseService(*m_Route, TrafficShare(m_Context.m_Random)));
    if (!m_Service) {
      reject("no_service");
      return false;
    }
    return true;
  }

  /// Reads the requested model. Returns false if no server can serve it. Such a
  /// name must not be recorded: clients may send any number of them.
  bool isModelKnown() {
    if (!m_Service->hasReplicaGroups())
      return true;
    m_Model = header(m_Context.m_HeaderNames.m_Model);
    return m_Service->m_Engine.findModel(m_Model) != nullptr;
  }

  /// Hashes the request and the parts of its prompt. Returns false if there is
  /// no memory for as many.
  bool hashContents() {
    m_Contents =
        sharedPartHashes(header(m_Context.m_HeaderNames.m_PromptParts));
    m_Contents.push_back(contentHash());
    m_FixedBytes += m_Contents.size() * ContentBytes;
    return m_Context.m_Memory->reserveInput(m_Held, m_FixedBytes);
  }

  /// Records the request for the budgets and estimates of the node.
  void recordDemand() {
    budget().onRequest(monotonicNow());
    m_Context.m_SecondAttempts.onRequest(m_Service->m_Name, monotonicNow());
    m_IsReturning = m_Context.m_ReturningClients.isReturning(
        m_Route->m_Name, m_Deadline - m_ClientRequest.m_ReceivedAt);
    if (m_Service->hasReplicaGroups()) {
      const RequestSize Size = requestSize();
      m_PromptTokens = Size.m_PromptTokens;
      m_StatedOutputTokens = Size.m_OutputTokens;
      DemandEstimator &Demand = m_IsReturning
                                    ? m_Context.m_ReturningDemandEstimator
                                    : m_Context.m_DemandEstimator;
      Demand.recordRequest(*m_Service, m_Model, Size, monotonicNow());
      m_Context.m_ModelPriorities.recordRequest(
          m_Model, requestPriority(*m_Route, m_OrganisationSpec));
    }
    recordOffered();
  }

  /// Records the work that the request asks for.
  void recordOffered() {
    m_Pool = loadPoolName(m_Service->m_Name, m_Model);
    m_WaitingPool = concat(m_Service->m_Name, "/", m_Model);
    m_HasPriority = m_Table->hasPriorities(m_Service->m_Name);
    m_Priority = requestPriority(*m_Route, m_OrganisationSpec);
    // Where priorities are equal, organisations are not told apart either.
    if (m_HasPriority)
      m_PayingOrganisation = m_Organisation;
    m_Work = m_Service->hasReplicaGroups()
                 ? std::chrono::duration<double>(
                       groupTime(m_Service->m_Engine, m_Model, m_PromptTokens,
                                 m_StatedOutputTokens))
                       .count()
                 : 1.0;
    m_Context.m_CompletionRate.recordOffered(
        m_Pool, {m_Priority, m_PayingOrganisation, m_IsReturning}, m_Work,
        monotonicNow());
  }

  /// Records the work that servers have done for the request. A stream that
  /// ended early counts in part.
  void recordCompleted(std::string_view Outcome) {
    if (m_Pool.empty())
      return;
    double Done =
        Outcome == "complete" && m_ResponseHead.m_Status < FirstServerError
            ? 1.0
            : 0.0;
    if (m_IsStream && Done == 0.0 && m_StatedOutputTokens > 0)
      Done = std::min(
          1.0, static_cast<double>(m_Sequence.deliveredCount() *
                                   m_Service->m_Engine.m_DecodeStepsPerPass) /
                   static_cast<double>(m_StatedOutputTokens));
    if (Done > 0.0)
      m_Context.m_CompletionRate.recordCompleted(m_Pool, m_Work * Done,
                                                 monotonicNow());
  }

  /// Admitted share of the requests like this one.
  double admittedShare() const {
    const auto Shares = m_Context.m_AdmissionShares.find(m_Pool);
    if (Shares == m_Context.m_AdmissionShares.end())
      return 1.0;
    const AdmittedShares &Own =
        Shares->second.find(m_Priority, m_PayingOrganisation);
    return m_IsReturning ? Own.m_Returning : Own.m_FirstAttempts;
  }

  /// True if this request belongs to the share that the servers cannot serve.
  bool isShed() {
    std::uniform_real_distribution<double> Uniform(0.0, 1.0);
    return Uniform(m_Context.m_Random) >= admittedShare();
  }

  WaitingRank waitingRank() const {
    WaitingRank Rank;
    Rank.m_Priority = m_HasPriority ? m_Priority : 0;
    // The shares of returning clients are smaller, but once admitted, they wait
    // like others.
    const auto Shares = m_Context.m_AdmissionShares.find(m_Pool);
    if (m_HasPriority && Shares != m_Context.m_AdmissionShares.end())
      Rank.m_OrganisationShare =
          Shares->second.find(m_Priority, m_PayingOrganisation).m_FirstAttempts;
    Rank.m_Deadline = m_Deadline;
    return Rank;
  }

  bool authenticate() {
    const std::string Key = header(m_Context.m_HeaderNames.m_ApiKey);
    const OrganisationSpec *Organisation =
        Key.empty() ? nullptr : m_Table->findOrganisation(Key);
    m_OrganisationSpec = Organisation;
    if (Organisation)
      m_Organisation = Organisation->m_Name;
    if (Organisation || m_Route->m_NeedsNoApiKey || !m_Table->requiresApiKeys())
      return true;
    respondWithError(Unauthorized, "unknown_key");
    return false;
  }

  /// Returns a hash of the organisation, target and body, so that a retried
  /// request has the same hash on every node.
  ContentHash contentHash() const {
    const std::string &Body = m_ClientRequest.m_Body->m_Bytes;
    return XXH64(Body.data(), Body.size(),
                 XXH64(m_ClientRequest.m_Head.m_Target.data(),
                       m_ClientRequest.m_Head.m_Target.size(),
                       XXH64(m_Organisation.data(), m_Organisation.size(), 0)));
  }

  /// True if a part of the content is known to crash backend servers.
  bool crashesServers(MonotonicTime Now) const {
    return std::any_of(
        m_Contents.begin(), m_Contents.end(), [&](ContentHash Content) {
          return m_Context.m_PoisonDetector.verdict(Content, Now) !=
                 PoisonVerdict::Run;
        });
  }

  /// Records that the server has produced output for this attempt.
  void recordOutput() {
    if (m_HasOutput)
      return;
    m_HasOutput = true;
    const MonotonicTime Now = monotonicNow();
    m_Context.m_Selector.availability().onOutput(m_ChosenServer.m_Id, Now);
    if (isSuccess())
      m_Context.m_Selector.speed().onFirstEvent(m_FirstEventWait,
                                                m_ChosenServer, Now);
  }

  /// Records that the server has finished its response. Only a success shows
  /// that the content does not crash servers: the server may crash after any
  /// event, and may send an error before it begins to run the request.
  void recordFinish() {
    recordOutput();
    if (!isSuccess())
      return;
    // A crash closes the connection as well.
    if (m_LastOutcome == UpstreamOutcome::EndedByClose) {
      onResponseClosed();
      return;
    }
    m_HasFinished = true;
    bool HasCleared = false;
    for (const ContentHash Content : m_Contents)
      HasCleared = m_Context.m_PoisonDetector.onCompleted(
                       Content, serverProcessKey(), monotonicNow()) ||
                   HasCleared;
    if (HasCleared && m_Context.m_OnCrashRecordsCleared)
      m_Context.m_OnCrashRecordsCleared();
  }

  std::string serverProcessKey() const {
    return CrashDetector::processName(m_ChosenServer.m_Id,
                                      m_ChosenServer.m_StartedAtMs);
  }

  RequestSize requestSize() const {
    RequestSize Result;
    const std::string Counts = header(m_Context.m_HeaderNames.m_TokenCounts);
    const std::size_t Comma = Counts.find(',');
    parseNumber(Counts.substr(0, Comma), Result.m_PromptTokens);
    // The client's estimate is used if present, since it is more accurate than
    // the client's maximum.
    if (!parseNumber(header(m_Context.m_HeaderNames.m_EstimatedOutputTokens),
                     Result.m_OutputTokens) &&
        Comma != std::string::npos)
      parseNumber(Counts.substr(Comma + 1), Result.m_OutputTokens);
    Result.m_PromptTokens = std::min(Result.m_PromptTokens, MaxStatedTokens);
    Result.m_OutputTokens = std::min(Result.m_OutputTokens, MaxStatedTokens);
    return Result;
  }

  /// Tokens that the server holds for the request until it ends.
  std::uint64_t requestTokens() const {
    return m_PromptTokens + m_StatedOutputTokens;
  }

  void setDeadline() {
    Duration TimeLeft = m_Route->m_Timeout;
    std::int64_t RequestedMs = 0;
    // A larger number may not be representable as a duration.
    if (parseNumber(header(m_Context.m_HeaderNames.m_DeadlineMs),
                    RequestedMs) &&
        RequestedMs <= inMs(TimeLeft))
      TimeLeft = milliseconds(std::max<std::int64_t>(0, RequestedMs));
    m_Deadline = m_ClientRequest.m_ReceivedAt + TimeLeft;
  }

  /// Time at which the request gets a response, whether or not a server still
  /// works on it.
  MonotonicTime responseDueAt() const {
    return std::min(m_Deadline, m_Context.m_PlannedStop.responsesDueAt());
  }

  /// True if this process lasts long enough to serve the request.
  bool mayServe(MonotonicTime Now) const {
    return m_Context.m_PlannedStop.mayServe(Now, m_Deadline);
  }

  WindowedRetryBudget &budget() {
    return m_Context.m_RetryBudgets
        .try_emplace(m_Service->m_Name, m_Context.m_RetryBudgetSettings)
        .first->second;
  }

  ServerQuery query(MonotonicTime Now) const {
    ServerQuery Query;
    Query.m_Service = m_Service;
    Query.m_Model = m_Model;
    Query.m_TriedServers = m_TriedServers;
    Query.m_Request = {m_PromptTokens, m_StatedOutputTokens,
                       m_Route->m_FirstByteObjective,
                       m_Route->m_EventGapObjective};
    Query.m_Now = Now;
    return Query;
  }

  void dispatch() {
    m_Phase = Phase::AwaitingServer;
    const MonotonicTime Now = monotonicNow();
    m_PauseLeft.reset();
    if (!mayHaveExecuted() && !mayServe(Now)) {
      giveUp("stopping");
      return;
    }
    if (crashesServers(Now)) {
      giveUp("crashes_servers");
      return;
    }
    const bool HasTriedNone = m_TriedServers.empty() && !resumes();
    if (HasTriedNone &&
        m_Context.m_FullPools.mustWait(m_WaitingPool, waitingRank())) {
      m_Context.m_Metrics.increment("dispatches_skipped_total");
      onNoServer(Now, NoServerReason::AllFull);
      return;
    }
    ServerQuery Query = query(Now);
    std::uniform_real_distribution<double> Uniform(0.0, 1.0);
    Query.m_RandomDraw = Uniform(m_Context.m_Random);
    const auto Chosen = m_Context.m_Selector.choose(m_Context.m_Fleet, Query);
    if (!Chosen) {
      const NoServerReason Reason = m_Context.m_Selector.noServerReason();
      if (HasTriedNone && Reason == NoServerReason::AllFull)
        m_Context.m_FullPools.onFull(m_WaitingPool, waitingRank());
      onNoServer(Now, Reason);
      return;
    }
    // Once one attempt has reached a server, each further attempt uses retry
    // budget, even if its server rejects it.
    if (m_ArrivedAttempts > 0 && !budget().tryAcquire(Now)) {
      giveUp("no_retry_budget");
      return;
    }
    send(*Chosen, Now);
  }

  void onNoServer(MonotonicTime Now, NoServerReason Reason) {
    const MonotonicTime WaitEnd = m_WaitingSince + maxDispatchWait();
    const MonotonicTime NextRequestAt = m_Context.m_Selector.nextRequestAt();
    m_IsRateLimited = Reason == NoServerReason::AllRateLimited;
    const bool IsHeldBack =
        m_IsRateLimited || Reason == NoServerReason::AllPaused;
    if (IsHeldBack && NextRequestAt != MonotonicTime::max())
      m_PauseLeft = NextRequestAt - Now;
    // While a stream is interrupted, another server may join the service.
    const bool IsHopeless = IsHeldBack && NextRequestAt > WaitEnd && !resumes();
    if (IsHopeless || Now >= WaitEnd)
      giveUp(nameOf(NoServerReasonNames, Reason));
  }

  Duration maxDispatchWait() const {
    if (m_Sequence.deliveredCount() > 0)
      return MaxStreamInterruption;
    // A request that has reached a server may wait longer before it is
    // rejected, since that server has spent work on it and the client may be
    // unable to retry it.
    if (m_ArrivedAttempts > 0)
      return m_Route->m_FirstByteObjective;
    return m_Route->m_FirstByteObjective / RejectAfterDivisor;
  }

  /// Resets what is known about the current attempt.
  void beginAttempt(const ChosenServer &Chosen, MonotonicTime SentAt) {
    m_Phase = Phase::Sent;
    m_ChosenServer = Chosen;
    m_TriedServers.insert(Chosen.m_Id);
    m_SentAt = SentAt;
    m_RejectedResponse = {};
    m_HasOutput = false;
    m_HasFinished = false;
    m_HasHead = false;
    m_HasEvents = false;
    m_IsLate = false;
    m_FirstEventWait = FirstEventWait();
    m_WasPausedForLong = false;
    releaseBuffer();
  }

  void send(const ChosenServer &Chosen, MonotonicTime Now) {
    beginAttempt(Chosen, Now);
    m_Context.m_Selector.onDispatched(Chosen.m_Id, Now, m_Model,
                                      requestTokens());
    const PlacementEstimate &Estimate = m_Context.m_Selector.chosenEstimate();
    // The answers of a service without groups differ by route.
    m_FirstEventWait = m_Context.m_Selector.speed().beginWait(
        concat(m_Service->m_Name, "/",
               m_Service->hasReplicaGroups() ? m_Model : m_Route->m_Name),
        Estimate.m_FirstEvent, Now);
    for (const ContentHash Content : m_Contents)
      m_Context.m_PoisonDetector.onDispatch(Content, serverProcessKey());
    if (m_Service->hasReplicaGroups()) {
      m_Context.m_HasSentToGroup = true;
      recordPrompt(Chosen, Now);
    }
    m_Context.m_Log.write(
        "sent",
        {{"id", m_Id},
         {"server", Chosen.m_Id},
         {"born", Chosen.m_StartedAtMs},
         {"group", Chosen.m_Group ? std::string_view(Chosen.m_Group->m_Name)
                                  : std::string_view()},
         {"load", static_cast<std::int64_t>(
                      m_Context.m_Selector.ownInFlight(Chosen.m_Id))},
         {"arrivals", static_cast<std::int64_t>(m_ArrivedAttempts)},
         {"expected_ms", inMs(Estimate.m_FirstEvent)},
         {"pause_ms", inMs(Estimate.m_LongestPause)},
         {"slowness", Estimate.m_Slowness},
         {"passed_over", m_Context.m_Selector.passedOver()},
         {"waited_ms", inMs(Now - m_ClientRequest.m_ReceivedAt)}});
    m_Call = std::make_shared<UpstreamCall>(m_Context.m_Loop, Chosen.m_Endpoint,
                                            requestHead(Chosen, Now), body(),
                                            expectsNoBody());
    m_Call->start(callHandlers(), ConnectTimeout,
                  responseDueAt() - Now + milliseconds(50));
  }

  bool expectsNoBody() const {
    return m_ClientRequest.m_Head.m_Method == "HEAD";
  }

  UpstreamCallHandlers callHandlers() {
    UpstreamCallHandlers Handlers;
    Handlers.m_MaySend = [this] { return maySend(); };
    // A previous call invokes no handlers after its end or cancellation, so
    // these handlers receive events of the new call only.
    Handlers.m_OnHead = [this](HttpMessageHead Head) {
      onHead(std::move(Head));
    };
    Handlers.m_OnBody = [this](std::string_view Bytes) { onBody(Bytes); };
    Handlers.m_OnEnd = [this, Owner = m_Owner.lock()](UpstreamOutcome Outcome) {
      onCallEnd(Outcome);
    };
    return Handlers;
  }

  LatencyKey latencyKey() const { return {m_Service->m_Name, m_Model}; }

  /// True if the current attempt has returned something that can be passed on.
  bool hasAnswer() const {
    return m_ResponseStarted || m_HasEvents || (m_HasHead && !m_IsStream);
  }

  /// Sends the request to a second server as well if the first one is late.
  void considerSecondAttempt(MonotonicTime Now) {
    const SecondAttemptPolicy &Policy = m_Context.m_SecondAttempts;
    if (!Policy.isEnabled() || m_HasSecondAttempt || !mayRetry() ||
        hasAnswer() || Now < m_NextSecondAttemptAt ||
        !Policy.isLate(latencyKey(), m_Route->m_FirstByteObjective,
                       Now - m_SentAt, Now))
      return;
    m_NextSecondAttemptAt = Now + SecondAttemptInterval;
    LateRequest Late;
    Late.m_Id = m_Id;
    Late.m_Organisation = m_Organisation;
    Late.m_Priority = m_Route->m_Priority;
    Late.m_Server = m_ChosenServer.m_Id;
    Late.m_Query = query(Now);
    Late.m_IsNewlyLate = !m_IsLate;
    m_IsLate = true;
    WaitingAttempt &Attempt = Late.m_Attempt;
    Attempt.m_Key = latencyKey();
    Attempt.m_LatencyObjective = m_Route->m_FirstByteObjective;
    Attempt.m_Waited = Now - m_SentAt;
    Attempt.m_TimeLeft = responseDueAt() - Now;
    Attempt.m_MayRunMoreThanOnce = mayRetry();
    Attempt.m_HasAnswer = hasAnswer();
    // A request whose earlier attempt was lost may have caused that.
    Attempt.m_IsContentSuspected =
        mayHaveExecuted() || isSuspected(m_Context, m_Contents, Now);
    Attempt.m_ReachedServers = m_ArrivedAttempts + 1;
    Attempt.m_MaxAttempts = m_Route->m_MaxAttempts;
    MemoryReservation Memory(m_Context.m_Memory->budget());
    Attempt.m_LacksResources = !m_Context.m_HasSpareDescriptor() ||
                               !Memory.growTo(ClientMemory::CallBytes);
    if (const auto Chosen = chooseSecondServer(m_Context, budget(), Late))
      sendSecondAttempt(*Chosen, std::move(Memory), Now);
  }

  void sendSecondAttempt(const ChosenServer &Chosen, MemoryReservation Memory,
                         MonotonicTime Now) {
    m_HasSecondAttempt = true;
    m_TriedServers.insert(Chosen.m_Id);
    if (m_Service->hasReplicaGroups())
      recordPrompt(Chosen, Now);
    SecondAttemptRequest Request;
    Request.m_Memory = std::move(Memory);
    Request.m_Id = m_Id;
    Request.m_Server = Chosen;
    Request.m_Head = requestHead(Chosen, Now);
    Request.m_Body = body();
    Request.m_ExpectsNoBody = expectsNoBody();
    Request.m_IsStreaming = m_Route->m_Kind == RequestKind::Streaming;
    Request.m_Sequence = m_Sequence;
    Request.m_Contents = m_Contents;
    Request.m_Model = m_Model;
    Request.m_Tokens = requestTokens();
    Request.m_SentAt = Now;
    Request.m_ConnectTimeout = ConnectTimeout;
    Request.m_Timeout = responseDueAt() - Now + milliseconds(50);
    Request.m_MaxBodyBytes = MaxBufferedResponseBytes;
    m_SecondAttempt =
        std::make_shared<SecondAttempt>(m_Context, std::move(Request));
    SecondAttemptHandlers Handlers;
    Handlers.m_MaySend = [this] { return maySendSecondAttempt(); };
    Handlers.m_OnWon = [this] { onSecondAttemptWon(); };
    Handlers.m_OnEnded = [this,
                          Owner = m_Owner.lock()](SecondAttemptResult Result) {
      onSecondAttemptEnded(Result);
    };
    m_SecondAttempt->start(std::move(Handlers));
  }

  bool maySendSecondAttempt() {
    // It has become the only attempt.
    if (!m_SecondAttempt)
      return maySend();
    const MonotonicTime Now = monotonicNow();
    return Now - m_SecondAttempt->sentAt() <= ConnectTimeout &&
           !m_Context.m_PlannedStop.hasBegun() &&
           !isOverloaded(m_Context, query(Now)) &&
           m_Context.m_Selector.availability().tryAcquire(
               m_Context.m_Fleet, m_SecondAttempt->server(), Now);
  }

  void onSecondAttemptEnded(SecondAttemptResult Result) {
    if (Result == SecondAttemptResult::NotSent)
      m_TriedServers.erase(m_SecondAttempt->server().m_Id);
    m_ArrivedAttempts += m_SecondAttempt->mayHaveArrived() ? 1 : 0;
    m_PossibleExecutions += Result == SecondAttemptResult::Failed ? 1 : 0;
    m_SecondAttempt = nullptr;
  }

  void onSecondAttemptWon() {
    recordNoAnswer(monotonicNow());
    if (m_IsStream && m_HasHead)
      m_Sequence.endAttempt(m_EventCutter.isInsideEvent());
    if (m_Call->mayHaveSent()) {
      ++m_ArrivedAttempts;
      ++m_PossibleExecutions;
    }
    m_Call->cancel();
    releaseServer();
    adoptSecondAttempt(SecondAttemptResult::Won);
  }

  /// Goes on with the second attempt as the only one. Returns false if there is
  /// none.
  bool adoptSecondAttempt(SecondAttemptResult Result) {
    if (!m_SecondAttempt)
      return false;
    const std::shared_ptr<SecondAttempt> Adopted = std::move(m_SecondAttempt);
    m_SecondAttempt = nullptr;
    beginAttempt(Adopted->server(), Adopted->sentAt());
    m_Call = Adopted->call();
    Adopted->adopt(callHandlers(), Result);
    return true;
  }

  void cancelSecondAttempt() {
    if (!m_SecondAttempt)
      return;
    const std::shared_ptr<SecondAttempt> Loser = std::move(m_SecondAttempt);
    m_SecondAttempt = nullptr;
    Loser->cancel();
    m_ArrivedAttempts += Loser->mayHaveArrived() ? 1 : 0;
    m_PossibleExecutions += Loser->mayHaveArrived() ? 1 : 0;
  }

  /// Records that the current attempt is cancelled without an answer.
  void recordNoAnswer(MonotonicTime Now) {
    if (!hasAnswer())
      m_Context.m_SecondAttempts.onNoAnswer(
          latencyKey(), m_Route->m_FirstByteObjective, Now - m_SentAt, Now);
  }

  /// True if the chosen server may still receive the request when the
  /// connection to it is established. The request then counts for the server's
  /// rate limit.
  bool maySend() {
    const MonotonicTime Now = monotonicNow();
    // The request states the time that was left when the server was chosen.
    if (Now - m_SentAt > ConnectTimeout)
      return false;
    return m_Context.m_Selector.availability().tryAcquire(m_Context.m_Fleet,
                                                          m_ChosenServer, Now);
  }

  /// Records the prefill work for the chosen server. Prompts that fill at least
  /// half a prefill chunk are also announced to the peers; shorter ones are
  /// not, since each message goes to all peers.
  void recordPrompt(const ChosenServer &Server, MonotonicTime Now) {
    const EngineSpec &Engine = m_Service->m_Engine;
    const Duration PrefillTime = prefillTime(Engine, m_Model, m_PromptTokens);
    m_Context.m_Selector.onPromptSent(Server.m_Id, PrefillTime, Now);
    if (m_PromptTokens * 2 >= Engine.m_PrefillChunkTokens &&
        m_Context.m_OnLongPrompt)
      m_Context.m_OnLongPrompt(Server.m_Id, PrefillTime);
  }

  /// The body of the request, which further attempts may need as well.
  std::shared_ptr<const std::string> body() const {
    return {m_ClientRequest.m_Body, &m_ClientRequest.m_Body->m_Bytes};
  }

  /// Releases the body if the response that has begun is the last one that the
  /// request can get.
  void releaseUnneededBody() {
    if (!mayRetry() && !isNotExecuted())
      m_ClientRequest.m_Body = std::make_shared<RequestBody>();
  }

  std::string requestHead(const ChosenServer &Chosen, MonotonicTime Now) {
    const HttpMessageHead &Head = m_ClientRequest.m_Head;
    const HeaderNames &Names = m_Context.m_HeaderNames;
    std::string Text =
        concat(Head.m_Method, " ", Head.m_Target, " HTTP/1.1\r\n");
    for (const HttpHeader &Field : endToEndHeaders(Head.m_Headers)) {
      const auto IsField = [&](const std::string &Name) {
        return equalsIgnoreCase(Field.m_Name, Name);
      };
      if (IsField(Names.m_ApiKey) || IsField(Names.m_Organisation) ||
          IsField(Names.m_DeadlineMs) || IsField(Names.m_ExpectedServer) ||
          IsField(Names.m_Priority) ||
          (IsField(Names.m_LastEventId) && resumes()))
        continue;
      append(Text, Field.m_Name, ": ", Field.m_Value, "\r\n");
    }
    const auto Add = [&](const std::string &Name, std::string_view Value) {
      append(Text, Name, ": ", Value, "\r\n");
    };
    Add("Connection", "close");
    Add(Names.m_DeadlineMs,
        concat(std::max<std::int64_t>(1, inMs(responseDueAt() - Now))));
    Add(Names.m_ExpectedServer, Chosen.m_Id);
    if (!m_Organisation.empty())
      Add(Names.m_Organisation, m_Organisation);
    if (resumes())
      Add(Names.m_LastEventId, concat(*m_Sequence.lastId()));
    if (m_HasPriority || resumes())
      Add(Names.m_Priority, concat(urgency()));
    const std::string &Body = m_ClientRequest.m_Body->m_Bytes;
    if (!Body.empty() || (Head.m_Method != "GET" && Head.m_Method != "HEAD"))
      Add("Content-Length", concat(Body.size()));
    append(Text, "\r\n");
    return Text;
  }

  /// True if the next attempt must continue after events that the client
  /// already received.
  bool resumes() const { return m_Sequence.deliveredCount() > 0; }

  /// Priority with which the server admits the next attempt.
  unsigned urgency() const {
    if (!resumes())
      return m_Priority;
    return m_HasPriority ? std::min(m_Priority, ResumedStreamUrgency)
                         : ResumedStreamUrgency;
  }

  /// Ends the attempt because of its response once the current handler has
  /// returned. The rest of the response is not read: it may have no end.
  void rejectResponse(std::string_view Cause) {
    m_RejectedResponse = Cause;
    m_Sequence.endAttempt(m_EventCutter.isInsideEvent());
    releaseBuffer();
    m_Call->fail();
  }

  /// Reserves memory for what the next read from the server may add. Returns
  /// false if there is none now.
  bool prepareRead() {
    if (m_IsStream)
      return reserveEvent(m_EventCutter.incompleteEvent().size());
    const bool WasReserved = m_ResponseBody.isWholeReserved();
    if (!m_ResponseBody.prepareRead())
      return false;
    if (!WasReserved && m_ResponseBody.isWholeReserved())
      m_Call->enlargeReceiveBuffer();
    return true;
  }

  /// Sets the memory for an incomplete event of \p Bytes, whose buffer may have
  /// twice the size.
  bool reserveEvent(std::size_t Bytes) {
    const std::size_t Needed =
        m_FixedBytes +
        (Bytes > 0 ? 2 * (Bytes + ClientMemory::ServerReadBytes) : 0);
    if (Needed < m_Held.bytes())
      m_Held.set(Needed);
    return Needed == m_Held.bytes() ||
           m_Context.m_Memory->reserveResponse(this, m_Held, Needed);
  }

  void releaseBuffer() {
    m_ResponseBody.clear();
    m_EventCutter = EventSplitter();
    reserveEvent(0);
  }

  void onHead(HttpMessageHead Head) {
    m_ResponseHead = std::move(Head);
    m_HasHead = true;
    const std::string EchoedId = findHeader(m_ResponseHead.m_Headers,
                                            m_Context.m_HeaderNames.m_RequestId)
                                     .value_or(m_Id);
    m_IsStream = m_ResponseHead.m_Status == Ok &&
                 m_Route->m_Kind == RequestKind::Streaming;
    recordServerNotices(
        m_Context, m_ChosenServer,
        {m_ResponseHead.m_Status, m_ResponseHead.m_Headers, m_Id, m_SentAt});
    releaseUnneededBody();
    m_Sequence.beginAttempt();
    if (EchoedId != m_Id)
      rejectResponse("foreign_response");
    else if (isSuccess() &&
             !findHeader(m_ResponseHead.m_Headers,
                         m_Context.m_HeaderNames.m_ResponseDigest))
      rejectResponse("no_digest");
    else if (m_IsStream && m_ResponseStarted && !hasHeadOfStream())
      rejectResponse("no_stream");
    else if (!m_IsStream && !expectLength())
      rejectResponse("response_too_large");
  }

  /// Returns false if the response states a length that cannot be held.
  bool expectLength() {
    std::size_t Length = 0;
    if (!expectsNoBody() &&
        parseNumber(
            findHeader(m_ResponseHead.m_Headers, "Content-Length").value_or(""),
            Length))
      m_ResponseBody.expect(Length);
    return Length <= MaxBufferedResponseBytes && !m_ResponseBody.isTooLarge();
  }

  /// True if the head of the response agrees with the one that the client has
  /// received, so that its events can be of the same stream.
  bool hasHeadOfStream() const {
    const auto IsEqual = [&](const std::string &Name, auto Compare) {
      return Compare(findHeader(m_ResponseHead.m_Headers, Name),
                     findHeader(m_StreamHead.m_Headers, Name));
    };
    const auto AreBothPresent = [](const auto &Own, const auto &Begun) {
      return Own.has_value() == Begun.has_value();
    };
    return IsEqual("Content-Type", std::equal_to<>()) &&
           IsEqual(m_Context.m_HeaderNames.m_ResponseDigest, AreBothPresent);
  }

  /// The client is told no more about the end of a response than the server
  /// told: the close of a connection may have cut the response.
  static ResponseFraming framingOf(const HttpMessageHead &Head) {
    return Head.m_IsSelfDelimiting ? ResponseFraming::Delimited
                                   : ResponseFraming::ConnectionClose;
  }

  /// Sends the head of the current response as that of the stream.
  void beginStream() {
    m_ResponseStarted = true;
    m_StreamHead = m_ResponseHead;
    m_Client->beginStream(m_ResponseHead.m_Status, m_ResponseHead.m_Reason,
                          endToEndHeaders(m_ResponseHead.m_Headers),
                          framingOf(m_ResponseHead));
  }

  void onBody(std::string_view Bytes) {
    if (!m_RejectedResponse.empty())
      return;
    if (!m_IsStream) {
      if (!m_ResponseBody.append(Bytes))
        rejectResponse("no_memory");
      else if (m_ResponseBody.bytes().size() > MaxBufferedResponseBytes ||
               m_ResponseBody.isTooLarge())
        rejectResponse("response_too_large");
      else
        updatePause();
      return;
    }
    for (const RawEvent &Event : m_EventCutter.accept(Bytes))
      if (!forwardEvent(Event))
        return;
    if (m_EventCutter.hasFailed())
      rejectResponse("event_too_large");
    else
      updatePause();
  }

  /// True if the response should not be read further for now.
  bool mustWait() {
    if (m_IsStream && m_ResponseStarted &&
        m_Client->waitingOutput() > m_Context.m_Memory->maxWaitingOutput())
      return true;
    return !prepareRead();
  }

  /// Stops reading the response while the client does not take it or the node
  /// holds too much, and reads on afterwards.
  void updatePause() {
    if (!m_Call || m_Phase == Phase::Ended)
      return;
    const bool MustWait = mustWait();
    const MonotonicTime Now = monotonicNow();
    if (MustWait && m_Call->isPaused() &&
        Now - m_PausedAt >= ResponseBuffer::MaxWait &&
        m_Context.m_Memory->hasPrecedence(this)) {
      m_Call->cancel();
      ++m_ArrivedAttempts;
      onAttemptFailed("no_memory");
      return;
    }
    if (MustWait == m_Call->isPaused())
      return;
    m_Call->setPaused(MustWait);
    if (!MustWait) {
      m_WasPausedForLong =
          m_WasPausedForLong || Now - m_PausedAt >= LongReadPause;
      // The silence of the pause is not the server's.
      if (m_LastEventAt)
        m_LastEventAt = Now;
      return;
    }
    m_PausedAt = Now;
    m_Context.m_Metrics.increment("response_pauses_total");
    if (!std::exchange(m_HasLoggedPause, true))
      m_Context.m_Log.write(
          "response_paused",
          {{"id", m_Id},
           {"server", m_ChosenServer.m_Id},
           {"waiting", static_cast<std::int64_t>(m_Client->waitingOutput())},
           {"held",
            static_cast<std::int64_t>(m_Context.m_Memory->budget()->used())}});
    m_Client->onOutputTaken([this, Owner = m_Owner] {
      if (const auto Self = Owner.lock())
        updatePause();
    });
  }

  bool forwardEvent(const RawEvent &Event) {
    const MonotonicTime Now = monotonicNow();
    m_Context.m_StallDetector.onEvent(m_ChosenServer.m_Id, Now);
    m_HasEvents = true;
    recordOutput();
    switch (m_Sequence.accept(Event)) {
    case EventSequenceFilter::Verdict::Duplicate:
      return true;
    case EventSequenceFilter::Verdict::Gap:
      m_Call->cancel();
      ++m_ArrivedAttempts;
      onAttemptFailed("event_gap");
      return false;
    case EventSequenceFilter::Verdict::Deliver:
      break;
    }
    if (!m_ResponseStarted) {
      cancelSecondAttempt();
      m_Context.m_SecondAttempts.onAnswer(latencyKey(), Now - m_SentAt, Now);
      m_FirstEventAt = Now;
      if (m_Service->hasReplicaGroups())
        m_Context.m_FirstEventLatency.record(
            m_Model, Now - m_ClientRequest.m_ReceivedAt,
            m_Route->m_FirstByteObjective, Now);
      beginStream();
    }
    m_LongestEventGap =
        std::max(m_LongestEventGap, Now - m_LastEventAt.value_or(Now));
    m_LastEventAt = Now;
    m_Phase = Phase::Streaming;
    m_Client->sendChunk(Event.m_Bytes);
    return m_Phase != Phase::Ended;
  }

  void onCallEnd(UpstreamOutcome Outcome) {
    if (m_Phase == Phase::Ended)
      return;
    if (Outcome == UpstreamOutcome::NotConnected) {
      releaseServer();
      m_Context.m_Selector.availability().onConnectFailed(m_ChosenServer.m_Id,
                                                          monotonicNow());
      retryOrEnd("not_connected", false);
      return;
    }
    if (Outcome == UpstreamOutcome::NotSent) {
      releaseServer();
      m_TriedServers.erase(m_ChosenServer.m_Id);
      m_Context.m_Log.write("not_sent",
                            {{"id", m_Id}, {"server", m_ChosenServer.m_Id}});
      retryOrEnd("not_sent", false);
      return;
    }
    ++m_ArrivedAttempts;
    m_LastOutcome = Outcome;
    const bool HasEnded = hasResponse(Outcome);
    const ResponseFlaw Flaw = HasEnded ? findFlaw(Outcome) : ResponseFlaw::None;
    const bool IsInterrupted =
        Outcome == UpstreamOutcome::EndedByClose && Flaw != ResponseFlaw::None;
    if ((Outcome == UpstreamOutcome::Reset ||
         Outcome == UpstreamOutcome::Truncated || IsInterrupted) &&
        !m_WasPausedForLong)
      onConnectionLost();
    if (!m_RejectedResponse.empty())
      onAttemptFailed(m_RejectedResponse);
    else if (!HasEnded)
      onAttemptFailed(nameOf(UpstreamOutcomeNames, Outcome));
    else if (Flaw != ResponseFlaw::None)
      onAttemptFailed(nameOf(ResponseFlawNames, Flaw));
    else
      onComplete();
  }

  /// Checks a response that has ended. The head alone tells that a request has
  /// not been executed.
  ResponseFlaw findFlaw(UpstreamOutcome Outcome) const {
    if (isNotExecuted() || !m_RejectedResponse.empty())
      return ResponseFlaw::None;
    const ResponseEnd End = Outcome == UpstreamOutcome::Complete
                                ? ResponseEnd::Delimited
                                : ResponseEnd::ConnectionClosed;
    if (m_IsStream) {
      const bool MustBeDelimited =
          m_ResponseStarted && m_StreamHead.m_IsSelfDelimiting;
      return findStreamFlaw(m_EventCutter, m_Sequence, m_HasEvents, End,
                            MustBeDelimited);
    }
    return findBodyFlaw(
        m_ResponseHead.m_Status,
        findHeader(m_ResponseHead.m_Headers, "Content-Type").value_or(""),
        m_ResponseBody.bytes(), End);
  }

  bool isSuccess() const {
    return m_ResponseHead.m_Status >= Ok &&
           m_ResponseHead.m_Status < FirstRedirection;
  }

  bool isNotExecuted() const {
    return reportsNotRun(m_ResponseHead, m_Context.m_HeaderNames);
  }

  void onConnectionLost() {
    if (!recordLostConnection(m_Context, m_ChosenServer, m_Contents))
      return;
    m_IsCrashWatchPending = true;
    if (m_Context.m_OnConnectionLost)
      m_Context.m_OnConnectionLost(m_ChosenServer);
  }

  void onResponseClosed() {
    const BackendServer *Server = m_Context.m_Fleet.find(m_ChosenServer.m_Id);
    if (Server && Server->m_Draining)
      return;
    const MonotonicTime Now = monotonicNow();
    const bool IsSuspect = std::any_of(
        m_Contents.begin(), m_Contents.end(), [&](ContentHash Content) {
          return m_Context.m_PoisonDetector.hasCrashes(Content, Now);
        });
    m_Context.m_CrashDetector.onResponseClosed(
        m_Contents, m_ChosenServer.m_Id, m_ChosenServer.m_StartedAtMs, Now);
    m_IsCrashWatchPending = true;
    if (IsSuspect && m_Context.m_OnSuspectClosed)
      m_Context.m_OnSuspectClosed(m_ChosenServer);
  }

  void onComplete() {
    const ResponseVerdict Verdict =
        judgeResponse(m_ResponseHead, m_Context.m_HeaderNames);
    if (Verdict == ResponseVerdict::NotRun) {
      onNotExecuted();
      return;
    }
    if (Verdict == ResponseVerdict::UnprovenRefusal) {
      recordUnprovenRefusal(m_Context, m_ResponseHead.m_Status);
      onAttemptFailed(UnprovenRefusalCause);
      return;
    }
    if (m_IsStream) {
      finishStream();
      return;
    }
    if (Verdict == ResponseVerdict::ServerError && mayRetry()) {
      m_LastServerError = m_ResponseHead;
      m_LastServerErrorBody = m_ResponseBody.take();
      releaseServer();
      retryOrEnd("server_error", true);
      return;
    }
    if (m_Sequence.deliveredCount() > 0) {
      // The attempt should have resumed a stream, but the response is not a
      // stream.
      onAttemptFailed("no_stream");
      return;
    }
    m_Context.m_Selector.availability().onResponseReceived(m_ChosenServer.m_Id);
    recordFinish();
    const MonotonicTime Now = monotonicNow();
    m_Context.m_SecondAttempts.onAnswer(latencyKey(), Now - m_SentAt, Now);
    if (!m_Service->hasReplicaGroups() && isSuccess())
      m_Context.m_FirstEventLatency.record(m_Pool,
                                           Now - m_ClientRequest.m_ReceivedAt,
                                           m_Route->m_FirstByteObjective, Now);
    forwardResponse(m_ResponseHead, m_ResponseBody.take());
  }

  void onNotExecuted() {
    releaseServer();
    recordRefusal(m_Context, m_ChosenServer, m_ResponseHead, m_Id);
    retryOrEnd("not_run", false);
  }

  void finishStream() {
    if (m_Service->hasReplicaGroups())
      for (DemandEstimator *Demand : {&m_Context.m_DemandEstimator,
                                      &m_Context.m_ReturningDemandEstimator})
        Demand->recordOutput(
            m_Model, m_StatedOutputTokens,
            m_Sequence.deliveredCount() *
                std::max(1U, m_Service->m_Engine.m_DecodeStepsPerPass));
    m_Context.m_Selector.availability().onResponseReceived(m_ChosenServer.m_Id);
    recordFinish();
    releaseServer();
    if (!m_ResponseStarted)
      beginStream();
    // Blank lines and comments after the last event.
    m_Client->sendChunk(m_EventCutter.incompleteEvent());
    end("complete", m_ResponseHead.m_Status);
    m_Client->endStream();
  }

  void forwardResponse(const HttpMessageHead &Head, ReservedBytes Body) {
    releaseServer();
    end("complete", Head.m_Status);
    HttpHeaders Fields = endToEndHeaders(Head.m_Headers);
    // The length of the body that a GET request would have got.
    const auto Length = findHeader(Head.m_Headers, "Content-Length");
    if (expectsNoBody() && Length)
      Fields.push_back({"Content-Length", *Length});
    m_Client->forward(Head.m_Status, Head.m_Reason, Fields, std::move(Body),
                      framingOf(Head));
  }

  bool mayHaveExecuted() const { return m_PossibleExecutions > 0; }
  bool mayRetry() const { return m_Route->mayRunMoreThanOnce(); }

  /// Handles the end of an attempt that the server may have executed and that
  /// returned no response to forward.
  void onAttemptFailed(std::string_view Cause) {
    if (m_IsStream)
      m_Sequence.endAttempt(m_EventCutter.isInsideEvent());
    releaseServer();
    m_Context.m_Log.write(
        "attempt_failed",
        {{"id", m_Id},
         {"server", m_ChosenServer.m_Id},
         {"cause", Cause},
         {"status",
          std::int64_t{m_HasHead ? m_ResponseHead.m_Status : NoStatus}},
         {"events", static_cast<std::int64_t>(m_Sequence.deliveredCount())},
         {"after_ms", inMs(monotonicNow() - m_SentAt)}});
    retryOrEnd(Cause, true);
  }

  void retryOrEnd(std::string_view Cause, bool MayHaveExecuted) {
    m_PossibleExecutions += MayHaveExecuted ? 1 : 0;
    if (adoptSecondAttempt(SecondAttemptResult::Continued))
      return;
    const bool CanContinue = m_Sequence.deliveredCount() == 0 ||
                             (m_Route->m_Resumable && m_Sequence.canResume());
    if ((mayHaveExecuted() && !mayRetry()) || !CanContinue ||
        m_PossibleExecutions >= m_Route->m_MaxAttempts ||
        monotonicNow() >= responseDueAt()) {
      giveUp(Cause);
      return;
    }
    m_WaitingSince = monotonicNow();
    dispatch();
  }

  /// Ends the request without a further attempt: aborts a started stream,
  /// forwards the last server error or sends an error response.
  void giveUp(std::string_view Cause) {
    if (m_ResponseStarted) {
      end(Cause, 0);
      m_Client->abort();
      return;
    }
    if (m_LastServerError) {
      const HttpMessageHead Head = *m_LastServerError;
      forwardResponse(Head, std::move(m_LastServerErrorBody));
      return;
    }
    if (!mayHaveExecuted())
      reject(Cause);
    else
      respondWithError(monotonicNow() >= responseDueAt() ? GatewayTimeout
                                                         : BadGateway,
                       Cause);
  }

  /// Rejects a request that no server has executed, with a Retry-After field.
  void reject(std::string_view Cause) {
    respondWith(Unavailable, Cause,
                {{"Retry-After", concat(retryAfterSeconds())}});
  }

  /// Rejects a request because of overload. Requests that are rejected in the
  /// same seconds return spread over most of their time.
  void rejectOverloaded() {
    const std::chrono::duration<double> TimeLeft = m_Deadline - monotonicNow();
    std::uniform_real_distribution<double> Spread(MinOverloadSpread, 1.0);
    const double Longest =
        m_Service->hasReplicaGroups()
            ? TimeLeft.count() * MaxRetryAfterShare
            : std::min(UngroupedRetryAfterSeconds,
                       TimeLeft.count() * MaxRetryAfterShare);
    const double Delay =
        mayServe(monotonicNow()) ? Longest * Spread(m_Context.m_Random) : 0.0;
    respondWith(Unavailable, "overloaded",
                {{"Retry-After", concat(std::max(0.0, Delay))}});
  }

  double retryAfterSeconds() {
    // Another node can serve the request at once.
    if (!mayServe(monotonicNow()))
      return 0.0;
    if (!m_PauseLeft)
      return usualRetryAfterSeconds();
    std::uniform_real_distribution<double> Spread(1.0, MaxPauseSpread);
    const double AfterPause =
        std::chrono::duration<double>(*m_PauseLeft).count() *
        Spread(m_Context.m_Random);
    // The next request that the limit allows is only one of those that wait.
    return m_IsRateLimited ? std::max(AfterPause, usualRetryAfterSeconds())
                           : AfterPause;
  }

  double usualRetryAfterSeconds() {
    const bool NeedsGroup = m_Service && m_Service->hasReplicaGroups();
    const std::chrono::duration<double> TimeLeft = m_Deadline - monotonicNow();
    const double Delay = NeedsGroup
                             ? std::min(GroupReplacementSeconds,
                                        TimeLeft.count() * MaxRetryAfterShare)
                             : UngroupedRetryAfterSeconds;
    std::uniform_real_distribution<double> Jitter(MinRetryAfterFactor, 1.0);
    return std::max(0.0, Delay * Jitter(m_Context.m_Random));
  }

  void respondWithError(int Status, std::string_view Cause) {
    respondWith(Status, Cause, {});
  }

  void respondWith(int Status, std::string_view Cause, HttpHeaders Headers) {
    if (!m_Id.empty())
      Headers.push_back({m_Context.m_HeaderNames.m_RequestId, m_Id});
    Headers.push_back({"Content-Type", "application/json"});
    end(Cause, Status);
    m_Client->respond(Status, reasonPhrase(Status), Headers,
                      concat("{\"error\":\"", Cause, "\"}"));
  }

  void onClientDisconnected() {
    if (m_Phase == Phase::Ended)
      return;
    cancelCall();
    end("client_left", 0);
  }

  void cancelCall() {
    cancelSecondAttempt();
    if (m_Call) {
      recordNoAnswer(monotonicNow());
      m_Call->cancel();
    }
    releaseServer();
  }

  void releaseServer() {
    if (!m_Call)
      return;
    m_Context.m_Selector.onRequestEnded(m_ChosenServer.m_Id, requestTokens());
    if (!m_IsCrashWatchPending && !m_HasFinished)
      for (const ContentHash Content : m_Contents)
        m_Context.m_PoisonDetector.onInconclusiveEnd(Content,
                                                     serverProcessKey());
    m_IsCrashWatchPending = false;
    m_Call = nullptr;
  }

  void end(std::string_view Cause, int Status) {
    if (m_Phase == Phase::Ended)
      return;
    m_Phase = Phase::Ended;
    cancelSecondAttempt();
    m_Context.m_Memory->endResponse(this);
    m_ClientRequest.m_Body = std::make_shared<RequestBody>();
    const MonotonicTime Now = monotonicNow();
    m_Context.m_Log.write(
        "ended",
        {{"id", m_Id},
         {"route",
          m_Route ? std::string_view(m_Route->m_Name) : std::string_view()},
         {"version", static_cast<std::int64_t>(
                         m_Table ? m_Table->configuration().m_Version : 0)},
         {"outcome", Cause},
         {"status", std::int64_t{Status}},
         {"arrivals", static_cast<std::int64_t>(m_ArrivedAttempts)},
         {"may_have_run", mayHaveExecuted()},
         {"events", static_cast<std::int64_t>(m_Sequence.deliveredCount())},
         {"first_ms", m_FirstEventAt
                          ? inMs(*m_FirstEventAt - m_ClientRequest.m_ReceivedAt)
                          : std::int64_t{-1}},
         {"gap_ms", inMs(m_LongestEventGap)},
         {"response_end", m_LastOutcome
                              ? nameOf(UpstreamOutcomeNames, *m_LastOutcome)
                              : std::string_view()},
         {"total_ms", inMs(Now - m_ClientRequest.m_ReceivedAt)}});
    RequestSummary Summary;
    Summary.m_Kind =
        m_Route ? nameOf(RequestKindNames, m_Route->m_Kind) : "none";
    Summary.m_Outcome = Cause;
    Summary.m_Status = Status;
    Summary.m_TotalTime = Now - m_ClientRequest.m_ReceivedAt;
    if (m_FirstEventAt)
      Summary.m_TimeToFirstEvent =
          *m_FirstEventAt - m_ClientRequest.m_ReceivedAt;
    Summary.m_LongestEventGap = m_LongestEventGap;
    recordRequest(m_Context.m_Metrics, Summary);
    recordCompleted(Cause);
    m_Context.m_ActiveRequests.erase(m_Owner.lock());
  }

  void tick(MonotonicTime Now) {
    if (m_Phase == Phase::Ended)
      return;
    const Duration TickGap = Now - m_LastTickAt;
    m_LastTickAt = Now;
    // If the process stood still, the response may have arrived meanwhile and
    // is read before the next tick. A process that is always slow skips every
    // other tick only, so that deadlines hold.
    m_HasSkippedTick = m_Phase != Phase::AwaitingServer &&
                       TickGap > LongestTickGap && !m_HasSkippedTick;
    if (m_HasSkippedTick)
      return;
    if (Now >= responseDueAt()) {
      if (m_Call && m_Call->mayHaveSent()) {
        ++m_PossibleExecutions;
        ++m_ArrivedAttempts;
      }
      cancelCall();
      giveUp(Now >= m_Deadline ? "deadline" : "stopping");
      return;
    }
    if (m_Phase == Phase::AwaitingServer) {
      dispatch();
      return;
    }
    updatePause();
    // The attempt may have ended for lack of memory.
    if (!m_Call)
      return;
    considerSecondAttempt(Now);
    m_Context.m_Selector.speed().onStillWaiting(m_FirstEventWait,
                                                m_ChosenServer, Now);
    if (m_Service->hasReplicaGroups() && mayRetry() && !m_Call->isPaused())
      checkForStall(Now);
  }

  void checkForStall(MonotonicTime Now) {
    const MonotonicTime SilentSince =
        std::max(m_SentAt, m_LastEventAt.value_or(m_SentAt));
    Duration StallThreshold =
        m_Context.m_StallDetector.stallThreshold(*m_Service, m_Model);
    // The threshold is raised before the first event, since the silence then
    // includes queueing and prefill.
    if (SilentSince == m_SentAt)
      StallThreshold =
          std::max(StallThreshold, m_Route->m_FirstByteObjective * 3 / 4);
    const Duration Silence = m_Context.m_StallDetector.timeSinceLastEvent(
        m_ChosenServer.m_Id, SilentSince, Now);
    if (Silence < StallThreshold)
      return;
    // The prefill of a long prompt also delays the events of the other requests
    // in the batch. Therefore the stream moves only if a member failed a probe,
    // or if the silence exceeds the threshold many times over.
    if (!m_Context.m_Selector.availability().isSuspected(m_ChosenServer, Now)) {
      if (m_Context.m_OnGroupStalled)
        m_Context.m_OnGroupStalled(m_ChosenServer);
      if (Silence < StallThreshold * UnconfirmedStallFactor)
        return;
    }
    // The second attempt goes on anyway.
    if (m_SecondAttempt || m_PossibleExecutions + 1 >= m_Route->m_MaxAttempts)
      return;
    // The stream is moved only if another group can receive it and the retry
    // budget allows a retry.
    if (!m_Context.m_Selector.choose(m_Context.m_Fleet, query(Now)) ||
        budget().available(Now) < 1.0)
      return;
    m_Context.m_Selector.availability().onSuspected(
        m_ChosenServer.m_Id, m_ChosenServer.m_Group, Now);
    m_Call->cancel();
    ++m_ArrivedAttempts;
    onAttemptFailed("silent");
  }

  RequestRelayContext &m_Context;
  /// What this request holds in RequestRelayContext::m_Memory.
  MemoryReservation m_Held;
  /// Memory of the request until it ends.
  std::size_t m_FixedBytes = ClientMemory::RequestBytes;
  std::weak_ptr<RequestRelay> m_Owner;
  std::shared_ptr<ClientConnection> m_Client;
  ClientRequest m_ClientRequest;
  std::string m_Id;
  std::shared_ptr<const RouteTable> m_Table;
  const Route *m_Route = nullptr;
  const ServiceSpec *m_Service = nullptr;
  std::string m_Organisation;
  const OrganisationSpec *m_OrganisationSpec = nullptr;
  std::string m_Model;
  /// Servers whose load the request is part of; see loadPoolName().
  std::string m_Pool;
  /// Service and model, for which requests wait together.
  std::string m_WaitingPool;
  /// Organisation whose share limits the request; empty if organisations are
  /// not told apart.
  std::string m_PayingOrganisation;
  unsigned m_Priority = 0;
  /// The requests for the service differ in priority.
  bool m_HasPriority = false;
  /// Work that the request asks for, in group-seconds or requests.
  double m_Work = 0.0;
  MonotonicTime m_Deadline{};
  MonotonicTime m_WaitingSince{};
  MonotonicTime m_SentAt{};
  MonotonicTime m_LastTickAt = monotonicNow();
  bool m_HasSkippedTick = false;
  /// Begin of the last pause in which the response was not read.
  MonotonicTime m_PausedAt{};
  /// The server may have terminated the response because of such a pause.
  bool m_WasPausedForLong = false;
  bool m_HasLoggedPause = false;
  Phase m_Phase = Phase::AwaitingServer;
  std::set<std::string> m_TriedServers;
  ChosenServer m_ChosenServer;
  FirstEventWait m_FirstEventWait;
  std::shared_ptr<UpstreamCall> m_Call;
  /// Runs beside m_Call until one of them responds or ends.
  std::shared_ptr<SecondAttempt> m_SecondAttempt;
  MonotonicTime m_NextSecondAttemptAt{};
  HttpMessageHead m_ResponseHead;
  /// Head of the stream that the client receives.
  HttpMessageHead m_StreamHead;
  ResponseBuffer m_ResponseBody;
  EventSplitter m_EventCutter;
  EventSequenceFilter m_Sequence{std::nullopt};
  std::optional<HttpMessageHead> m_LastServerError;
  ReservedBytes m_LastServerErrorBody;
  std::optional<MonotonicTime> m_FirstEventAt;
  std::optional<MonotonicTime> m_LastEventAt;
  Duration m_LongestEventGap{0};
  /// Attempts that reached a server.
  unsigned m_ArrivedAttempts = 0;
  /// Attempts that a server may have executed.
  unsigned m_PossibleExecutions = 0;
  /// How the last attempt that reached a server ended.
  std::optional<UpstreamOutcome> m_LastOutcome;
  std::uint64_t m_PromptTokens = 0;
  /// Output tokens that the client stated, as an estimate or a maximum.
  std::uint64_t m_StatedOutputTokens = 0;
  /// Time until the first server may be sent a request, if all have asked for a
  /// pause or are at their rate limits.
  std::optional<Duration> m_PauseLeft;
  bool m_IsRateLimited = false;
  /// Reason why the response of the current attempt is not read further; empty
  /// if it is.
  std::string_view m_RejectedResponse;
  bool m_IsStream = false;
  /// The client seems to have been rejected before.
  bool m_IsReturning = false;
  bool m_ResponseStarted = false;
  bool m_IsCrashWatchPending = false;
  /// The server has produced output for the current attempt.
  bool m_HasOutput = false;
  /// The server has finished a successful response to the current attempt.
  bool m_HasFinished = false;
  /// The head of the response to the current attempt has arrived.
  bool m_HasHead = false;
  /// The current attempt has returned an event.
  bool m_HasEvents = false;
  /// The current attempt has been found to be late.
  bool m_IsLate = false;
  /// A second attempt has been sent for this request.
  bool m_HasSecondAttempt = false;
  /// Hashes of the request and of the prompt parts that others may share.
  std::vector<ContentHash> m_Contents;
};

RequestRelay::RequestRelay(RequestRelayContext &Context,
                           std::shared_ptr<ClientConnection> Client,
                           ClientRequest Request)
    : m_Impl(std::make_unique<Impl>(Context, std::move(Client),
                                    std::move(Request))) {}

RequestRelay::~RequestRelay() = default;

void RequestRelay::start() {
  m_Impl->m_Owner = weak_from_this();
  m_Impl->m_Context.m_ActiveRequests.insert(shared_from_this());
  m_Impl->admit(shared_from_this());
}

void RequestRelay::tick(MonotonicTime Now) { m_Impl->tick(Now); }

std::optional<WaitingRank> RequestRelay::waitingRank() const {
  if (m_Impl->m_Phase != Impl::Phase::AwaitingServer)
    return std::nullopt;
  return m_Impl->waitingRank();
}

} // namespace fulmarwinch
