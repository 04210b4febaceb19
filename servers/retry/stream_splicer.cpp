#include "servers/retry/stream_splicer.h"

#include <utility>

namespace fulmarwinch {

StreamSplicer::StreamSplicer(std::string RequestId, std::size_t MaxBuffered)
    : m_RequestId(std::move(RequestId)), m_MaxBuffered(MaxBuffered) {}

std::uint32_t StreamSplicer::beginAttempt() {
  m_Early.clear();
  return ++m_Attempt;
}

SpliceResult StreamSplicer::accept(const StreamChunk &Chunk) {
  if (Chunk.m_RequestId != m_RequestId)
    return {SpliceVerdict::ForeignRequest, {}};
  if (Chunk.m_Attempt != m_Attempt)
    return {SpliceVerdict::OldAttempt, {}};
  if (m_Complete)
    return {SpliceVerdict::AfterEnd, {}};
  if (Chunk.m_Index < m_NextIndex || m_Early.count(Chunk.m_Index) != 0)
    return {SpliceVerdict::Duplicate, {}};
  if (Chunk.m_Index > m_NextIndex) {
    if (m_Early.size() >= m_MaxBuffered ||
        Chunk.m_Index - m_NextIndex > m_MaxBuffered)
      return {SpliceVerdict::TooEarly, {}};
    m_Early.emplace(Chunk.m_Index, EarlyChunk{Chunk.m_Payload, Chunk.m_Final});
    return {SpliceVerdict::Buffered, {}};
  }
  SpliceResult Result;
  deliver(Chunk.m_Payload, Chunk.m_Final, Result);
  while (!m_Complete && !m_Early.empty() &&
         m_Early.begin()->first == m_NextIndex) {
    const EarlyChunk Early = std::move(m_Early.begin()->second);
    m_Early.erase(m_Early.begin());
    deliver(Early.m_Payload, Early.m_Final, Result);
  }
  return Result;
}

void StreamSplicer::deliver(const std::string &Payload, bool Final,
                            SpliceResult &Result) {
  Result.m_Deliver.push_back(Payload);
  ++m_NextIndex;
  m_Complete = Final;
  if (Final)
    m_Early.clear();
}

} // namespace fulmarwinch
