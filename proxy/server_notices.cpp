#include "proxy/server_notices.h"
#include "core/text.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

constexpr int Misdirected = 421;
constexpr int Unavailable = 503;

void recordLeaving(RequestRelayContext &Context, const ChosenServer &Server,
                   std::string_view RequestId) {
  if (!Context.m_Fleet.setLeaving(Server.m_Id, Server.m_StartedAtMs))
    return;
  Context.m_Metrics.increment("servers_leaving_total");
  Context.m_Log.write("server_leaving", {{"server", Server.m_Id},
                                         {"born", Server.m_StartedAtMs},
                                         {"id", RequestId}});
}

void recordPause(RequestRelayContext &Context, const ChosenServer &Server,
                 std::optional<Duration> Pause, std::string_view RequestId) {
  Context.m_Metrics.increment("server_pauses_total");
  // A malformed value is always logged: the server asks for something that
  // this node cannot honour.
  const bool IsNew =
      !Pause || Context.m_Selector.availability().onPauseRequested(
                    Server, *Pause, monotonicNow());
  if (!IsNew)
    return;
  const std::int64_t PauseMs =
      Pause ? std::chrono::duration_cast<std::chrono::milliseconds>(*Pause)
                  .count()
            : -1;
  Context.m_Log.write("server_pause", {{"server", Server.m_Id},
                                       {"born", Server.m_StartedAtMs},
                                       {"id", RequestId},
                                       {"pause_ms", PauseMs}});
}

/// Records that \p Server names a rate limit, or no longer does. Only a sound
/// response to a client request shows that it does not.
void recordRateLimit(RequestRelayContext &Context, const ChosenServer &Server,
                     const ServerResponseHead &Response) {
  const HeaderNames &Names = Context.m_HeaderNames;
  ServerRateLimits &Limits = Context.m_Selector.availability().rateLimits();
  const auto Write = [&](double RequestsPerSecond) {
    Context.m_Log.write("server_rate_limit",
                        {{"server", Server.m_Id},
                         {"born", Server.m_StartedAtMs},
                         {"id", Response.m_RequestId},
                         {"requests_per_s", RequestsPerSecond}});
  };
  if (findHeader(Response.m_Headers, Names.m_RateLimit)) {
    Context.m_Metrics.increment("server_rate_limits_named_total");
    const auto Limit = namedRateLimit(Response.m_Headers, Names.m_RateLimit);
    if (!Limit) {
      Context.m_Metrics.increment("server_rate_limits_malformed_total");
      return;
    }
    if (Limits.onLimitNamed(Server.m_Id, Server.m_StartedAtMs, *Limit,
                            monotonicNow()))
      Write(*Limit);
    return;
  }
  constexpr double NoLimit = -1.0;
  if (Response.m_RequestSentAt &&
      findHeader(Response.m_Headers, Names.m_ResponseDigest) &&
      Limits.onNoLimitNamed(Server.m_Id, Server.m_StartedAtMs,
                            *Response.m_RequestSentAt))
    Write(NoLimit);
}

bool isRetryAfter(const HttpHeader &Field) {
  return equalsIgnoreCase(Field.m_Name, "Retry-After");
}

} // namespace

std::optional<Duration> requestedPause(const HttpHeaders &Headers) {
  std::optional<Duration> Longest;
  for (const HttpHeader &Field : Headers)
    if (isRetryAfter(Field))
      Longest = std::max(Longest, parseRequestedPause(Field.m_Value));
  return Longest;
}

std::optional<double> namedRateLimit(const HttpHeaders &Headers,
                                     const std::string &FieldName) {
  std::optional<double> Lowest;
  for (const HttpHeader &Field : Headers) {
    if (!equalsIgnoreCase(Field.m_Name, FieldName))
      continue;
    const auto Limit = parseRateLimit(Field.m_Value);
    if (Limit)
      Lowest = std::min(*Limit, Lowest.value_or(*Limit));
  }
  return Lowest;
}

bool reportsNotRun(const HttpMessageHead &Head, const HeaderNames &Names) {
  return Head.m_Status == Misdirected ||
         findHeader(Head.m_Headers, Names.m_NotExecuted).has_value();
}

ResponseVerdict judgeResponse(const HttpMessageHead &Head,
                              const HeaderNames &Names) {
  return judgeResponse(Head.m_Status, reportsNotRun(Head, Names));
}

void recordServerNotices(RequestRelayContext &Context,
                         const ChosenServer &Server,
                         const ServerResponseHead &Response) {
  // A misdirected request was answered by another process.
  if (Response.m_Status == Misdirected)
    return;
  const HttpHeaders &Headers = Response.m_Headers;
  if (findHeader(Headers, Context.m_HeaderNames.m_ServerLeaving))
    recordLeaving(Context, Server, Response.m_RequestId);
  if (Response.m_Status == Unavailable &&
      std::any_of(Headers.begin(), Headers.end(), isRetryAfter))
    recordPause(Context, Server, requestedPause(Headers), Response.m_RequestId);
  recordRateLimit(Context, Server, Response);
}

void recordRefusal(RequestRelayContext &Context, const ChosenServer &Server,
                   const HttpMessageHead &Head, std::string_view RequestId) {
  const MonotonicTime Now = monotonicNow();
  const std::string AtFault =
      findHeader(Head.m_Headers, Context.m_HeaderNames.m_FailedServer)
          .value_or("");
  if (Head.m_Status == Misdirected || !AtFault.empty())
    Context.m_Selector.availability().onSuspected(Server.m_Id, Server.m_Group,
                                                  Now);
  else
    Context.m_Selector.availability().onNoFreeSlot(Server.m_Id, Now);
  Context.m_Log.write("not_run", {{"id", RequestId},
                                  {"server", Server.m_Id},
                                  {"status", std::int64_t{Head.m_Status}},
                                  {"at_fault", AtFault}});
}

void recordUnprovenRefusal(RequestRelayContext &Context, int Status) {
  Context.m_Metrics.increment(
      concat("unproven_refusals_total{status=\"", Status, "\"}"));
}

bool recordLostConnection(RequestRelayContext &Context,
                          const ChosenServer &Server,
                          const std::vector<ContentHash> &Contents) {
  const BackendServer *Entry = Context.m_Fleet.find(Server.m_Id);
  if (Entry && Entry->m_Draining)
    return false;
  Context.m_CrashDetector.onConnectionLost(
      Contents, Server.m_Id, Server.m_StartedAtMs, monotonicNow());
  return true;
}

} // namespace fulmarwinch
