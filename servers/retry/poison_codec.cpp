#include "servers/retry/poison_codec.h"

#include <algorithm>
#include <tuple>

namespace fulmarwinch {

Json toJson(const std::vector<PoisonRecord> &Records) {
  Json RecordRows = Json::array();
  for (const PoisonRecord &Record : Records)
    RecordRows.push_back({{"h", Record.m_Hash},
                          {"g", Record.m_Generation},
                          {"s", Record.m_CrashedServers},
                          {"r", Record.m_Quarantined},
                          {"a", Record.m_Age.count()}});
  return {{"r", RecordRows}};
}

std::vector<PoisonRecord> parsePoisonRecords(const Json &Message) {
  std::vector<PoisonRecord> Records;
  const Json RecordRows = fieldOr(Message, "r", Json::array());
  if (!RecordRows.is_array())
    return Records;
  for (const Json &Row : RecordRows) {
    if (!Row.is_object() || !Row.contains("h"))
      continue;
    PoisonRecord Record;
    Record.m_Hash = fieldOr(Row, "h", ContentHash{0});
    Record.m_Generation = fieldOr(Row, "g", std::uint64_t{0});
    Record.m_CrashedServers = fieldOr(Row, "s", std::set<std::string>());
    Record.m_Quarantined = fieldOr(Row, "r", false);
    Record.m_Age = Duration(fieldOr(Row, "a", std::int64_t{0}));
    Records.push_back(std::move(Record));
  }
  return Records;
}

void keepMostRelevant(std::vector<PoisonRecord> &Records,
                      std::size_t MaxCount) {
  std::sort(Records.begin(), Records.end(),
            [](const PoisonRecord &Left, const PoisonRecord &Right) {
              return std::make_tuple(!Left.m_Quarantined,
                                     Right.m_CrashedServers.size(),
                                     Left.m_Age) <
                     std::make_tuple(!Right.m_Quarantined,
                                     Left.m_CrashedServers.size(), Right.m_Age);
            });
  if (Records.size() > MaxCount)
    Records.resize(MaxCount);
}

} // namespace fulmarwinch
