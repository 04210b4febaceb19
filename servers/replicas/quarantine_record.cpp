#include "servers/replicas/quarantine_record.h"

#include <vector>

namespace fulmarwinch {

void mergeInto(QuarantineRecord &Record, const QuarantineRecord &Other) {
  for (const auto &[Server, Head] : Other) {
    const auto [Known, IsNew] = Record.emplace(Server, Head);
    if (!IsNew && !(Known->second == Head))
      Known->second = {};
  }
}

Json toJson(const QuarantineRecord &Record) {
  Json Servers = Json::array();
  std::map<std::string, Json> RowByHead;
  for (const auto &[Server, Head] : Record) {
    Servers.push_back(Server);
    if (Head.m_Endpoint.m_Ip.empty())
      continue;
    Json &Row = RowByHead[Head.m_Id];
    if (Row.is_null())
      Row = {{"id", Head.m_Id},
             {"ip", Head.m_Endpoint.m_Ip},
             {"port", Head.m_Endpoint.m_Port},
             {"started_at_ms", Head.m_StartedAtMs},
             {"members", Json::array()}};
    Row["members"].push_back(Server);
  }
  Json Heads = Json::array();
  for (auto &[Id, Row] : RowByHead)
    Heads.push_back(std::move(Row));
  return {{"servers", std::move(Servers)}, {"heads", std::move(Heads)}};
}

QuarantineRecord parseQuarantineRecord(const Json &Object) {
  QuarantineRecord Record;
  for (const std::string &Server :
       fieldOr(Object, "servers", std::vector<std::string>()))
    Record.emplace(Server, HeadProcess{});
  for (const Json &Row : fieldOr(Object, "heads", Json::array())) {
    const HeadProcess Head{fieldOr(Row, "id", std::string()),
                           {fieldOr(Row, "ip", std::string()),
                            fieldOr(Row, "port", std::uint16_t{0})},
                           fieldOr(Row, "started_at_ms", std::int64_t{0})};
    // Every process counts as a successor of one without a start time.
    if (Head.m_StartedAtMs <= 0)
      continue;
    for (const std::string &Server :
         fieldOr(Row, "members", std::vector<std::string>()))
      Record[Server] = Head;
  }
  return Record;
}

} // namespace fulmarwinch
