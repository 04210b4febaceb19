#ifndef FULMARWINCH_SERVERS_AUDIT_AUDIT_PAGE_H
#define FULMARWINCH_SERVERS_AUDIT_AUDIT_PAGE_H

#include "core/json.h"
#include "core/time.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Audit record of one change, refused request or controller action.
struct AuditRecord {
  std::string m_Actor;
  UnixSeconds m_Time = 0;
  std::string m_Action;
  std::string m_Before;
  std::string m_After;
  /// ID of the plan that the record belongs to; empty if there is none.
  std::string m_PlanId;
};

/// Content of the store object `audit/<day>/<writer>/<page>`: audit records of
/// one day.
struct AuditPage {
  std::string m_Writer;
  /// Sequence number of the write that stored this page, among all writes of
  /// m_Writer.
  std::uint64_t m_WriteSequence = 0;
  /// Number of records that were dropped between the previous page and this one
  /// because the buffer was full.
  std::uint64_t m_DroppedRecords = 0;
  std::vector<AuditRecord> m_Records;
};

/// Returns the UTC date of \p Time as YYYY-MM-DD.
std::string auditDay(UnixSeconds Time);
/// Returns the store key of an audit page. The page number is zero-padded, so
/// that keys sort in page order.
std::string auditPageKey(const std::string &Day, const std::string &Writer,
                         std::uint64_t PageNumber);
Json toJson(const AuditRecord &Record);
/// Returns the JSON text to store for \p Page. Invalid UTF-8 is replaced.
std::string encodePage(const AuditPage &Page);
/// Returns the stored page, or an error if \p Text is not JSON. Missing fields
/// get default values.
absl::StatusOr<AuditPage> decodePage(const std::string &Text);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_AUDIT_AUDIT_PAGE_H
