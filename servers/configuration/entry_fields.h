#ifndef FULMARWINCH_SERVERS_CONFIGURATION_ENTRY_FIELDS_H
#define FULMARWINCH_SERVERS_CONFIGURATION_ENTRY_FIELDS_H

#include "core/json.h"

#include "absl/status/status.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Reads the fields of one JSON object. The first fault is kept and names the
/// path, what was found, what is allowed and the remedy; later reads return
/// default values, so that a parse function needs one check at its end.
class EntryFields {
public:
  EntryFields(const Json &Object, std::string Path);

  /// Reads a required text of 1 to \p MaxLength bytes.
  std::string text(const char *Key, std::size_t MaxLength = 256);
  /// Reads an optional text of 1 to 256 bytes.
  std::string textOr(const char *Key, const std::string &Default);
  /// Reads a required name: letters, digits, '.', '_' and '-', so that it can
  /// be part of an object key and of a URL path.
  std::string name(const char *Key);
  std::int64_t integer(const char *Key, std::int64_t Min, std::int64_t Max);
  std::int64_t integerOr(const char *Key, std::int64_t Min, std::int64_t Max,
                         std::int64_t Default);
  double numberOr(const char *Key, double Min, double Max, double Default);
  bool flag(const char *Key);
  bool flagOr(const char *Key, bool Default);
  /// Reads an optional list of texts, at most \p MaxCount.
  std::vector<std::string> textsOr(const char *Key, std::size_t MaxCount = 256);
  /// Returns the optional list \p Key, or null.
  const Json *listOr(const char *Key, std::size_t MaxCount = 256);

  /// Records a fault of the field \p Key unless there is an earlier one.
  void fail(std::string_view Key, std::string_view Found,
            std::string_view Allowed, std::string_view Remedy);
  void keep(const absl::Status &Status);
  std::string pathOf(std::string_view Key) const;

  /// Returns the first fault so far.
  const absl::Status &fault() const { return m_Fault; }
  /// Returns the first fault. A key that was never read is a fault too, since
  /// a misspelt optional key would otherwise silently have no effect.
  absl::Status finish();

private:
  const Json *find(const char *Key, bool Required, std::string_view Allowed);

  const Json &m_Object;
  std::string m_Path;
  std::set<std::string> m_Read;
  absl::Status m_Fault;
};

/// Returns \p Value as shown in an error message, shortened to 80 bytes.
std::string shownInError(const Json &Value);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_ENTRY_FIELDS_H
