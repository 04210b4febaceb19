#ifndef FULMARWINCH_CORE_OBJECT_FEED_H
#define FULMARWINCH_CORE_OBJECT_FEED_H

#include "core/json.h"
#include "core/store_messages.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Object of the platform's store with its content.
struct StoredObject {
  std::string m_Name;
  /// Position of its last change.
  StorePosition m_Position;
  Json m_Content;
};

/// Result of ObjectFeed::list().
struct ObjectsListed {
  /// Succeeded or Unavailable.
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  /// Store position of the listing. A watch that starts from it misses no
  /// change.
  StorePosition m_Position;
  std::vector<StoredObject> m_Objects;
  /// Era that the store named in its answer; 0 if there is no answer or it
  /// names none.
  StoreEra m_Era = 0;
};

/// Whether a listing shows the latest state of the objects. A store that has
/// returned from a copy shows states as old as the copy, and lacks objects,
/// until their writers have written them again.
enum class ListingTrust { Latest, MayBeOutdated };

/// Changed or deleted object in the result of a watch.
struct ObjectChange {
  StoredObject m_Object;
  bool m_Deleted = false;
};

/// Result of ObjectFeed::watch(). It contains no changes if none occurred
/// before the time limit.
struct ObjectsWatched {
  /// Succeeded, Unavailable, or NotFound if the store has compacted the changes
  /// since the requested position, so that the caller must list again.
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  /// Store position up to which the result contains all changes.
  StorePosition m_Position;
  std::vector<ObjectChange> m_Changes;
  /// Era that the store named in its answer; 0 if there is no answer or it
  /// names none.
  StoreEra m_Era = 0;
};

/// Lists and watches the objects of one kind with their content. Calls return
/// without waiting; each callback is called exactly once, after the call
/// returned.
class ObjectFeed {
public:
  virtual ~ObjectFeed() = default;
  /// Reads all objects of \p Kind.
  virtual void list(const std::string &Kind,
                    std::function<void(ObjectsListed)> Done) = 0;
  /// Waits, at most for \p Wait, for changes of \p Kind after \p Since.
  virtual void watch(const std::string &Kind, StorePosition Since,
                     Duration Wait,
                     std::function<void(ObjectsWatched)> Done) = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_OBJECT_FEED_H
