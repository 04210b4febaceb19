#include "servers/audit/audit_page.h"

#include "core/error.h"

#include "fmt/chrono.h"
#include "fmt/format.h"

namespace fulmarwinch {

std::string auditDay(UnixSeconds Time) {
  return fmt::format("{:%Y-%m-%d}", fmt::gmtime(static_cast<time_t>(Time)));
}

std::string auditPageKey(const std::string &Day, const std::string &Writer,
                         std::uint64_t PageNumber) {
  return fmt::format("audit/{}/{}/{:06}", Day, Writer, PageNumber);
}

Json toJson(const AuditRecord &Record) {
  return {{"who", Record.m_Actor},   {"when", Record.m_Time},
          {"what", Record.m_Action}, {"before", Record.m_Before},
          {"after", Record.m_After}, {"plan", Record.m_PlanId}};
}

std::string encodePage(const AuditPage &Page) {
  Json Records = Json::array();
  for (const AuditRecord &Record : Page.m_Records)
    Records.push_back(toJson(Record));
  const Json Object = {{"writer", Page.m_Writer},
                       {"sequence", Page.m_WriteSequence},
                       {"dropped", Page.m_DroppedRecords},
                       {"records", Records}};
  // A record may contain text from a request that is not valid UTF-8; invalid
  // bytes are replaced.
  return Object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<AuditPage> decodePage(const std::string &Text) {
  const absl::StatusOr<Json> Object = parseJson(Text, "audit page");
  if (!Object.ok())
    return Object.status();
  AuditPage Decoded;
  Decoded.m_Writer = fieldOr<std::string>(*Object, "writer", "");
  Decoded.m_WriteSequence = fieldOr<std::uint64_t>(*Object, "sequence", 0);
  Decoded.m_DroppedRecords = fieldOr<std::uint64_t>(*Object, "dropped", 0);
  for (const Json &Record : fieldOr<Json>(*Object, "records", Json()))
    Decoded.m_Records.push_back({fieldOr<std::string>(Record, "who", ""),
                                 fieldOr<UnixSeconds>(Record, "when", 0),
                                 fieldOr<std::string>(Record, "what", ""),
                                 fieldOr<std::string>(Record, "before", ""),
                                 fieldOr<std::string>(Record, "after", ""),
                                 fieldOr<std::string>(Record, "plan", "")});
  return Decoded;
}

} // namespace fulmarwinch
