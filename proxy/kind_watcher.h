#ifndef FULMARWINCH_PROXY_KIND_WATCHER_H
#define FULMARWINCH_PROXY_KIND_WATCHER_H

#include "core/event_log.h"
#include "core/object_feed.h"

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
  Duration m_LastRetry = std::chrono::milliseconds(500);
};

/// Follows the objects of one kind: lists them once, then watches, and lists
/// again when the store has dropped the history in between.
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
  /// Time since the store last answered.
  Duration age() const { return monotonicNow() - m_LastAnswer; }
  std::uint64_t revision() const { return m_Revision; }

private:
  void list();
  void watch();
  void onListed(ObjectsListed Result);
  void onWatched(const ObjectsWatched &Result);
  void retry(bool Listing);
  void answered();

  asio::io_context &m_Loop;
  ObjectFeed &m_Feed;
  EventLog &m_Log;
  std::string m_Kind;
  Handlers m_Callbacks;
  KindWatcherSettings m_Settings;
  asio::steady_timer m_Timer;
  std::minstd_rand m_Random;
  std::uint64_t m_Revision = 0;
  bool m_Known = false;
  bool m_Lost = false;
  unsigned m_Failures = 0;
  MonotonicTime m_LastAnswer = monotonicNow();
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_KIND_WATCHER_H
