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
  return {{"who", Record.m_Who},     {"when", Record.m_When},
          {"what", Record.m_What},   {"before", Record.m_Before},
          {"after", Record.m_After}, {"plan", Record.m_Plan}};
}

std::string encodePage(const AuditPage &Page) {
  Json Records = Json::array();
  for (const AuditRecord &Record : Page.m_Records)
    Records.push_back(toJson(Record));
  const Json Object = {{"writer", Page.m_Writer},
                       {"sequence", Page.m_Sequence},
                       {"dropped", Page.m_Dropped},
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
  Decoded.m_Writer = memberOr<std::string>(*Object, "writer", "");
  Decoded.m_Sequence = memberOr<std::uint64_t>(*Object, "sequence", 0);
  Decoded.m_Dropped = memberOr<std::uint64_t>(*Object, "dropped", 0);
  for (const Json &Record : memberOr<Json>(*Object, "records", Json()))
    Decoded.m_Records.push_back({memberOr<std::string>(Record, "who", ""),
                                 memberOr<UnixSeconds>(Record, "when", 0),
                                 memberOr<std::string>(Record, "what", ""),
                                 memberOr<std::string>(Record, "before", ""),
                                 memberOr<std::string>(Record, "after", ""),
                                 memberOr<std::string>(Record, "plan", "")});
  return Decoded;
}

} // namespace fulmarwinch
