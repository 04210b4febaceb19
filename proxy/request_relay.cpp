#include "proxy/request_relay.h"
#include "core/text.h"
#include "proxy/backend_call.h"
#include "proxy/http_fields.h"
#include "proxy/request_figures.h"
#include "servers/retry/event_cutter.h"
#include "servers/routes/engine_times.h"

#include "xxhash.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

using std::chrono::milliseconds;

/// Connections inside a site are made within a few milliseconds.
constexpr Duration ConnectTimeout = milliseconds(250);
/// Clients of a stream leave after a pause of two seconds.
constexpr Duration LongestPause = milliseconds(1900);
/// Told to callers of plain services: longer than the queue of a full server.
constexpr double PlainRetryAfterSeconds = 0.6;
/// Time in which a broken group is replaced by staged servers: found, joined
/// and opened. Callers that come back sooner find it missing still.
constexpr double GroupReplacementSeconds = 2.2;
/// Callers honour a pause of up to this part of the time that they have.
constexpr double HonouredShare = 1.0 / 3.0;
/// Callers that were refused together come back spread over this part of the
/// pause.
constexpr double LeastPauseShare = 0.7;
/// A request that no server can take is refused after this part of its latency
/// objective, so that the caller can still be served in time elsewhere.
constexpr int RefusalShare = 8;
/// Multiple of the suspicious silence after which a stream moves without a
/// confirmation: the node that probes may be gone.
constexpr int UnconfirmedSilence = 4;
/// A response that is not a stream is passed on whole.
constexpr std::size_t MaxWholeResponseBytes = std::size_t{16} * 1024 * 1024;
/// Admission order of a stream that goes on elsewhere: its client has waited
/// once already.
constexpr const char *ResumedUrgency = "1";

constexpr int Ok = 200;
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int Misdirected = 421;
constexpr int FirstServerError = 500;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

std::int64_t inMs(Duration Length) {
  return std::chrono::duration_cast<milliseconds>(Length).count();
}

} // namespace

struct RequestRelay::Impl {
  enum class Phase { Waiting, Sent, Streaming, Ended };

  Impl(RelayContext &Context, std::shared_ptr<ClientConnection> Client,
       ClientRequest Request)
      : m_Context(Context), m_Client(std::move(Client)),
        m_Request(std::move(Request)) {}

  std::string header(const std::string &Name) const {
    return findHeader(m_Request.m_Head.m_Headers, Name).value_or("");
  }

  void admit(const std::shared_ptr<RequestRelay> &Owner) {
    m_Id = header(m_Context.m_Dialect.m_RequestId);
    m_Table = m_Context.m_Table;
    if (!m_Table) {
      refuse("no_configuration");
      return;
    }
    const HttpHead &Head = m_Request.m_Head;
    m_Route = m_Table->findRoute(header("Host"), Head.m_Target);
    if (!m_Route) {
      answer(NotFound, "no_route");
      return;
    }
    if (!authenticate())
      return;
    std::uniform_real_distribution<double> Draw(0.0, 1.0);
    m_Service =
        m_Table->findService(chooseService(*m_Route, Draw(m_Context.m_Random)));
    if (!m_Service) {
      refuse("no_service");
      return;
    }
    setDeadline();
    m_Hash = contentHash();
    budget().onRequest(monotonicNow());
    if (m_Context.m_Poison.verdict(m_Hash, monotonicNow()) !=
        PoisonVerdict::Run) {
      refuse("crashes_servers");
      return;
    }
    if (m_Service->hasGroups()) {
      m_Model = header(m_Context.m_Dialect.m_Model);
      const RequestSize Size = size();
      m_PromptTokens = Size.m_PromptTokens;
      m_Context.m_Demand.onRequest(*m_Service, m_Model, Size, monotonicNow());
    }
    std::optional<std::uint64_t> LastId;
    std::uint64_t Given = 0;
    if (parseNumber(header(m_Context.m_Dialect.m_LastEventId), Given))
      LastId = Given;
    m_Sequence = EventSequence(LastId);
    m_WaitSince = monotonicNow();
    m_Client->setOnGone([this, Weak = std::weak_ptr<RequestRelay>(Owner)] {
      if (const auto Self = Weak.lock())
        clientGone();
    });
    dispatch();
  }

