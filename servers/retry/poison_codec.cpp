#include "servers/retry/poison_codec.h"

#include <algorithm>
#include <tuple>

namespace fulmarwinch {

namespace {

/// Encoded size of the object that contains the rows, without the rows.
constexpr std::size_t EnvelopeBytes = 8;

/// Reads the crashed servers and the ages of their crashes. Earlier versions
/// send no ages; no crash is later than the last change of the record.
std::map<std::string, Duration> parseCrashes(const Json &Row,
                                             Duration RecordAge) {
  const auto Servers = fieldOr(Row, "s", std::vector<std::string>());
  const auto Ages = fieldOr(Row, "t", std::vector<std::int64_t>());
  std::map<std::string, Duration> Result;
  for (std::size_t I = 0; I < Servers.size(); ++I)
    Result.emplace(Servers[I], I < Ages.size() ? Duration(Ages[I]) : RecordAge);
  return Result;
}

Json toRow(const PoisonRecord &Record) {
  Json Servers = Json::array();
  Json Ages = Json::array();
  for (const auto &[Server, Age] : Record.m_CrashedServers) {
    Servers.push_back(Server);
    Ages.push_back(Age.count());
  }
  return {{"h", Record.m_Hash},
          {"g", Record.m_Generation},
          {"c", Record.m_ClearedAge.count()},
          {"s", std::move(Servers)},
          {"t", std::move(Ages)},
          {"r", Record.m_Quarantined},
          {"a", Record.m_Age.count()}};
}

} // namespace

Json toJson(const std::vector<PoisonRecord> &Records) {
  Json RecordRows = Json::array();
  for (const PoisonRecord &Record : Records)
    RecordRows.push_back(toRow(Record));
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
    Record.m_Quarantined = fieldOr(Row, "r", false);
    Record.m_Age = Duration(fieldOr(Row, "a", std::int64_t{0}));
    // Earlier versions do not send when a content was cleared; it was not after
    // the last change of the record.
    Record.m_ClearedAge = Duration(fieldOr(Row, "c", Record.m_Age.count()));
    Record.m_CrashedServers = parseCrashes(Row, Record.m_Age);
    Records.push_back(std::move(Record));
  }
  return Records;
}

void keepMostRelevant(std::vector<PoisonRecord> &Records,
                      std::size_t MaxBytes) {
  std::sort(Records.begin(), Records.end(),
            [](const PoisonRecord &Left, const PoisonRecord &Right) {
              return std::make_tuple(!Left.m_Quarantined,
                                     Right.m_CrashedServers.size(),
                                     Left.m_Age) <
                     std::make_tuple(!Right.m_Quarantined,
                                     Left.m_CrashedServers.size(), Right.m_Age);
            });
  std::size_t Count = 0;
  for (std::size_t Bytes = EnvelopeBytes; Count < Records.size(); ++Count) {
    Bytes += Json::to_cbor(toRow(Records[Count])).size();
    if (Bytes > MaxBytes)
      break;
  }
  Records.resize(Count);
}

} // namespace fulmarwinch
