#include "node/failure_gossip.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

namespace fulmarwinch {

namespace {

constexpr const char *FailureTopic = "f";
/// Encoded size of the object that contains the rows, without the rows.
constexpr std::size_t EnvelopeBytes = 8;
/// Maximum number of crashed servers that the row of one request lists. More of
/// them do not change the verdict on the request.
constexpr std::size_t MaxCrashedServers = 4;
constexpr std::int64_t MaxDurationMs = 24LL * 3600 * 1000;

std::int64_t toMilliseconds(Duration Interval) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Interval)
      .count();
}

/// Returns the milliseconds in \p Value as a duration, clamped so that a
/// malformed message cannot cause an overflow.
Duration toDuration(const Json &Value) {
  return std::chrono::milliseconds(
      std::clamp<std::int64_t>(Value.get<std::int64_t>(), 0, MaxDurationMs));
}

Json toRow(const PoisonRecord &Record) {
  Json Servers = Json::array();
  for (const auto &[Server, Age] : Record.m_CrashedServers)
    if (Servers.size() < MaxCrashedServers)
      Servers.push_back(Server);
  return {Record.m_Hash, Record.m_Generation, Servers, Record.m_Quarantined,
          toMilliseconds(Record.m_Age)};
}

Json toRow(const OutlierEjection &Record) {
  return {Record.m_Group, Record.m_Class, Record.m_EjectionCount,
          toMilliseconds(Record.m_RemainingTime)};
}

/// Encodes records as rows until the next row would exceed \p BytesLeft, which
/// is reduced by the encoded bytes.
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

PoisonRecord parsePoisonRow(const Json &Row) {
  PoisonRecord Record;
  Record.m_Hash = Row.at(0).get<ContentHash>();
  Record.m_Generation = Row.at(1).get<std::uint64_t>();
  Record.m_Quarantined = Row.at(3).get<bool>();
  Record.m_Age = toDuration(Row.at(4));
  Record.m_ClearedAge = Record.m_Age;
  // A node that runs suspects in isolation counts the servers only, so their
  // rows contain no ages.
  for (const auto &Server : Row.at(2).get<std::vector<std::string>>())
    Record.m_CrashedServers.emplace(Server, Record.m_Age);
  return Record;
}

OutlierEjection parseOutlierRow(const Json &Row) {
  return {Row.at(0).get<std::string>(), Row.at(1).get<RequestClass>(),
          Row.at(2).get<std::uint32_t>(), toDuration(Row.at(3))};
}

} // namespace

Json encodeFailures(FailureRecords Records, std::size_t MaxBytes) {
  std::stable_sort(Records.m_PoisonRecords.begin(),
                   Records.m_PoisonRecords.end(),
                   [](const PoisonRecord &Left, const PoisonRecord &Right) {
                     return Left.m_Age < Right.m_Age;
                   });
  // Records do not contain the time at which a group was ejected from routing.
  // Of ejections of equal length, the one that ends last is the newest.
  std::stable_sort(
      Records.m_OutlierRecords.begin(), Records.m_OutlierRecords.end(),
      [](const OutlierEjection &Left, const OutlierEjection &Right) {
        return Left.m_RemainingTime > Right.m_RemainingTime;
      });
  if (MaxBytes <= EnvelopeBytes)
    return nullptr;
  const std::size_t RowBytes = MaxBytes - EnvelopeBytes;
  std::size_t PoisonBytesLeft = RowBytes / 2;
  const Json Poison = toRows(Records.m_PoisonRecords, PoisonBytesLeft);
  std::size_t OutlierBytesLeft = RowBytes - RowBytes / 2 + PoisonBytesLeft;
  const Json Outliers = toRows(Records.m_OutlierRecords, OutlierBytesLeft);
  if (Poison.empty() && Outliers.empty())
    return nullptr;
  return {{"p", Poison}, {"o", Outliers}};
}

FailureRecords decodeFailures(const Json &Object) {
  FailureRecords Records;
  try {
    for (const Json &Row : Object.at("p"))
      Records.m_PoisonRecords.push_back(parsePoisonRow(Row));
    for (const Json &Row : Object.at("o"))
      Records.m_OutlierRecords.push_back(parseOutlierRow(Row));
  } catch (const Json::exception &) {
    // The rows before a malformed one are used. This is safe because
    // correctness does not depend on these records.
    return Records;
  }
  return Records;
}

FailureGossip::FailureGossip(PeerService &Peers, DataPath &Path)
    : m_DataPath(Path) {
  Peers.setTopic(
      FailureTopic,
      [this](const std::string &, MonotonicTime Now) {
        return makeTopicValue(Now);
      },
      [this](const TopicReceived &Topic) { onTopic(Topic); });
}

void FailureGossip::tick(MonotonicTime Now) {
  m_DataPath.withPoisonDetector(
      [Now](PoisonDetector &Detector) { Detector.removeExpired(Now); });
}

Json FailureGossip::makeTopicValue(MonotonicTime Now) {
  if (m_Random() % MessagesPerExchange != 0)
    return nullptr;
  FailureRecords Records;
  Records.m_PoisonRecords = m_DataPath.withPoisonDetector(
      [Now](PoisonDetector &Detector) { return Detector.records(Now); });
  Records.m_OutlierRecords = m_DataPath.outlierTracker().activeEjections(Now);
  return encodeFailures(std::move(Records), MaxTopicBytes);
}

void FailureGossip::onTopic(const TopicReceived &Topic) {
  const FailureRecords Records = decodeFailures(Topic.m_Value);
  const MonotonicTime Now = monotonicNow();
  m_DataPath.withPoisonDetector([&](PoisonDetector &Detector) {
    Detector.merge(Records.m_PoisonRecords, Now);
  });
  m_DataPath.outlierTracker().mergeEjections(Records.m_OutlierRecords, Now);
}

} // namespace fulmarwinch