  bool authenticate() {
    const std::string Key = header(m_Context.m_Dialect.m_Key);
    const OrganisationSpec *Organisation =
        Key.empty() ? nullptr : m_Table->findOrganisation(Key);
    if (Organisation)
      m_Organisation = Organisation->m_Name;
    if (Organisation || m_Route->m_Public || !m_Table->needsKeys())
      return true;
    answer(Unauthorized, "unknown_key");
    return false;
  }

  /// The same request sent again has the same hash, at any node.
  ContentHash contentHash() const {
    return XXH64(m_Request.m_Body.data(), m_Request.m_Body.size(),
                 XXH64(m_Request.m_Head.m_Target.data(),
                       m_Request.m_Head.m_Target.size(),
                       XXH64(m_Organisation.data(), m_Organisation.size(), 0)));
  }

  std::string serverLife() const {
    return CrashWatch::life(m_Server.m_Id, m_Server.m_StartedAtMs);
  }

  RequestSize size() const {
    RequestSize Result;
    const std::string Counts = header(m_Context.m_Dialect.m_TokenCounts);
    const std::size_t Comma = Counts.find(',');
    parseNumber(Counts.substr(0, Comma), Result.m_PromptTokens);
    // The client's estimate is nearer to the truth than its bound.
    if (!parseNumber(header(m_Context.m_Dialect.m_LengthHint),
                     Result.m_OutputTokens) &&
        Comma != std::string::npos)
      parseNumber(Counts.substr(Comma + 1), Result.m_OutputTokens);
    return Result;
  }

  void setDeadline() {
    Duration Left = m_Route->m_Timeout;
    std::int64_t GivenMs = 0;
    if (parseNumber(header(m_Context.m_Dialect.m_TimeLeftMs), GivenMs))
      Left = std::min<Duration>(
          Left, milliseconds(std::max<std::int64_t>(0, GivenMs)));
    m_Deadline = m_Request.m_ReceivedAt + Left;
  }

  WindowedRetryBudget &budget() {
    return m_Context.m_Budgets
        .try_emplace(m_Service->m_Name, m_Context.m_BudgetSettings)
        .first->second;
  }

  ServerQuery query(MonotonicTime Now) const {
    ServerQuery Query;
    Query.m_Service = m_Service;
    Query.m_Model = m_Model;
    Query.m_Tried = m_Tried;
    Query.m_Now = Now;
    return Query;
  }

  void dispatch() {
    m_Phase = Phase::Waiting;
    const MonotonicTime Now = monotonicNow();
    ServerQuery Query = query(Now);
    std::uniform_real_distribution<double> Draw(0.0, 1.0);
    Query.m_Draw = Draw(m_Context.m_Random);
    const auto Chosen = m_Context.m_Selector.choose(m_Context.m_Fleet, Query);
    if (!Chosen) {
      if (Now - m_WaitSince >= longestWait())
        giveUp(nameOf(NoServerReasonNames, m_Context.m_Selector.reason()));
      return;
    }
    // Arrivals beyond the first one of a request count against the budget,
    // also those that a server rejects.
    if (m_Arrivals > 0 && !budget().tryRetry(Now)) {
      giveUp("no_retry_budget");
      return;
    }
    send(*Chosen, Now);
  }

  Duration longestWait() const {
    if (m_Sequence.delivered() > 0)
      return LongestPause;
    // A server has spent work on it, and its client may not send it again.
    if (m_Arrivals > 0)
      return m_Route->m_LatencyObjective;
    return m_Route->m_LatencyObjective / RefusalShare;
  }

  void send(const ChosenServer &Chosen, MonotonicTime Now) {
    m_Phase = Phase::Sent;
    m_Server = Chosen;
    m_Tried.insert(Chosen.m_Id);
    m_SentAt = Now;
    m_Body.clear();
    m_Cutter = EventCutter();
    m_Context.m_Selector.onDispatched(Chosen.m_Id, Now);
    m_Context.m_Poison.onDispatch(m_Hash, serverLife());
    if (m_Service->hasGroups()) {
      m_Context.m_TrafficSeen = true;
      notePrompt(Now);
    }
    m_Context.m_Log.write(
        "sent",
        {{"id", m_Id},
         {"server", Chosen.m_Id},
         {"born", Chosen.m_StartedAtMs},
         {"group", Chosen.m_Group ? std::string_view(Chosen.m_Group->m_Name)
                                  : std::string_view()},
         {"load",
          static_cast<std::int64_t>(m_Context.m_Selector.ownLoad(Chosen.m_Id))},
         {"arrivals", static_cast<std::int64_t>(m_Arrivals)},
         {"waited_ms", inMs(Now - m_Request.m_ReceivedAt)}});
    const bool NoBody = m_Request.m_Head.m_Method == "HEAD";
    m_Call = std::make_shared<BackendCall>(m_Context.m_Loop, Chosen.m_Endpoint,
                                           requestBytes(Chosen, Now), NoBody);
    CallHandlers Handlers;
    // Handlers of an earlier call are dropped when it is cancelled.
    Handlers.m_OnHead = [this](HttpHead Head) { onHead(std::move(Head)); };
    Handlers.m_OnBody = [this](std::string_view Bytes) { onBody(Bytes); };
    Handlers.m_OnEnd = [this, Owner = m_Owner.lock()](CallEnd How) {
      onCallEnd(How);
    };
    m_Call->start(std::move(Handlers), ConnectTimeout,
                  m_Deadline - Now + milliseconds(50));
  }

