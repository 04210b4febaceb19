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
  const auto [Found, IsNew] = m_Places.try_emplace(Record.m_Id);
  Place &Current = Found->second;
  if (!IsNew)
    m_Waiting[Current.m_Transmissions].erase(Current.m_Record);
  Current = {0, m_Waiting[0].insert(m_Waiting[0].end(), Record)};
}

std::vector<MemberRecord> GossipQueue::take(std::size_t Budget) {
  std::vector<MemberRecord> Taken;
  // Records that were taken wait here, so that none is taken twice for one
  // message.
  std::array<Records, MaxTransmissions> Sent;
  bool IsFull = false;
  for (unsigned Count = 0; Count < MaxTransmissions && !IsFull; ++Count) {
    Records &Waiting = m_Waiting[Count];
    while (!Waiting.empty()) {
      const std::size_t Bytes = bytesOf(Waiting.front());
      if (Bytes > Budget) {
        // Later records wait, so that the longest ones are not left behind.
        IsFull = true;
        break;
      }
      Budget -= Bytes;
      Taken.push_back(Waiting.front());
      Sent[Count].splice(Sent[Count].end(), Waiting, Waiting.begin());
    }
  }
  for (unsigned Count = 0; Count < MaxTransmissions; ++Count)
    while (!Sent[Count].empty())
      advance(Sent[Count], Count);
  return Taken;
}

void GossipQueue::advance(Records &From, unsigned Transmissions) {
  const auto First = From.begin();
  const unsigned Next = Transmissions + 1;
  if (Next >= MaxTransmissions) {
    m_Places.erase(First->m_Id);
    From.erase(First);
    return;
  }
  m_Places[First->m_Id].m_Transmissions = Next;
  m_Waiting[Next].splice(m_Waiting[Next].end(), From, First);
}

} // namespace fulmarwinch
