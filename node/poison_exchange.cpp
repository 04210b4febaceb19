#include "node/poison_exchange.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// About 4 KB. A crash blames the requests in flight at one backend server,
/// so the rest follows with the next ticks.
constexpr std::size_t MostRecordsPerMessage = 32;

bool tellsTheSame(const PoisonRecord &Left, const PoisonRecord &Right) {
  return Left.m_Generation == Right.m_Generation &&
         Left.m_Refused == Right.m_Refused &&
         Left.m_BlamedServers == Right.m_BlamedServers;
}

} // namespace

std::vector<PoisonRecord>
takeNewRecords(std::vector<PoisonRecord> Found,
               std::map<ContentHash, PoisonRecord> &Told, std::size_t Limit) {
  std::map<ContentHash, PoisonRecord> StillKnown;
  std::vector<PoisonRecord> New;
  for (PoisonRecord &Record : Found) {
    const auto Last = Told.find(Record.m_Hash);
    if (Last != Told.end())
      StillKnown.insert(*Last);
    if (Last == Told.end() || !tellsTheSame(Last->second, Record))
      New.push_back(std::move(Record));
  }
  std::sort(New.begin(), New.end(),
            [](const PoisonRecord &Left, const PoisonRecord &Right) {
              return Left.m_Age < Right.m_Age;
            });
  if (New.size() > Limit)
    New.resize(Limit);
  for (const PoisonRecord &Record : New)
    StillKnown[Record.m_Hash] = Record;
  // Records that expired are forgotten here too.
  Told = std::move(StillKnown);
  return New;
}

PoisonExchange::PoisonExchange(DataPath &Path, PeerService &Peers)
    : m_Path(Path), m_Peers(Peers) {
  m_Peers.onChannel(
      PeerChannel::Poison,
      [this](const std::string &, const Json &Message) { onRecords(Message); });
}

void PoisonExchange::tick(MonotonicTime Now) {
  std::vector<PoisonRecord> Found =
      m_Path.withPoison([Now](PoisonDetector &Poison) {
        Poison.removeExpired(Now);
        return Poison.records(Now);
      });
  const std::vector<PoisonRecord> New =
      takeNewRecords(std::move(Found), m_Told, MostRecordsPerMessage);
  if (!New.empty())
    m_Peers.broadcast(PeerChannel::Poison, toJson(New));
}

void PoisonExchange::onRecords(const Json &Message) {
  const std::vector<PoisonRecord> Records = parsePoisonRecords(Message);
  m_Path.withPoison([&Records](PoisonDetector &Poison) {
    Poison.merge(Records, monotonicNow());
  });
  // A record that came from a peer has reached all nodes already. One that
  // differs after the merge is sent, because it tells more than the peer knew.
  for (const PoisonRecord &Record : Records)
    m_Told[Record.m_Hash] = Record;
}

} // namespace fulmarwinch