  /// Peers are only told of prompts that fill a good part of a pass, since each
  /// message goes to all of them.
  void notePrompt(MonotonicTime Now) {
    const EngineSpec &Engine = m_Service->m_Engine;
    const Duration Work = readingTime(Engine, m_Model, m_PromptTokens);
    m_Context.m_Selector.onPromptSent(m_Server.m_Id, Work, Now);
    if (m_PromptTokens * 2 >= Engine.m_ChunkTokens && m_Context.m_OnLongPrompt)
      m_Context.m_OnLongPrompt(m_Server.m_Id, Work);
  }

  std::string requestBytes(const ChosenServer &Chosen, MonotonicTime Now) {
    const HttpHead &Head = m_Request.m_Head;
    const RequestDialect &Names = m_Context.m_Dialect;
    std::string Text =
        concat(Head.m_Method, " ", Head.m_Target, " HTTP/1.1\r\n");
    for (const HttpHeader &Field : endToEnd(Head.m_Headers)) {
      const auto Is = [&](const std::string &Name) {
        return equalsIgnoreCase(Field.m_Name, Name);
      };
      if (Is(Names.m_Key) || Is(Names.m_Organisation) ||
          Is(Names.m_TimeLeftMs) || Is(Names.m_ExpectedServer) ||
          Is(Names.m_Urgency) || (Is(Names.m_LastEventId) && resumes()))
        continue;
      append(Text, Field.m_Name, ": ", Field.m_Value, "\r\n");
    }
    const auto Add = [&](const std::string &Name, std::string_view Value) {
      append(Text, Name, ": ", Value, "\r\n");
    };
    Add("Connection", "close");
    Add(Names.m_TimeLeftMs,
        concat(std::max<std::int64_t>(1, inMs(m_Deadline - Now))));
    Add(Names.m_ExpectedServer, Chosen.m_Id);
    if (!m_Organisation.empty())
      Add(Names.m_Organisation, m_Organisation);
    if (resumes()) {
      Add(Names.m_LastEventId, concat(*m_Sequence.lastId()));
      Add(Names.m_Urgency, ResumedUrgency);
    }
    if (!m_Request.m_Body.empty() ||
        (Head.m_Method != "GET" && Head.m_Method != "HEAD"))
      Add("Content-Length", concat(m_Request.m_Body.size()));
    append(Text, "\r\n", m_Request.m_Body);
    return Text;
  }

  /// The next attempt goes on after events that the client already has.
  bool resumes() const { return m_Sequence.delivered() > 0; }

  void onHead(HttpHead Head) {
    m_Head = std::move(Head);
    const std::string Echo =
        findHeader(m_Head.m_Headers, m_Context.m_Dialect.m_RequestId)
            .value_or(m_Id);
    m_IsForeign = Echo != m_Id;
    m_IsStream = !m_IsForeign && m_Head.m_Status == Ok &&
                 m_Route->m_Kind == RequestKind::Streaming;
  }

  void onBody(std::string_view Bytes) {
    if (m_IsForeign)
      return;
    if (!m_IsStream) {
      if (m_Body.size() + Bytes.size() <= MaxWholeResponseBytes)
        m_Body.append(Bytes);
      else
        m_IsForeign = true;
      return;
    }
    for (const RawEvent &Event : m_Cutter.accept(Bytes))
      if (!passOn(Event))
        return;
  }

