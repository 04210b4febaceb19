#ifndef FULMARWINCH_DRIVERS_STANDIN_OBJECT_TABLE_H
#define FULMARWINCH_DRIVERS_STANDIN_OBJECT_TABLE_H

#include "core/json.h"
#include "core/store_messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace fulmarwinch {

/// The objects of the platform stand-in with their revisions. The version of
/// an object is the store-wide revision of its last change, so versions of one
/// key only grow even when the object is deleted and created again.
class ObjectTable {
public:
  struct Object {
    ObjectVersion m_Version = 0;
    Json m_Value;
  };

  struct WriteResult {
    StoreOutcome m_Outcome = StoreOutcome::Applied;
    ObjectVersion m_Version = 0;
  };

  /// Keeps the last \p HistoryLimit changes for watches.
  explicit ObjectTable(std::size_t HistoryLimit);

  const Object *find(const std::string &Key) const;
  WriteResult put(const std::string &Key, ObjectVersion Expected, Json Value);
  WriteResult remove(const std::string &Key, ObjectVersion Expected);

  /// Returns the keys and versions below \p Prefix that follow \p After.
  Json list(const std::string &Prefix, const std::string &After,
            std::size_t Limit) const;

  /// Returns the changes below \p Prefix after revision \p Since, or nothing
  /// if some of them may no longer be retained.
  std::optional<Json> changesSince(const std::string &Prefix,
                                   std::uint64_t Since) const;

  std::uint64_t revision() const { return m_Revision; }

private:
  struct Change {
    std::uint64_t m_Revision;
    std::string m_Key;
    ObjectVersion m_Version;
  };

  ObjectVersion versionOf(const std::string &Key) const;
  void record(const std::string &Key, ObjectVersion Version);

  std::size_t m_HistoryLimit;
  std::uint64_t m_Revision = 0;
  std::map<std::string, Object> m_Objects;
  std::deque<Change> m_History;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_OBJECT_TABLE_H
