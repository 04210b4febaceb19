#ifndef FULMARWINCH_SERVERS_AUDIT_AUDIT_PAGE_H
#define FULMARWINCH_SERVERS_AUDIT_AUDIT_PAGE_H

#include "core/json.h"
#include "core/time.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarwinch {

/// One change, refusal or controller action.
struct AuditRecord {
  std::string m_Who;
  UnixSeconds m_When = 0;
  std::string m_What;
  std::string m_Before;
  std::string m_After;
  std::string m_Plan;
};

/// Content of `audit/<day>/<writer>/<page>`.
struct AuditPage {
  std::string m_Writer;
  /// Number of the write among the writes of m_Writer.
  std::uint64_t m_Sequence = 0;
  /// Records lost before this page because the buffer was full.
  std::uint64_t m_Dropped = 0;
  std::vector<AuditRecord> m_Records;
};

/// Returns the day of \p Time as YYYY-MM-DD in UTC.
std::string auditDay(UnixSeconds Time);
/// Page numbers are padded so that a listing is in order.
std::string auditPageKey(const std::string &Day, const std::string &Writer,
                         std::uint64_t Page);
Json toJson(const AuditRecord &Record);
std::string encodePage(const AuditPage &Page);
absl::StatusOr<AuditPage> decodePage(const std::string &Text);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_AUDIT_AUDIT_PAGE_H