  bool passOn(const RawEvent &Event) {
    const MonotonicTime Now = monotonicNow();
    m_Context.m_Stalls.onEvent(m_Server.m_Id, Now);
    switch (m_Sequence.accept(Event)) {
    case EventSequence::Verdict::Duplicate:
      return true;
    case EventSequence::Verdict::Gap:
      m_Call->cancel();
      ++m_Arrivals;
      attemptFailed("event_gap");
      return false;
    case EventSequence::Verdict::Deliver:
      break;
    }
    if (!m_ResponseStarted) {
      m_ResponseStarted = true;
      m_FirstEventAt = Now;
      m_Client->beginStream(m_Head.m_Status, m_Head.m_Reason,
                            endToEnd(m_Head.m_Headers));
    }
    m_LongestGap = std::max(m_LongestGap, Now - m_LastEventAt.value_or(Now));
    m_LastEventAt = Now;
    m_Phase = Phase::Streaming;
    m_Client->sendChunk(Event.m_Bytes);
    return m_Phase != Phase::Ended;
  }

  void onCallEnd(CallEnd How) {
    if (m_Phase == Phase::Ended)
      return;
    if (How == CallEnd::NotConnected) {
      releaseServer();
      m_Context.m_Selector.onUnreachable(m_Server.m_Id, monotonicNow());
      retryOrEnd("not_connected", false);
      return;
    }
    ++m_Arrivals;
    if (How == CallEnd::Reset || How == CallEnd::Truncated) {
      m_Context.m_Crashes.onConnectionLost(
          m_Hash, m_Server.m_Id, m_Server.m_StartedAtMs, monotonicNow());
      m_LeftToCrashWatch = true;
    }
    if (How != CallEnd::Complete || m_IsForeign) {
      attemptFailed(m_IsForeign ? "foreign_response"
                                : nameOf(CallEndNames, How));
      return;
    }
    onComplete();
  }

  void onComplete() {
    const bool NotRun =
        m_Head.m_Status == Misdirected ||
        findHeader(m_Head.m_Headers, m_Context.m_Dialect.m_NotRun).has_value();
    if (NotRun) {
      onNotRun();
      return;
    }
    if (m_IsStream) {
      finishStream();
      return;
    }
    if (m_Head.m_Status >= FirstServerError && mayRepeat()) {
      m_LastFailure = m_Head;
      m_LastFailureBody = m_Body;
      releaseServer();
      retryOrEnd("server_error", true);
      return;
    }
    if (m_Sequence.delivered() > 0) {
      // A run that should go on answered with something else.
      attemptFailed("no_stream");
      return;
    }
    m_Context.m_Selector.onAnswered(m_Server.m_Id);
    m_Context.m_Poison.onCompleted(m_Hash, serverLife(), monotonicNow());
    passWhole(m_Head, m_Body);
  }

  void onNotRun() {
    const MonotonicTime Now = monotonicNow();
    releaseServer();
    const std::string AtFault =
        findHeader(m_Head.m_Headers, m_Context.m_Dialect.m_ServerAtFault)
            .value_or("");
    if (m_Head.m_Status == Misdirected || (!AtFault.empty()))
      m_Context.m_Selector.onSuspected(m_Server.m_Id, m_Server.m_Group, Now);
    else
      m_Context.m_Selector.onFull(m_Server.m_Id, Now);
    m_Context.m_Log.write("not_run", {{"id", m_Id},
                                      {"server", m_Server.m_Id},
                                      {"status", std::int64_t{m_Head.m_Status}},
                                      {"at_fault", AtFault}});
    retryOrEnd("not_run", false);
  }

  void finishStream() {
    m_Context.m_Selector.onAnswered(m_Server.m_Id);
    m_Context.m_Poison.onCompleted(m_Hash, serverLife(), monotonicNow());
    releaseServer();
    if (!m_ResponseStarted) {
      m_ResponseStarted = true;
      m_Client->beginStream(m_Head.m_Status, m_Head.m_Reason,
                            endToEnd(m_Head.m_Headers));
    }
    m_Client->sendChunk(m_Cutter.rest());
    end("complete", m_Head.m_Status);
    m_Client->endStream();
  }

  void passWhole(const HttpHead &Head, const std::string &Body) {
    releaseServer();
    end("complete", Head.m_Status);
    m_Client->respond(Head.m_Status, Head.m_Reason, endToEnd(Head.m_Headers),
                      Body);
  }

  bool mayHaveRun() const { return m_Runs > 0; }
  bool mayRepeat() const { return m_Route->mayRepeat(); }

