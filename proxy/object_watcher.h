#ifndef FULMARWINCH_PROXY_OBJECT_WATCHER_H
#define FULMARWINCH_PROXY_OBJECT_WATCHER_H

#include "core/event_log.h"
#include "core/metrics.h"
#include "core/object_feed.h"
#include "servers/feed/change_batch.h"
#include "servers/feed/relay_follower.h"
#include "servers/feed/relay_topology.h"

#include "asio/io_context.hpp"
#include "asio/steady_timer.hpp"

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Timeouts and delays of the watch on one kind of objects.
struct ObjectWatcherSettings {
  /// Time for which the store holds one watch call open without a change. A
  /// call that the store does not answer is given up after this time plus the
  /// 700 ms that the store client adds. Both and the next call must end within
  /// the three seconds after which a node has to know what a store shows that
  /// answers again.
  Duration m_WatchTimeout = std::chrono::milliseconds(2000);
  /// Pause after a watch that returned changes. Changes in close succession are
  /// then fetched by one call, and each is delayed by at most this time.
  Duration m_PauseAfterChanges = std::chrono::milliseconds(150);
  /// Initial and maximum backoff after a failed call. The backoff doubles with
  /// each failure, is scaled by a random factor between one half and one, and
  /// counts from the time at which the call was sent.
  Duration m_InitialBackoff = std::chrono::milliseconds(60);
  Duration m_MaxBackoff = std::chrono::milliseconds(1000);
  /// Replaces m_WatchTimeout on nodes that forward changes to others.
  Duration m_ForwardingWatchTimeout = std::chrono::milliseconds(500);
  /// Minimum time for which the store holds a watch call open.
  Duration m_MinWatchTimeout = std::chrono::milliseconds(100);
  /// Maximum age of a state received from the source before a relay queries the
  /// store itself. It exceeds the source's watch timeout by the period of
  /// freshness messages and the loss of one.
  Duration m_MaxAgeFromSource = std::chrono::milliseconds(900);
  /// Maximum age of a state received from a relay before a follower queries the
  /// store itself. It exceeds the maximum age on the relay by the same time.
  Duration m_MaxAgeFromRelay = std::chrono::milliseconds(1300);
  /// Time after a restoration of the store after which its objects have been
  /// written again by their writers or removed. They are then listed once more.
  /// Zero if each listing counts as the latest state.
  Duration m_RestorationTime{0};
};

/// Tracks the objects of one kind in the store. It lists them once, then
/// watches for changes, and lists again if the store has discarded changes
/// since the known revision. While another node forwards the changes, this node
/// does not query the store.
class ObjectWatcher {
public:
  struct Handlers {
    /// Called with all objects after each listing.
    std::function<void(std::vector<StoredObject>)> m_OnListed;
    std::function<void(const ObjectChange &)> m_OnChange;
    /// Called after a listing or all changes of one batch were delivered.
    std::function<void()> m_OnBatchApplied;
  };

  /// \p Loop, \p Feed, \p Log and \p Counters must outlive the watcher.
  ObjectWatcher(asio::io_context &Loop, ObjectFeed &Feed, EventLog &Log,
                Metrics &Counters, std::string Kind, Handlers Callbacks,
                const ObjectWatcherSettings &Settings = {});

  void start() { list(StoreCallReason::Start); }
  /// Changes the pause after a watch that returned changes.
  void setPauseAfterChanges(Duration Pause) {
    m_Settings.m_PauseAfterChanges = Pause;
  }
  /// Whether the store shows the latest state of the objects.
  ListingTrust trust() const {
    return m_RestoredAt ? ListingTrust::MayBeOutdated : ListingTrust::Latest;
  }
  /// True once the objects were listed successfully.
  bool hasListed() const { return m_HasListed; }
  /// Time since the known objects were last confirmed to match the store.
  Duration stateAge() const {
    return monotonicNow() - m_RelayFollower.lastCurrentAt();
  }
  /// Store position up to which all changes are known.
  StorePosition position() const { return m_RelayFollower.position(); }
  /// Position of the last change of this kind.
  StorePosition lastChange() const { return m_RelayFollower.lastChange(); }
  const std::string &kind() const { return m_Kind; }

  /// Must be called when the store has returned from a copy. Lists the objects
  /// anew; answers to earlier calls are ignored.
  void onStoreRestored();

  /// Sets the part of this node in the distribution of changes.
  void setRole(FeedRole Role);
  /// Sets the function that is called with each batch of changes that this node
  /// has to forward to others.
  void
  setChangePublisher(std::function<void(const ObjectChangeBatch &)> Publish) {
    m_PublishChanges = std::move(Publish);
  }
  /// Applies changes that another node forwarded, unless earlier changes are
  /// missing or a listing is in flight, which would undo them.
  void onForwardedChanges(const ObjectChangeBatch &Forwarded);
  /// Handles a message of another node that \p Position was current \p Age ago
  /// and that this kind last changed at \p LastChange.
  void onForwardedFreshness(StorePosition LastChange, StorePosition Position,
                            Duration Age);
  /// Resumes watching the store once the forwarded information is too old, and
  /// lists the objects once more at the end of a restoration.
  void tick(MonotonicTime Now);

private:
  struct WatchCall {
    StorePosition m_Since;
    MonotonicTime m_SentAt{};
    Duration m_Wait{0};
  };

  void countCall(StoreCallReason Reason);
  bool forwards() const {
    return m_Role == FeedRole::Relay || m_Role == FeedRole::Source;
  }
  void list(StoreCallReason Reason);
  /// Lists the objects now; answers to earlier calls are ignored.
  void listAnew();
  void watch();
  /// Calls \p Next after \p Delay, unless the calls begin anew before that.
  void callAfter(Duration Delay, std::function<void()> Next);
  void onListed(MonotonicTime SentAt, ObjectsListed Result);
  void onWatched(const WatchCall &Call, const ObjectsWatched &Result);
  /// Schedules another list or watch call with exponential backoff after one
  /// that was sent at \p SentAt.
  void scheduleRetry(bool RetriesList, MonotonicTime SentAt);
  /// Time for which the store may hold the next watch call open.
  Duration nextWatchTimeout(MonotonicTime Now) const;
  /// \p CurrentAt is a time at which the store was at \p Position or later.
  void onStoreAnswered(StorePosition Position, bool HadChanges,
                       MonotonicTime CurrentAt);
  void applyChanges(const std::vector<ObjectChange> &Changes);

  asio::io_context &m_Loop;
  ObjectFeed &m_Feed;
  EventLog &m_Log;
  Metrics &m_Counters;
  std::string m_Kind;
  Handlers m_Callbacks;
  ObjectWatcherSettings m_Settings;
  asio::steady_timer m_Timer;
  std::minstd_rand m_Random;
  std::function<void(const ObjectChangeBatch &)> m_PublishChanges;
  RelayFollower m_RelayFollower;
  FeedRole m_Role = FeedRole::Independent;
  /// True if no store call is in flight or scheduled, because another node
  /// supplies the changes.
  bool m_IsIdle = false;
  bool m_HasListed = false;
  /// True until the first listing has succeeded, and while a later one is in
  /// flight or waits to be repeated.
  bool m_IsListing = true;
  bool m_IsStoreUnreachable = false;
  /// Time at which the last restoration was noticed; unset once the objects
  /// were written again.
  std::optional<MonotonicTime> m_RestoredAt;
  /// Number of times that the calls began anew. Answers to calls of before are
  /// ignored.
  std::uint64_t m_Generation = 0;
  unsigned m_ConsecutiveFailures = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_OBJECT_WATCHER_H
