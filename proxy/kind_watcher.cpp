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
      m_Random(std::random_device()()), m_State(Settings.m_FollowLimit) {}

void KindWatcher::list() {
  m_Feed.list(m_Kind,
              [this](ObjectsListed Result) { onListed(std::move(Result)); });
}

void KindWatcher::onListed(ObjectsListed Result) {
  if (Result.m_Outcome != StoreOutcome::Applied) {
    retry(true);
    return;
  }
  answered(Result.m_Revision, true);
  m_Known = true;
  m_Callbacks.m_OnListed(std::move(Result.m_Objects));
  m_Callbacks.m_OnSettled();
  watch();
}

void KindWatcher::watch() {
  if (m_State.mayIdle(monotonicNow())) {
    m_Idle = true;
    return;
  }
  m_Idle = false;
  m_Feed.watch(m_Kind, m_State.revision(),
               m_Relays ? m_Settings.m_RelayWait : m_Settings.m_Wait,
               [this, Since = m_State.revision()](
                   const ObjectsWatched &Result) { onWatched(Since, Result); });
}

void KindWatcher::onWatched(std::uint64_t Since, const ObjectsWatched &Result) {
  if (Result.m_Outcome == StoreOutcome::NotFound) {
    m_Log.write(
        "store_history_gone",
        {{"kind", m_Kind}, {"since", static_cast<std::int64_t>(Since)}});
    list();
    return;
  }
  if (Result.m_Outcome != StoreOutcome::Applied) {
    retry(false);
    return;
  }
  // A relay may have passed on more than this in the meantime.
  const bool IsNew =
      !Result.m_Changes.empty() && Result.m_Revision > m_State.revision();
  const std::uint64_t LastChange = m_State.lastChange();
  answered(Result.m_Revision, IsNew);
  if (!IsNew) {
    watch();
    return;
  }
  apply(Result.m_Changes);
  if (m_Relays && m_Publish)
    m_Publish({m_Kind, LastChange, Result.m_Revision, Result.m_Changes});
  m_Timer.expires_after(m_Settings.m_Pause);
  m_Timer.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      watch();
  });
}

void KindWatcher::apply(const std::vector<ObjectChange> &Changes) {
  for (const ObjectChange &Change : Changes)
    m_Callbacks.m_OnChange(Change);
  m_Callbacks.m_OnSettled();
}

void KindWatcher::setRoles(bool Follows, bool Relays) {
  m_State.setFollowing(Follows);
  m_Relays = Relays;
}

void KindWatcher::onPeerChanges(const KindChanges &Passed) {
  if (m_Known && m_State.onChanges(Passed.m_From, Passed.m_To))
    apply(Passed.m_Changes);
}

void KindWatcher::onPeerVouch(std::uint64_t LastChange, std::uint64_t Revision,
                              Duration Age) {
  if (m_Known)
    m_State.onVouch(LastChange, Revision, Age, monotonicNow());
}

void KindWatcher::tick(MonotonicTime Now) {
  if (m_Idle && !m_State.mayIdle(Now))
    watch();
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

void KindWatcher::answered(std::uint64_t Revision, bool HadChanges) {
  if (m_Lost)
    m_Log.write("store_regained", {{"kind", m_Kind}, {"age_ms", inMs(age())}});
  m_Lost = false;
  m_Failures = 0;
  m_State.onStoreAnswer(Revision, HadChanges, monotonicNow());
}

} // namespace fulmarwinch
