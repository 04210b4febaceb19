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

/// Objects of the platform stand-in with their versions and the latest changes.
/// The version of an object is the store-wide revision of its last change, so
/// the versions of one key only increase, even if the object is deleted and
/// created again.
class ObjectTable {
public:
  struct Object {
    std::uint64_t m_Version = 0;
    Json m_Value;
  };

  struct WriteResult {
    StoreOutcome m_Outcome = StoreOutcome::Succeeded;
    std::uint64_t m_Version = 0;
  };

  /// Retains the last \p HistoryLimit changes for watches.
  explicit ObjectTable(std::size_t HistoryLimit);

  /// Returns the object, or null if it does not exist.
  const Object *find(const std::string &Key) const;
  /// Writes the object if its version is \p Expected, 0 for an object that does
  /// not exist; otherwise returns Conflict and the current version.
  WriteResult put(const std::string &Key, std::uint64_t Expected, Json Value);
  /// Deletes the object if its version is \p Expected; otherwise returns
  /// Conflict and the current version, or NotFound.
  WriteResult remove(const std::string &Key, std::uint64_t Expected);

  /// Returns at most \p Limit keys with \p Prefix that sort after \p After,
  /// with their versions, the revision, and whether there are more.
  Json list(const std::string &Prefix, const std::string &After,
            std::size_t Limit) const;

  /// Returns the changes to keys with \p Prefix after revision \p Since, or
  /// nothing if the history no longer contains all of them or if \p Since is
  /// later than the current revision.
  std::optional<Json> changesSince(const std::string &Prefix,
                                   std::uint64_t Since) const;

  std::uint64_t revision() const { return m_Revision; }
  /// Number of times that the table has returned from a copy.
  StoreEra era() const { return m_Era; }

  /// Returns to the state of \p Copy, an earlier state of this table, and
  /// begins a new era. Revisions after that of the copy are given out again.
  void returnFrom(const ObjectTable &Copy);

private:
  struct Change {
    std::uint64_t m_Revision;
    std::string m_Key;
    std::uint64_t m_Version;
  };

  std::uint64_t versionOf(const std::string &Key) const;
  void recordChange(const std::string &Key, std::uint64_t Version);

  std::size_t m_HistoryLimit;
  std::uint64_t m_Revision = 0;
  StoreEra m_Era = 0;
  std::map<std::string, Object> m_Objects;
  std::deque<Change> m_History;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_OBJECT_TABLE_H
