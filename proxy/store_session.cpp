#include "proxy/store_session.h"

namespace fulmarwinch {

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
        Done(std::move(Result));
      });
}

void StoreSession::watch(const std::string &Kind, StorePosition Since,
                         Duration Wait,
                         std::function<void(ObjectsWatched)> Done) {
  m_Platform.m_ObjectFeed->watch(
      Kind, Since, Wait, [this, Done = std::move(Done)](ObjectsWatched Result) {
        onEraNamed(Result.m_Era);
        Done(std::move(Result));
      });
}

void StoreSession::start(StoreAction Action,
                         std::function<void(StoreCompletion)> Done) {
  m_Platform.m_StartStoreCall(
      std::move(Action),
      [this, Done = std::move(Done)](const StoreCompletion &Result) {
        onEraNamed(std::visit(
            [](const auto &Completed) { return Completed.m_Era; }, Result));
        Done(Result);
      });
}

} // namespace fulmarwinch