  /// The attempt may have run, and ended without a response to pass on.
  void attemptFailed(std::string_view Cause) {
    releaseServer();
    m_Context.m_Log.write(
        "attempt_failed",
        {{"id", m_Id},
         {"server", m_Server.m_Id},
         {"cause", Cause},
         {"events", static_cast<std::int64_t>(m_Sequence.delivered())},
         {"after_ms", inMs(monotonicNow() - m_SentAt)}});
    retryOrEnd(Cause, true);
  }

  void retryOrEnd(std::string_view Cause, bool MayHaveRun) {
    m_Runs += MayHaveRun ? 1 : 0;
    const bool Resumable = m_Sequence.delivered() == 0 ||
                           (m_Route->m_Resumable && m_Sequence.canResume());
    if ((mayHaveRun() && !mayRepeat()) || !Resumable ||
        m_Runs >= m_Route->m_MaxAttempts || monotonicNow() >= m_Deadline) {
      giveUp(Cause);
      return;
    }
    m_WaitSince = monotonicNow();
    dispatch();
  }

  /// Sends the final response now that no further attempt will be made.
  void giveUp(std::string_view Cause) {
    if (m_ResponseStarted) {
      end(Cause, 0);
      m_Client->abort();
      return;
    }
    if (m_LastFailure) {
      const HttpHead Head = *m_LastFailure;
      passWhole(Head, m_LastFailureBody);
      return;
    }
    if (!mayHaveRun())
      refuse(Cause);
    else
      answer(monotonicNow() >= m_Deadline ? GatewayTimeout : BadGateway, Cause);
  }

  /// Answers a request that no server has run or will run.
  void refuse(std::string_view Cause) {
    respondWith(Unavailable, Cause,
                {{"Retry-After", concat(retryAfterSeconds())}});
  }

  double retryAfterSeconds() {
    const bool ForGroups = m_Service && m_Service->hasGroups();
    const std::chrono::duration<double> Left = m_Deadline - monotonicNow();
    const double Pause = ForGroups ? std::min(GroupReplacementSeconds,
                                              Left.count() * HonouredShare)
                                   : PlainRetryAfterSeconds;
    std::uniform_real_distribution<double> Draw(LeastPauseShare, 1.0);
    return std::max(0.0, Pause * Draw(m_Context.m_Random));
  }

  void answer(int Status, std::string_view Cause) {
    respondWith(Status, Cause, {});
  }

  void respondWith(int Status, std::string_view Cause, HttpHeaders Headers) {
    if (!m_Id.empty())
      Headers.push_back({m_Context.m_Dialect.m_RequestId, m_Id});
    Headers.push_back({"Content-Type", "application/json"});
    end(Cause, Status);
    m_Client->respond(Status, reasonPhrase(Status), Headers,
                      concat("{\"error\":\"", Cause, "\"}"));
  }

  void clientGone() {
    if (m_Phase == Phase::Ended)
      return;
    cancelCall();
    end("client_left", 0);
  }

  void cancelCall() {
    if (m_Call)
      m_Call->cancel();
    releaseServer();
  }

  void releaseServer() {
    if (!m_Call)
      return;
    m_Context.m_Selector.onEnded(m_Server.m_Id);
    if (!m_LeftToCrashWatch)
      m_Context.m_Poison.onEnded(m_Hash, serverLife());
    m_LeftToCrashWatch = false;
    m_Call = nullptr;
  }

