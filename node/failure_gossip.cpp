#include "node/failure_gossip.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

namespace fulmarwinch {

namespace {

constexpr const char *FailureTopic = "f";
/// Size of the object around the rows.
constexpr std::size_t EnvelopeBytes = 8;
/// More blamed servers do not change the verdict on a request.
constexpr std::size_t MaxBlamedServers = 4;
constexpr std::int64_t LongestMs = 24LL * 3600 * 1000;

std::int64_t toMilliseconds(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

/// Returns the time in \p Value, bounded so that a damaged message cannot cause
/// an overflow.
Duration toDuration(const Json &Value) {
  return std::chrono::milliseconds(
      std::clamp<std::int64_t>(Value.get<std::int64_t>(), 0, LongestMs));
}

Json toRow(const PoisonRecord &Record) {
  Json Servers = Json::array();
  for (const std::string &Server : Record.m_BlamedServers)
    if (Servers.size() < MaxBlamedServers)
      Servers.push_back(Server);
  return {Record.m_Hash, Record.m_Generation, Servers, Record.m_Refused,
          toMilliseconds(Record.m_Age)};
}

Json toRow(const OutlierRecord &Record) {
  return {Record.m_Group, Record.m_Class, Record.m_Removals,
          toMilliseconds(Record.m_Remaining)};
}

/// Encodes rows until the next one would exceed \p BytesLeft.
template <typename RecordType>
Json toRows(const std::vector<RecordType> &Records, std::size_t &BytesLeft) {
  Json Rows = Json::array();
  for (const RecordType &Record : Records) {
    Json Row = toRow(Record);
    const std::size_t Size = Json::to_cbor(Row).size();
    if (Size > BytesLeft)
      break;
    BytesLeft -= Size;
    Rows.push_back(std::move(Row));
  }
  return Rows;
}

PoisonRecord poisonOf(const Json &Row) {
  PoisonRecord Record;
  Record.m_Hash = Row.at(0).get<ContentHash>();
  Record.m_Generation = Row.at(1).get<std::uint64_t>();
  Record.m_BlamedServers = Row.at(2).get<std::set<std::string>>();
  Record.m_Refused = Row.at(3).get<bool>();
  Record.m_Age = toDuration(Row.at(4));
  return Record;
}

OutlierRecord outlierOf(const Json &Row) {
  return {Row.at(0).get<std::string>(), Row.at(1).get<RequestClass>(),
          Row.at(2).get<std::uint32_t>(), toDuration(Row.at(3))};
}

} // namespace

Json encodeFailures(FailureRecords Records, std::size_t MaxBytes) {
  std::stable_sort(Records.m_Poison.begin(), Records.m_Poison.end(),
                   [](const PoisonRecord &Left, const PoisonRecord &Right) {
                     return Left.m_Age < Right.m_Age;
                   });
  // The time of a removal is not recorded. Of removals of equal length the one
  // that ends last is the newest.
  std::stable_sort(Records.m_Outliers.begin(), Records.m_Outliers.end(),
                   [](const OutlierRecord &Left, const OutlierRecord &Right) {
                     return Left.m_Remaining > Right.m_Remaining;
                   });
  if (MaxBytes <= EnvelopeBytes)
    return nullptr;
  const std::size_t Total = MaxBytes - EnvelopeBytes;
  std::size_t PoisonLeft = Total / 2;
  const Json Poison = toRows(Records.m_Poison, PoisonLeft);
  std::size_t OutliersLeft = Total - Total / 2 + PoisonLeft;
  const Json Outliers = toRows(Records.m_Outliers, OutliersLeft);
  if (Poison.empty() && Outliers.empty())
    return nullptr;
  return {{"p", Poison}, {"o", Outliers}};
}

FailureRecords decodeFailures(const Json &Object) {
  FailureRecords Records;
  try {
    for (const Json &Row : Object.at("p"))
      Records.m_Poison.push_back(poisonOf(Row));
    for (const Json &Row : Object.at("o"))
      Records.m_Outliers.push_back(outlierOf(Row));
  } catch (const Json::exception &) {
    // Rows before a damaged one are usable; gossip carries no safety.
    return Records;
  }
  return Records;
}

FailureGossip::FailureGossip(PeerService &Peers, DataPath &Path)
    : m_Path(Path) {
  Peers.setTopic(
      FailureTopic,
      [this](const std::string &, MonotonicTime Now) { return records(Now); },
      [this](const TopicReceived &Topic) { onTopic(Topic); });
}

void FailureGossip::tick(MonotonicTime Now) {
  m_Path.withPoison(
      [Now](PoisonDetector &Poison) { Poison.removeExpired(Now); });
}

Json FailureGossip::records(MonotonicTime Now) {
  if (m_Random() % MessagesPerTopic != 0)
    return nullptr;
  FailureRecords Records;
  Records.m_Poison = m_Path.withPoison(
      [Now](PoisonDetector &Poison) { return Poison.records(Now); });
  Records.m_Outliers = m_Path.outliers().records(Now);
  return encodeFailures(std::move(Records), MaxTopicBytes);
}

void FailureGossip::onTopic(const TopicReceived &Topic) {
  const FailureRecords Records = decodeFailures(Topic.m_Value);
  const MonotonicTime Now = monotonicNow();
  m_Path.withPoison(
      [&](PoisonDetector &Poison) { Poison.merge(Records.m_Poison, Now); });
  m_Path.outliers().merge(Records.m_Outliers, Now);
}

} // namespace fulmarwinch
