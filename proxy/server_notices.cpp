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

void recordServerNotices(RequestRelayContext &Context,
                         const ChosenServer &Server, int Status,
                         const HttpHeaders &Headers,
                         std::string_view RequestId) {
  // A misdirected request was answered by another process.
  if (Status == Misdirected)
    return;
  if (findHeader(Headers, Context.m_HeaderNames.m_ServerLeaving))
    recordLeaving(Context, Server, RequestId);
  if (Status == Unavailable &&
      std::any_of(Headers.begin(), Headers.end(), isRetryAfter))
    recordPause(Context, Server, requestedPause(Headers), RequestId);
}

} // namespace fulmarwinch
