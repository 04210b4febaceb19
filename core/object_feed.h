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

/// An object of the platform's store with its content.
struct StoredObject {
  std::string m_Name;
  std::uint64_t m_Revision = 0;
  Json m_Content;
};

/// Answer to ObjectFeed::list().
struct ObjectsListed {
  /// Applied or Unavailable.
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  /// A watch that starts from this revision misses no change.
  std::uint64_t m_Revision = 0;
  std::vector<StoredObject> m_Objects;
};

/// A change that a watch returned.
struct ObjectChange {
  StoredObject m_Object;
  bool m_Deleted = false;
};

/// Answer to ObjectFeed::watch(). It has no changes if the time passed.
struct ObjectsWatched {
  /// Applied, Unavailable, or NotFound if the store no longer retains the
  /// changes, so that the caller has to list again.
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  std::uint64_t m_Revision = 0;
  std::vector<ObjectChange> m_Changes;
};

/// Reads the objects of one kind with their content and follows their changes.
/// Calls return without waiting; each callback is called once, later.
class ObjectFeed {
public:
  virtual ~ObjectFeed() = default;
  virtual void list(const std::string &Kind,
                    std::function<void(ObjectsListed)> Done) = 0;
  virtual void watch(const std::string &Kind, std::uint64_t Since,
                     Duration Wait,
                     std::function<void(ObjectsWatched)> Done) = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_OBJECT_FEED_H
