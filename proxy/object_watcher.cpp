#include "proxy/object_watcher.h"
#include "core/text.h"

namespace fulmarwinch {

namespace {

std::int64_t inMs(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

} // namespace

ObjectWatcher::ObjectWatcher(asio::io_context &Loop, ObjectFeed &Feed,
                             EventLog &Log, Metrics &Counters, std::string Kind,
                             Handlers Callbacks,
                             const ObjectWatcherSettings &Settings)
    : m_Loop(Loop), m_Feed(Feed), m_Log(Log), m_Counters(Counters),
      m_Kind(std::move(Kind)), m_Callbacks(std::move(Callbacks)),
      m_Settings(Settings), m_Timer(Loop), m_Random(std::random_device()()),
      m_RelayFollower(Settings.m_MaxAgeFromRelay) {}

void ObjectWatcher::countCall(StoreCallReason Reason) {
  m_Counters.increment(concat("store_calls_total{kind=\"", m_Kind,
                              "\",reason=\"",
                              nameOf(StoreCallReasonNames, Reason), "\"}"));
}

void ObjectWatcher::list(StoreCallReason Reason) {
  countCall(Reason);
  m_Feed.list(m_Kind,
              [this](ObjectsListed Result) { onListed(std::move(Result)); });
}

void ObjectWatcher::onListed(ObjectsListed Result) {
  if (Result.m_Outcome != StoreOutcome::Succeeded) {
    scheduleRetry(true);
    return;
  }
  onStoreAnswered(Result.m_Revision, true);
  m_HasListed = true;
  m_Callbacks.m_OnListed(std::move(Result.m_Objects));
  m_Callbacks.m_OnBatchApplied();
  watch();
}

void ObjectWatcher::watch() {
  if (m_RelayFollower.needsNoStoreCall(monotonicNow())) {
    m_IsIdle = true;
    return;
  }
  m_IsIdle = false;
  countCall(m_RelayFollower.storeCallReason());
  m_Feed.watch(m_Kind, m_RelayFollower.revision(),
               forwards() ? m_Settings.m_ForwardingWatchTimeout
                          : m_Settings.m_WatchTimeout,
               [this, Since = m_RelayFollower.revision()](
                   const ObjectsWatched &Result) { onWatched(Since, Result); });
}

void ObjectWatcher::onWatched(std::uint64_t Since,
                              const ObjectsWatched &Result) {
  if (Result.m_Outcome == StoreOutcome::NotFound) {
    m_Log.write(
        "store_history_gone",
        {{"kind", m_Kind}, {"since", static_cast<std::int64_t>(Since)}});
    list(StoreCallReason::HistoryGone);
    return;
  }
  if (Result.m_Outcome != StoreOutcome::Succeeded) {
    scheduleRetry(false);
    return;
  }
  // Another node may have forwarded later changes while the watch call was in
  // flight; the returned ones are then outdated.
  const bool IsNew = !Result.m_Changes.empty() &&
                     Result.m_Revision > m_RelayFollower.revision();
  const std::uint64_t LastChange = m_RelayFollower.lastChangeRevision();
  onStoreAnswered(Result.m_Revision, IsNew);
  if (!IsNew) {
    watch();
    return;
  }
  applyChanges(Result.m_Changes);
  if (forwards() && m_PublishChanges)
    m_PublishChanges({m_Kind, LastChange, Result.m_Revision, Result.m_Changes});
  m_Timer.expires_after(m_Settings.m_PauseAfterChanges);
  m_Timer.async_wait([this](const asio::error_code &Error) {
    if (!Error)
      watch();
  });
}

void ObjectWatcher::applyChanges(const std::vector<ObjectChange> &Changes) {
  for (const ObjectChange &Change : Changes)
    m_Callbacks.m_OnChange(Change);
  m_Callbacks.m_OnBatchApplied();
}

void ObjectWatcher::setRole(FeedRole Role) {
  m_Role = Role;
  m_RelayFollower.setFollowing(Role == FeedRole::Follower ||
                               Role == FeedRole::Relay);
  m_RelayFollower.setMaxStaleness(Role == FeedRole::Relay
                                      ? m_Settings.m_MaxAgeFromSource
                                      : m_Settings.m_MaxAgeFromRelay);
}

void ObjectWatcher::onForwardedChanges(const ObjectChangeBatch &Forwarded) {
  const std::uint64_t LastChange = m_RelayFollower.lastChangeRevision();
  if (!m_HasListed || !m_RelayFollower.onRelayedChanges(
                          Forwarded.m_FromRevision, Forwarded.m_ToRevision))
    return;
  applyChanges(Forwarded.m_Changes);
  if (forwards() && m_PublishChanges)
    m_PublishChanges(
        {m_Kind, LastChange, Forwarded.m_ToRevision, Forwarded.m_Changes});
}

void ObjectWatcher::onForwardedFreshness(std::uint64_t LastChange,
                                         std::uint64_t Revision, Duration Age) {
  if (m_HasListed)
    m_RelayFollower.onRelayConfirmation(LastChange, Revision, Age,
                                        monotonicNow());
}

void ObjectWatcher::tick(MonotonicTime Now) {
  if (m_IsIdle && !m_RelayFollower.needsNoStoreCall(Now))
    watch();
}

void ObjectWatcher::scheduleRetry(bool RetriesList) {
  if (!m_IsStoreUnreachable && m_ConsecutiveFailures > 0) {
    m_IsStoreUnreachable = true;
    m_Log.write("store_lost", {{"kind", m_Kind}, {"age_ms", inMs(stateAge())}});
  }
  constexpr unsigned MaxDoublings = 4;
  const Duration MaxBackoff =
      std::min(m_Settings.m_MaxBackoff,
               m_Settings.m_InitialBackoff *
                   (1U << std::min(MaxDoublings, m_ConsecutiveFailures++)));
  std::uniform_real_distribution<double> Jitter(0.5, 1.0);
  m_Timer.expires_after(
      std::chrono::duration_cast<Duration>(MaxBackoff * Jitter(m_Random)));
  m_Timer.async_wait([this, RetriesList](const asio::error_code &Error) {
    if (Error)
      return;
    if (RetriesList)
      list(m_HasListed ? StoreCallReason::HistoryGone : StoreCallReason::Start);
    else
      watch();
  });
}

void ObjectWatcher::onStoreAnswered(std::uint64_t Revision, bool HadChanges) {
  if (m_IsStoreUnreachable)
    m_Log.write("store_regained",
                {{"kind", m_Kind}, {"age_ms", inMs(stateAge())}});
  m_IsStoreUnreachable = false;
  m_ConsecutiveFailures = 0;
  m_RelayFollower.onStoreResponse(Revision, HadChanges, monotonicNow());
}

} // namespace fulmarwinch
