#include "node/poison_exchange.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// Limits a message to about 4 KB. A crash adds a record for each request in
/// flight at one backend server; records above this limit are sent on the next
/// ticks.
constexpr std::size_t MaxRecordsPerMessage = 32;

bool hasSameContent(const PoisonRecord &Left, const PoisonRecord &Right) {
  const auto HasSameServer = [](const auto &A, const auto &B) {
    return A.first == B.first;
  };
  return Left.m_Generation == Right.m_Generation &&
         Left.m_Quarantined == Right.m_Quarantined &&
         std::equal(Left.m_CrashedServers.begin(), Left.m_CrashedServers.end(),
                    Right.m_CrashedServers.begin(),
                    Right.m_CrashedServers.end(), HasSameServer);
}

} // namespace

std::vector<PoisonRecord>
selectChangedRecords(std::vector<PoisonRecord> Current,
                     std::map<ContentHash, PoisonRecord> &Exchanged,
                     std::size_t Limit) {
  std::map<ContentHash, PoisonRecord> Retained;
  std::vector<PoisonRecord> Changed;
  for (PoisonRecord &Record : Current) {
    const auto Previous = Exchanged.find(Record.m_Hash);
    if (Previous != Exchanged.end())
      Retained.insert(*Previous);
    if (Previous == Exchanged.end() ||
        !hasSameContent(Previous->second, Record))
      Changed.push_back(std::move(Record));
  }
  std::sort(Changed.begin(), Changed.end(),
            [](const PoisonRecord &Left, const PoisonRecord &Right) {
              return Left.m_Age < Right.m_Age;
            });
  if (Changed.size() > Limit)
    Changed.resize(Limit);
  for (const PoisonRecord &Record : Changed)
    Retained[Record.m_Hash] = Record;
  // Records that have expired are not in Current, so they are removed here.
  Exchanged = std::move(Retained);
  return Changed;
}

PoisonExchange::PoisonExchange(DataPath &Path, PeerService &Peers)
    : m_DataPath(Path), m_Peers(Peers) {
  m_Peers.setChannelHandler(
      PeerChannel::Poison,
      [this](const std::string &, const Json &Message) { onRecords(Message); });
}

void PoisonExchange::tick(MonotonicTime Now) {
  std::vector<PoisonRecord> Current =
      m_DataPath.withPoisonDetector([Now](PoisonDetector &Detector) {
        Detector.removeExpired(Now);
        return Detector.records(Now);
      });
  const std::vector<PoisonRecord> Changed = selectChangedRecords(
      std::move(Current), m_ExchangedRecords, MaxRecordsPerMessage);
  if (!Changed.empty())
    m_Peers.broadcast(PeerChannel::Poison, toJson(Changed));
}

void PoisonExchange::onRecords(const Json &Message) {
  const std::vector<PoisonRecord> Records = parsePoisonRecords(Message);
  m_DataPath.withPoisonDetector([&Records](PoisonDetector &Detector) {
    Detector.merge(Records, monotonicNow());
  });
  // A record from a peer was broadcast to all nodes already. It is sent again
  // only if the merge added crashes that it did not contain.
  for (const PoisonRecord &Record : Records)
    m_ExchangedRecords[Record.m_Hash] = Record;
}

} // namespace fulmarwinch
