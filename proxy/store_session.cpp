#include "proxy/store_session.h"

#include "asio/post.hpp"

#include <utility>
#include <variant>

namespace fulmarwinch {

namespace {

/// Version on which \p Action is conditional.
ObjectVersion expectedVersion(const StoreAction &Action) {
  if (const auto *Put = std::get_if<PutObject>(&Action))
    return Put->m_ExpectedVersion;
  if (const auto *Delete = std::get_if<DeleteObject>(&Action))
    return Delete->m_ExpectedVersion;
  return {};
}

/// Result of a call that is not sent, or whose answer is of an earlier era.
StoreCompletion failedCall(const StoreAction &Action,
                           StoreOutcome WriteOutcome) {
  if (const auto *Get = std::get_if<GetObject>(&Action))
    return GetCompleted{Get->m_Id, StoreOutcome::Unavailable, {}, "", 0};
  const auto *Put = std::get_if<PutObject>(&Action);
  return WriteCompleted{Put ? Put->m_Id : std::get<DeleteObject>(Action).m_Id,
                        WriteOutcome,
                        {},
                        0};
}

StoreEra eraOf(const StoreCompletion &Result) {
  return std::visit([](const auto &Completed) { return Completed.m_Era; },
                    Result);
}

} // namespace

StoreSession::StoreSession(asio::io_context &Loop,
                           const PlatformBinding &Platform, EventLog &Log,
                           Metrics &Counters)
    : m_Loop(Loop), m_Platform(Platform), m_Log(Log), m_Counters(Counters) {}

PlatformBinding StoreSession::bind(PlatformBinding Platform) {
  Platform.m_ObjectFeed = this;
  Platform.m_StartStoreCall =
      [this](StoreAction Action, std::function<void(StoreCompletion)> Done) {
        start(std::move(Action), std::move(Done));
      };
  return Platform;
}

void StoreSession::onEraNamed(StoreEra Era) {
  if (Era <= m_Era)
    return;
  const StoreEra Previous = std::exchange(m_Era, Era);
  m_Log.write("store_era", {{"era", static_cast<std::int64_t>(Era)},
                            {"previous", static_cast<std::int64_t>(Previous)}});
  if (Previous == 0)
    return;
  m_Counters.increment("store_restorations_total");
  if (m_OnRestored)
    m_OnRestored(Era);
}

void StoreSession::list(const std::string &Kind,
                        std::function<void(ObjectsListed)> Done) {
  m_Platform.m_ObjectFeed->list(
      Kind, [this, Done = std::move(Done)](ObjectsListed Result) {
        onEraNamed(Result.m_Era);
        Done(isOutdated(Result.m_Era) ? ObjectsListed() : std::move(Result));
      });
}

void StoreSession::watch(const std::string &Kind, StorePosition Since,
                         Duration Wait,
                         std::function<void(ObjectsWatched)> Done) {
  m_Platform.m_ObjectFeed->watch(
      Kind, Since, Wait, [this, Done = std::move(Done)](ObjectsWatched Result) {
        onEraNamed(Result.m_Era);
        Done(isOutdated(Result.m_Era) ? ObjectsWatched() : std::move(Result));
      });
}

void StoreSession::start(StoreAction Action,
                         std::function<void(StoreCompletion)> Done) {
  const ObjectVersion Expected = expectedVersion(Action);
  if (Expected.exists() && isOutdated(Expected.m_Era)) {
    asio::post(m_Loop, [Done = std::move(Done),
                        Result = failedCall(Action, StoreOutcome::Conflict)] {
      Done(Result);
    });
    return;
  }
  m_Platform.m_StartStoreCall(
      Action, [this, Action, Expected,
               Done = std::move(Done)](const StoreCompletion &Result) {
        const StoreEra Era = eraOf(Result);
        onEraNamed(Era);
        // Whether the copy contains the effect of a write is not known, nor
        // what a write met that was executed under a condition of an earlier
        // era.
        const bool MetAnotherEra =
            Expected.exists() && Era != 0 && Expected.m_Era != Era;
        Done(isOutdated(Era) || MetAnotherEra
                 ? failedCall(Action, StoreOutcome::Unknown)
                 : Result);
      });
}

} // namespace fulmarwinch
