#ifndef FULMARWINCH_PROXY_KIND_WATCHER_H
#define FULMARWINCH_PROXY_KIND_WATCHER_H

#include "core/event_log.h"
#include "core/object_feed.h"
#include "servers/feed/follow_state.h"

#include "asio/io_context.hpp"
#include "asio/steady_timer.hpp"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Times of one watched kind.
struct KindWatcherSettings {
  /// Longest time that one watch waits. A connection that went silent is
  /// noticed after this time and the client's margin.
  Duration m_Wait = std::chrono::milliseconds(2300);
  /// Pause after a watch that returned changes. Changes that follow each
  /// other closely then cost one call; it delays each by so much at most.
  Duration m_Pause = std::chrono::milliseconds(150);
  /// First and longest pause after a call that failed; doubled each time and
  /// drawn at random between half and the whole.
  Duration m_FirstRetry = std::chrono::milliseconds(60);
  Duration m_LastRetry = std::chrono::milliseconds(1000);
  /// Longest wait of a watch of a node that passes changes on, and greatest
  /// age of a belief that came through such a node. Their difference covers
  /// the pause between two vouches and a lost one.
  Duration m_RelayWait = std::chrono::milliseconds(700);
  Duration m_FollowLimit = std::chrono::milliseconds(1300);
};

/// Changes of one kind that a watch returned, for other nodes.
struct KindChanges {
  std::string m_Kind;
  /// The changes are all of the kind's after the first revision up to the
  /// second one.
  std::uint64_t m_From = 0;
  std::uint64_t m_To = 0;
  std::vector<ObjectChange> m_Changes;
};

/// Follows the objects of one kind: lists them once, then watches, and lists
/// again when the store has dropped the history in between. While another node
/// passes the changes on, the store is not asked.
class KindWatcher {
public:
  struct Handlers {
    std::function<void(std::vector<StoredObject>)> m_OnListed;
    std::function<void(const ObjectChange &)> m_OnChange;
    /// Called after the changes of one answer were handed over.
    std::function<void()> m_OnSettled;
  };

  /// \p Loop, \p Feed and \p Log must outlive the watcher.
  KindWatcher(asio::io_context &Loop, ObjectFeed &Feed, EventLog &Log,
              std::string Kind, Handlers Callbacks,
              const KindWatcherSettings &Settings = {});

  void start() { list(); }
  /// Changes the pause after a watch that returned changes.
  void setPause(Duration Pause) { m_Settings.m_Pause = Pause; }
  bool isKnown() const { return m_Known; }
  /// Age of what is known of the store's state.
  Duration age() const { return monotonicNow() - m_State.knownUntil(); }
  std::uint64_t revision() const { return m_State.revision(); }
  std::uint64_t lastChange() const { return m_State.lastChange(); }
  const std::string &kind() const { return m_Kind; }

  /// Tells whether another node relays, and whether this one does for others.
  void setRoles(bool Follows, bool Relays);
  /// Sets what is called with changes that the store itself returned.
  void setPublisher(std::function<void(const KindChanges &)> Publish) {
    m_Publish = std::move(Publish);
  }
  /// Takes what a relay passed on.
  void onPeerChanges(const KindChanges &Passed);
  void onPeerVouch(std::uint64_t LastChange, std::uint64_t Revision,
                   Duration Age);
  /// Asks the store again once the relay can no longer be relied on.
  void tick(MonotonicTime Now);

private:
  void list();
  void watch();
  void onListed(ObjectsListed Result);
  void onWatched(std::uint64_t Since, const ObjectsWatched &Result);
  void retry(bool Listing);
  void answered(std::uint64_t Revision, bool HadChanges);
  void apply(const std::vector<ObjectChange> &Changes);

  asio::io_context &m_Loop;
  ObjectFeed &m_Feed;
  EventLog &m_Log;
  std::string m_Kind;
  Handlers m_Callbacks;
  KindWatcherSettings m_Settings;
  asio::steady_timer m_Timer;
  std::minstd_rand m_Random;
  std::function<void(const KindChanges &)> m_Publish;
  FollowState m_State;
  bool m_Relays = false;
  /// No call is under way or arranged.
  bool m_Idle = false;
  bool m_Known = false;
  bool m_Lost = false;
  unsigned m_Failures = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_KIND_WATCHER_H
