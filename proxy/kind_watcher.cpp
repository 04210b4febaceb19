#include "proxy/kind_watcher.h"

namespace fulmarwinch {

namespace {

std::int64_t inMs(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

} // namespace

KindWatcher::KindWatcher(asio::io_context &Loop, ObjectFeed &Feed,
                         EventLog &Log, std::string Kind, Handlers Callbacks,
                         const KindWatcherSettings &Settings)
    : m_Loop(Loop), m_Feed(Feed), m_Log(Log), m_Kind(std::move(Kind)),
      m_Callbacks(std::move(Callbacks)), m_Settings(Settings), m_Timer(Loop),
      m_Random(std::random_device()()) {}

void KindWatcher::list() {
  m_Feed.list(m_Kind,
              [this](ObjectsListed Result) { onListed(std::move(Result)); });
}

void KindWatcher::onListed(ObjectsListed Result) {
  if (Result.m_Outcome != StoreOutcome::Applied) {
    retry(true);
    return;
  }
  answered();
  m_Known = true;
  m_Revision = Result.m_Revision;
  m_Callbacks.m_OnListed(std::move(Result.m_Objects));
  m_Callbacks.m_OnSettled();
  watch();
}

void KindWatcher::watch() {
  m_Feed.watch(m_Kind, m_Revision, m_Settings.m_Wait,
               [this](const ObjectsWatched &Result) { onWatched(Result); });
}

void KindWatcher::onWatched(const ObjectsWatched &Result) {
  if (Result.m_Outcome == StoreOutcome::NotFound) {
    m_Log.write(
        "store_history_gone",
        {{"kind", m_Kind}, {"since", static_cast<std::int64_t>(m_Revision)}});
    list();
    return;
  }
  if (Result.m_Outcome != StoreOutcome::Applied) {
    retry(false);
    return;
  }
  answered();
  m_Revision = std::max(m_Revision, Result.m_Revision);
  for (const ObjectChange &Change : Result.m_Changes)
    m_Callbacks.m_OnChange(Change);
  if (Result.m_Changes.empty()) {
    watch();
    return;
  }
  m_Callbacks.m_OnSettled();
  m_Timer.expires_after(m_Settings.m_Pause);
  m_Timer.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      watch();
  });
}

void KindWatcher::retry(bool Listing) {
  if (!m_Lost && m_Failures > 0) {
    m_Lost = true;
    m_Log.write("store_lost", {{"kind", m_Kind}, {"age_ms", inMs(age())}});
  }
  constexpr unsigned MaxDoublings = 4;
  const Duration Longest = std::min(
      m_Settings.m_LastRetry,
      m_Settings.m_FirstRetry * (1U << std::min(MaxDoublings, m_Failures++)));
  std::uniform_real_distribution<double> Draw(0.5, 1.0);
  m_Timer.expires_after(
      std::chrono::duration_cast<Duration>(Longest * Draw(m_Random)));
  m_Timer.async_wait([this, Listing](const asio::error_code &Error) {
    if (Error)
      return;
    if (Listing)
      list();
    else
      watch();
  });
}

void KindWatcher::answered() {
  if (m_Lost)
    m_Log.write("store_regained", {{"kind", m_Kind}, {"age_ms", inMs(age())}});
  m_Lost = false;
  m_Failures = 0;
  m_LastAnswer = monotonicNow();
}

} // namespace fulmarwinch
