#ifndef FULMARWINCH_PROXY_OBJECT_WATCHER_H
#define FULMARWINCH_PROXY_OBJECT_WATCHER_H

#include "core/event_log.h"
#include "core/object_feed.h"
#include "servers/feed/relay_follower.h"

#include "asio/io_context.hpp"
#include "asio/steady_timer.hpp"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Timeouts and delays of the watch on one kind of objects.
struct ObjectWatcherSettings {
  /// Time for which the store holds one watch call open without a change. A
  /// failed connection is detected after this time plus the margin that the
  /// store client adds to the timeout.
  Duration m_WatchTimeout = std::chrono::milliseconds(2300);
  /// Pause after a watch that returned changes. Changes in close succession are
  /// then fetched by one call, and each is delayed by at most this time.
  Duration m_PauseAfterChanges = std::chrono::milliseconds(150);
  /// Initial and maximum backoff after a failed call. The backoff doubles with
  /// each failure and is scaled by a random factor between one half and one.
  Duration m_InitialBackoff = std::chrono::milliseconds(60);
  Duration m_MaxBackoff = std::chrono::milliseconds(1000);
  /// Replaces m_WatchTimeout on a relay, which forwards changes to other nodes.
  Duration m_RelayWatchTimeout = std::chrono::milliseconds(700);
  /// Maximum age of a state received from a relay before the node queries the
  /// store itself. This age exceeds the relay's watch timeout by enough time
  /// for the period of freshness messages and the loss of one.
  Duration m_MaxRelayedAge = std::chrono::milliseconds(1300);
};

/// Changes of one kind that a watch returned, as a relay forwards them.
struct ObjectChangeBatch {
  std::string m_Kind;
  /// The batch contains every change of the kind after revision m_FromRevision,
  /// up to and including revision m_ToRevision.
  std::uint64_t m_FromRevision = 0;
  std::uint64_t m_ToRevision = 0;
  std::vector<ObjectChange> m_Changes;
};

/// Tracks the objects of one kind in the store. It lists them once, then
/// watches for changes, and lists again if the store has discarded changes
/// since the known revision. While another node, the relay, forwards the
/// changes, this node does not query the store.
class ObjectWatcher {
public:
  struct Handlers {
    /// Called with all objects after each listing.
    std::function<void(std::vector<StoredObject>)> m_OnListed;
    std::function<void(const ObjectChange &)> m_OnChange;
    /// Called after a listing or all changes of one batch were delivered.
    std::function<void()> m_OnBatchApplied;
  };

  /// \p Loop, \p Feed and \p Log must outlive the watcher.
  ObjectWatcher(asio::io_context &Loop, ObjectFeed &Feed, EventLog &Log,
                std::string Kind, Handlers Callbacks,
                const ObjectWatcherSettings &Settings = {});

  void start() { list(); }
  /// Changes the pause after a watch that returned changes.
  void setPauseAfterChanges(Duration Pause) {
    m_Settings.m_PauseAfterChanges = Pause;
  }
  /// True once the objects were listed successfully.
  bool hasListed() const { return m_HasListed; }
  /// Time since the known objects were last confirmed to match the store.
  Duration stateAge() const {
    return monotonicNow() - m_RelayFollower.lastCurrentAt();
  }
  /// Store revision up to which all changes are known.
  std::uint64_t revision() const { return m_RelayFollower.revision(); }
  /// Revision of the last change of this kind.
  std::uint64_t lastChangeRevision() const {
    return m_RelayFollower.lastChangeRevision();
  }
  const std::string &kind() const { return m_Kind; }

  /// Sets whether this node receives changes from a relay, and whether it is
  /// the relay of its zone.
  void setRelayRoles(bool FollowsRelay, bool IsRelay);
  /// Sets the function that a relay calls with changes returned by the store.
  void
  setChangePublisher(std::function<void(const ObjectChangeBatch &)> Publish) {
    m_PublishChanges = std::move(Publish);
  }
  /// Applies changes that a relay forwarded, unless earlier changes are
  /// missing.
  void onRelayChanges(const ObjectChangeBatch &Forwarded);
  /// Handles a relay's message that \p Revision was current \p Age ago and that
  /// this kind last changed at revision \p LastChange.
  void onRelayFreshness(std::uint64_t LastChange, std::uint64_t Revision,
                        Duration Age);
  /// Resumes watching the store once the relay's information is too old.
  void tick(MonotonicTime Now);

private:
  void list();
  void watch();
  void onListed(ObjectsListed Result);
  void onWatched(std::uint64_t Since, const ObjectsWatched &Result);
  /// Schedules another list or watch call with exponential backoff.
  void scheduleRetry(bool RetriesList);
  void onStoreAnswered(std::uint64_t Revision, bool HadChanges);
  void applyChanges(const std::vector<ObjectChange> &Changes);

  asio::io_context &m_Loop;
  ObjectFeed &m_Feed;
  EventLog &m_Log;
  std::string m_Kind;
  Handlers m_Callbacks;
  ObjectWatcherSettings m_Settings;
  asio::steady_timer m_Timer;
  std::minstd_rand m_Random;
  std::function<void(const ObjectChangeBatch &)> m_PublishChanges;
  RelayFollower m_RelayFollower;
  bool m_IsRelay = false;
  /// True if no store call is in flight or scheduled, because a relay supplies
  /// the changes.
  bool m_IsIdle = false;
  bool m_HasListed = false;
  bool m_IsStoreUnreachable = false;
  unsigned m_ConsecutiveFailures = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_OBJECT_WATCHER_H
