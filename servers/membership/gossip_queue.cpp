#include "servers/membership/gossip_queue.h"

namespace fulmarwinch {

namespace {

std::size_t bytesOf(const MemberRecord &Record) {
  // Array and string headers, incarnation and state.
  constexpr std::size_t Overhead = 20;
  return Overhead + Record.m_Id.size() + Record.m_Zone.size() +
         Record.m_Region.size() + Record.m_Address.size();
}

} // namespace

void GossipQueue::add(const MemberRecord &Record) {
  m_Entries[Record.m_Id] = {Record, 0};
}

std::vector<MemberRecord> GossipQueue::take(std::size_t Budget) {
  std::vector<MemberRecord> Taken;
  std::vector<std::string> Done;
  constexpr std::size_t SmallestRecord = 40;
  for (unsigned Count = 0; Count < MaxTransmissions; ++Count) {
    if (Budget < SmallestRecord)
      break;
    for (auto &[Id, Each] : m_Entries) {
      if (Each.m_Transmissions != Count)
        continue;
      const std::size_t Bytes = bytesOf(Each.m_Record);
      if (Bytes > Budget) {
        // Later records wait, so that the longest ones are not left behind.
        Budget = 0;
        break;
      }
      Budget -= Bytes;
      Taken.push_back(Each.m_Record);
      Done.push_back(Id);
    }
  }
  for (const std::string &Id : Done)
    if (++m_Entries[Id].m_Transmissions >= MaxTransmissions)
      m_Entries.erase(Id);
  return Taken;
}

} // namespace fulmarwinch
