#ifndef FULMARWINCH_SERVERS_CONFIGURATION_JSON_FIELD_READER_H
#define FULMARWINCH_SERVERS_CONFIGURATION_JSON_FIELD_READER_H

#include "core/json.h"

#include "absl/status/status.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarwinch {

/// Reads the fields of one JSON object and records the first fault as an error
/// with the path of the field, the value found, the values allowed and the
/// remedy. A read that fails returns a default value, so that a parse function
/// checks for an error only once, with finish().
class JsonFieldReader {
public:
  JsonFieldReader(const Json &Object, std::string Path);

  /// Reads a required text of 1 to \p MaxLength bytes.
  std::string text(const char *Key, std::size_t MaxLength = 256);
  /// Reads an optional text of 1 to 256 bytes.
  std::string textOr(const char *Key, const std::string &Default);
  /// Reads a required name: letters, digits, '.', '_' and '-', so that it can
  /// be part of an object key and of a URL path.
  std::string name(const char *Key);
  /// Reads a required integer; returns \p Min on a fault.
  std::int64_t integer(const char *Key, std::int64_t Min, std::int64_t Max);
  /// Reads an optional integer from \p Min to \p Max.
  std::int64_t integerOr(const char *Key, std::int64_t Min, std::int64_t Max,
                         std::int64_t Default);
  /// Reads an optional number from \p Min to \p Max.
  double numberOr(const char *Key, double Min, double Max, double Default);
  /// Reads a required true or false; returns false on a fault.
  bool flag(const char *Key);
  bool flagOr(const char *Key, bool Default);
  /// Reads an optional list of at most \p MaxCount texts that are not empty.
  std::vector<std::string> optionalTexts(const char *Key,
                                         std::size_t MaxCount = 256);
  /// Returns the optional list \p Key, or null if it is absent or has more than
  /// \p MaxCount elements.
  const Json *optionalList(const char *Key, std::size_t MaxCount = 256);

  /// Records a fault of the field \p Key unless a fault was recorded before.
  void fail(std::string_view Key, std::string_view Found,
            std::string_view Allowed, std::string_view Remedy);
  /// Records \p Status unless it is OK or a fault was recorded before.
  void recordFault(const absl::Status &Status);
  /// Returns the path of the field \p Key for error messages.
  std::string pathOf(std::string_view Key) const;

  /// Returns the first fault recorded so far, or OK.
  const absl::Status &firstFault() const { return m_Fault; }
  /// Returns the first fault, or OK. A key of the object that was never read
  /// counts as a fault, because a misspelt optional key would otherwise be
  /// ignored silently.
  absl::Status finish();

private:
  const Json *find(const char *Key, bool Required, std::string_view Allowed);

  const Json &m_Object;
  std::string m_Path;
  std::set<std::string> m_ReadKeys;
  absl::Status m_Fault;
};

/// Returns \p Value as JSON for an error message, shortened to 80 bytes.
std::string jsonForError(const Json &Value);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_JSON_FIELD_READER_H
