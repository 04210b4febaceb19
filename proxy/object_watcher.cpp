#include "proxy/object_watcher.h"
#include "core/text.h"

#include <algorithm>

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
  m_IsListing = true;
  m_Feed.list(m_Kind, [this, SentAt = monotonicNow(),
                       Generation = m_Generation](ObjectsListed Result) {
    if (Generation == m_Generation)
      onListed(SentAt, std::move(Result));
  });
}

void ObjectWatcher::onListed(MonotonicTime SentAt, ObjectsListed Result) {
  if (Result.m_Outcome != StoreOutcome::Succeeded) {
    scheduleRetry(true, SentAt);
    return;
  }
  onStoreAnswered(Result.m_Position, true, SentAt);
  m_HasListed = true;
  m_IsListing = false;
  m_Callbacks.m_OnListed(std::move(Result.m_Objects));
  m_Callbacks.m_OnBatchApplied();
  watch();
}

void ObjectWatcher::watch() {
  const MonotonicTime Now = monotonicNow();
  if (m_RelayFollower.needsNoStoreCall(Now)) {
    m_IsIdle = true;
    return;
  }
  m_IsIdle = false;
  const StoreCallReason Reason = m_RelayFollower.storeCallReason();
  if (Reason == StoreCallReason::Restored) {
    // The position to watch from is of an earlier era.
    list(Reason);
    return;
  }
  countCall(Reason);
  const WatchCall Call{m_RelayFollower.position(), Now, nextWatchTimeout(Now)};
  m_Feed.watch(
      m_Kind, Call.m_Since, Call.m_Wait,
      [this, Call, Generation = m_Generation](const ObjectsWatched &Result) {
        if (Generation == m_Generation)
          onWatched(Call, Result);
      });
}

void ObjectWatcher::callAfter(Duration Delay, std::function<void()> Next) {
  m_Timer.expires_after(Delay);
  m_Timer.async_wait([this, Next = std::move(Next), Generation = m_Generation](
                         const asio::error_code &Error) {
    if (!Error && Generation == m_Generation)
      Next();
  });
}

void ObjectWatcher::onStoreRestored() {
  if (m_Settings.m_RestorationTime > Duration::zero())
    m_RestoredAt = monotonicNow();
  listAnew();
}

void ObjectWatcher::listAnew() {
  ++m_Generation;
  m_Timer.cancel();
  m_IsIdle = false;
  list(StoreCallReason::Restored);
}

Duration ObjectWatcher::nextWatchTimeout(MonotonicTime Now) const {
  if (!forwards())
    return m_Settings.m_WatchTimeout;
  // An answer with changes only shows that the state was current when the call
  // was sent. The next call then waits for less time, so that the receivers of
  // this node's changes need not ask the store.
  const Duration Age = Now - m_RelayFollower.lastCurrentAt();
  return std::clamp(m_Settings.m_ForwardingWatchTimeout - Age,
                    m_Settings.m_MinWatchTimeout,
                    m_Settings.m_ForwardingWatchTimeout);
}

void ObjectWatcher::onWatched(const WatchCall &Call,
                              const ObjectsWatched &Result) {
  if (Result.m_Outcome == StoreOutcome::NotFound) {
    m_Log.write("store_history_gone",
                {{"kind", m_Kind},
                 {"since", static_cast<std::int64_t>(Call.m_Since.m_Revision)},
                 {"era", static_cast<std::int64_t>(Result.m_Era)}});
    list(StoreCallReason::HistoryGone);
    return;
  }
  if (Result.m_Outcome != StoreOutcome::Succeeded) {
    scheduleRetry(false, Call.m_SentAt);
    return;
  }
  // Another node may have forwarded later changes while the watch call was in
  // flight; the returned ones are then outdated.
  const bool IsNew = !Result.m_Changes.empty() &&
                     Result.m_Position > m_RelayFollower.position();
  const StorePosition LastChange = m_RelayFollower.lastChange();
  // The answer may have been on its way for long, so its arrival does not show
  // when the state was current. Without changes, the store held the call open
  // for the whole wait.
  const MonotonicTime CurrentAt =
      Result.m_Changes.empty()
          ? std::min(monotonicNow(), Call.m_SentAt + Call.m_Wait)
          : Call.m_SentAt;
  onStoreAnswered(Result.m_Position, IsNew, CurrentAt);
  if (!IsNew) {
    watch();
    return;
  }
  applyChanges(Result.m_Changes);
  if (forwards() && m_PublishChanges)
    m_PublishChanges({m_Kind, LastChange, Result.m_Position, Result.m_Changes});
  callAfter(m_Settings.m_PauseAfterChanges, [this] { watch(); });
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
  const StorePosition LastChange = m_RelayFollower.lastChange();
  if (m_IsListing ||
      !m_RelayFollower.onRelayedChanges(Forwarded.m_From, Forwarded.m_To))
    return;
  applyChanges(Forwarded.m_Changes);
  if (forwards() && m_PublishChanges)
    m_PublishChanges({m_Kind, LastChange, Forwarded.m_To, Forwarded.m_Changes});
}

void ObjectWatcher::onForwardedFreshness(StorePosition LastChange,
                                         StorePosition Position, Duration Age) {
  if (!m_IsListing)
    m_RelayFollower.onRelayConfirmation(LastChange, Position, Age,
                                        monotonicNow());
}

void ObjectWatcher::tick(MonotonicTime Now) {
  if (m_RestoredAt && Now - *m_RestoredAt >= m_Settings.m_RestorationTime) {
    m_RestoredAt.reset();
    listAnew();
    return;
  }
  if (m_IsIdle && !m_RelayFollower.needsNoStoreCall(Now))
    watch();
}

void ObjectWatcher::scheduleRetry(bool RetriesList, MonotonicTime SentAt) {
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
  const auto Backoff =
      std::chrono::duration_cast<Duration>(MaxBackoff * Jitter(m_Random));
  // A call that timed out has already kept the calls apart.
  callAfter(std::max(Duration::zero(), SentAt + Backoff - monotonicNow()),
            [this, RetriesList] {
              if (RetriesList)
                list(m_HasListed ? StoreCallReason::HistoryGone
                                 : StoreCallReason::Start);
              else
                watch();
            });
}

void ObjectWatcher::onStoreAnswered(StorePosition Position, bool HadChanges,
                                    MonotonicTime CurrentAt) {
  if (m_IsStoreUnreachable)
    m_Log.write("store_regained",
                {{"kind", m_Kind}, {"age_ms", inMs(stateAge())}});
  m_IsStoreUnreachable = false;
  m_ConsecutiveFailures = 0;
  m_RelayFollower.onStoreResponse(Position, HadChanges, CurrentAt);
}

} // namespace fulmarwinch