  void end(std::string_view Cause, int Status) {
    if (m_Phase == Phase::Ended)
      return;
    m_Phase = Phase::Ended;
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
         {"arrivals", static_cast<std::int64_t>(m_Arrivals)},
         {"may_have_run", mayHaveRun()},
         {"events", static_cast<std::int64_t>(m_Sequence.delivered())},
         {"first_ms", m_FirstEventAt
                          ? inMs(*m_FirstEventAt - m_Request.m_ReceivedAt)
                          : std::int64_t{-1}},
         {"gap_ms", inMs(m_LongestGap)},
         {"total_ms", inMs(Now - m_Request.m_ReceivedAt)}});
    RequestEnd Summary;
    Summary.m_Kind =
        m_Route ? nameOf(RequestKindNames, m_Route->m_Kind) : "none";
    Summary.m_Outcome = Cause;
    Summary.m_Status = Status;
    Summary.m_Total = Now - m_Request.m_ReceivedAt;
    if (m_FirstEventAt)
      Summary.m_FirstEvent = *m_FirstEventAt - m_Request.m_ReceivedAt;
    Summary.m_LongestPause = m_LongestGap;
    countRequest(m_Context.m_Figures, Summary);
    m_Context.m_Active.erase(m_Owner.lock());
  }

  void tick(MonotonicTime Now) {
    if (m_Phase == Phase::Ended)
      return;
    if (Now >= m_Deadline) {
      if (m_Call && m_Call->hasSent()) {
        ++m_Runs;
        ++m_Arrivals;
      }
      cancelCall();
      giveUp("deadline");
      return;
    }
    if (m_Phase == Phase::Waiting) {
      dispatch();
      return;
    }
    if (m_Service->hasGroups() && mayRepeat())
      checkSilence(Now);
  }

  void checkSilence(MonotonicTime Now) {
    const MonotonicTime Since =
        std::max(m_SentAt, m_LastEventAt.value_or(m_SentAt));
    Duration Limit = m_Context.m_Stalls.threshold(*m_Service, m_Model);
    // The first event has to wait for the prompt, maybe in a queue.
    if (Since == m_SentAt)
      Limit = std::max(Limit, m_Route->m_LatencyObjective * 3 / 4);
    const Duration Silence =
        m_Context.m_Stalls.silence(m_Server.m_Id, Since, Now);
    if (Silence < Limit)
      return;
    // Long prompts keep a batch silent as well, so a member must have failed
    // to answer a probe, or the silence be far beyond that.
    if (!m_Context.m_Selector.isSuspected(m_Server, Now)) {
      if (m_Context.m_OnStalled)
        m_Context.m_OnStalled(m_Server);
      if (Silence < Limit * UnconfirmedSilence)
        return;
    }
    if (m_Runs + 1 >= m_Route->m_MaxAttempts)
      return;
    // Moving only helps if there is another group.
    if (!m_Context.m_Selector.choose(m_Context.m_Fleet, query(Now)) ||
        budget().available(Now) < 1.0)
      return;
    m_Context.m_Selector.onSuspected(m_Server.m_Id, m_Server.m_Group, Now);
    m_Call->cancel();
    ++m_Arrivals;
    attemptFailed("silent");
  }

  RelayContext &m_Context;
  std::weak_ptr<RequestRelay> m_Owner;
  std::shared_ptr<ClientConnection> m_Client;
  ClientRequest m_Request;
  std::string m_Id;
  std::shared_ptr<const RouteTable> m_Table;
  const Route *m_Route = nullptr;
  const ServiceSpec *m_Service = nullptr;
  std::string m_Organisation;
  std::string m_Model;
  MonotonicTime m_Deadline{};
  MonotonicTime m_WaitSince{};
  MonotonicTime m_SentAt{};
  Phase m_Phase = Phase::Waiting;
  std::set<std::string> m_Tried;
  ChosenServer m_Server;
  std::shared_ptr<BackendCall> m_Call;
  HttpHead m_Head;
  std::string m_Body;
  EventCutter m_Cutter;
  EventSequence m_Sequence{std::nullopt};
  std::optional<HttpHead> m_LastFailure;
  std::string m_LastFailureBody;
  std::optional<MonotonicTime> m_FirstEventAt;
  std::optional<MonotonicTime> m_LastEventAt;
  Duration m_LongestGap{0};
  /// Attempts that reached a server, and those that may have run there.
  unsigned m_Arrivals = 0;
  unsigned m_Runs = 0;
  std::uint64_t m_PromptTokens = 0;
  bool m_IsForeign = false;
  bool m_IsStream = false;
  bool m_ResponseStarted = false;
  bool m_LeftToCrashWatch = false;
  ContentHash m_Hash = 0;
};

RequestRelay::RequestRelay(RelayContext &Context,
                           std::shared_ptr<ClientConnection> Client,
                           ClientRequest Request)
    : m_Impl(std::make_unique<Impl>(Context, std::move(Client),
                                    std::move(Request))) {}

RequestRelay::~RequestRelay() = default;

void RequestRelay::start() {
  m_Impl->m_Owner = weak_from_this();
  m_Impl->m_Context.m_Active.insert(shared_from_this());
  m_Impl->admit(shared_from_this());
}

void RequestRelay::tick(MonotonicTime Now) { m_Impl->tick(Now); }

} // namespace fulmarwinch
