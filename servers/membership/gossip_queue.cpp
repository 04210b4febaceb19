#include "servers/membership/gossip_queue.h"

namespace fulmarwinch {

namespace {

std::size_t encodedSize(const MemberRecord &Record) {
  // Encoded size of the array and string headers, the incarnation and the
  // state.
  constexpr std::size_t FixedBytes = 20;
  return FixedBytes + Record.m_NodeId.size() + Record.m_Zone.size() +
         Record.m_Region.size() + Record.m_Address.size();
}

} // namespace

void GossipQueue::add(const MemberRecord &Record) {
  const auto [Found, IsNew] = m_Positions.try_emplace(Record.m_NodeId);
  QueuePosition &Current = Found->second;
  if (!IsNew)
    m_RecordsByTransmissions[Current.m_Transmissions].erase(Current.m_Record);
  Current = {0, m_RecordsByTransmissions[0].insert(
                    m_RecordsByTransmissions[0].end(), Record)};
}

std::vector<MemberRecord> GossipQueue::nextUpdates(std::size_t ByteBudget) {
  std::vector<MemberRecord> Updates;
  // Records in this message move to Sent until the message is complete, so that
  // no record is added to it twice.
  std::array<Records, MaxTransmissions> Sent;
  bool IsFull = false;
  for (unsigned Transmissions = 0; Transmissions < MaxTransmissions && !IsFull;
       ++Transmissions) {
    Records &Queued = m_RecordsByTransmissions[Transmissions];
    while (!Queued.empty()) {
      const std::size_t Bytes = encodedSize(Queued.front());
      if (Bytes > ByteBudget) {
        // The message ends at the first record that does not fit. Shorter
        // records behind it are not sent first, because long records would then
        // be delayed again and again.
        IsFull = true;
        break;
      }
      ByteBudget -= Bytes;
      Updates.push_back(Queued.front());
      Sent[Transmissions].splice(Sent[Transmissions].end(), Queued,
                                 Queued.begin());
    }
  }
  for (unsigned Transmissions = 0; Transmissions < MaxTransmissions;
       ++Transmissions)
    while (!Sent[Transmissions].empty())
      countTransmission(Sent[Transmissions], Transmissions);
  return Updates;
}

void GossipQueue::countTransmission(Records &Sent, unsigned Transmissions) {
  const auto First = Sent.begin();
  const unsigned NextCount = Transmissions + 1;
  if (NextCount >= MaxTransmissions) {
    m_Positions.erase(First->m_NodeId);
    Sent.erase(First);
    return;
  }
  m_Positions[First->m_NodeId].m_Transmissions = NextCount;
  m_RecordsByTransmissions[NextCount].splice(
      m_RecordsByTransmissions[NextCount].end(), Sent, First);
}

} // namespace fulmarwinch
