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
  std::uint64_t m_Revision = 0;
  Json m_Content;
};

/// Result of ObjectFeed::list().
struct ObjectsListed {
  /// Succeeded or Unavailable.
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  /// Store revision of the listing. A watch that starts from it misses no
  /// change.
  std::uint64_t m_Revision = 0;
  std::vector<StoredObject> m_Objects;
};

/// Changed or deleted object in the result of a watch.
struct ObjectChange {
  StoredObject m_Object;
  bool m_Deleted = false;
};

/// Result of ObjectFeed::watch(). It contains no changes if none occurred
/// before the time limit.
struct ObjectsWatched {
  /// Succeeded, Unavailable, or NotFound if the store has compacted the changes
  /// since the requested revision, so that the caller must list again.
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  /// Store revision up to which the result contains all changes.
  std::uint64_t m_Revision = 0;
  std::vector<ObjectChange> m_Changes;
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
  /// Waits, at most for \p Wait, for changes of \p Kind after revision \p
  /// Since.
  virtual void watch(const std::string &Kind, std::uint64_t Since,
                     Duration Wait,
                     std::function<void(ObjectsWatched)> Done) = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_OBJECT_FEED_H
