#include "servers/retry/stream_splicer.h"

#include <utility>

namespace fulmarwinch {

StreamSplicer::StreamSplicer(std::string RequestId, std::size_t MaxBuffered)
    : m_RequestId(std::move(RequestId)), m_MaxBuffered(MaxBuffered) {}

std::uint32_t StreamSplicer::beginAttempt() {
  m_Buffer.clear();
  return ++m_Attempt;
}

SpliceResult StreamSplicer::accept(const StreamChunk &Chunk) {
  if (Chunk.m_RequestId != m_RequestId)
    return {SpliceVerdict::ForeignRequest, {}};
  if (Chunk.m_Attempt != m_Attempt)
    return {SpliceVerdict::OldAttempt, {}};
  if (m_Complete)
    return {SpliceVerdict::AfterEnd, {}};
  if (Chunk.m_Index < m_NextIndex || m_Buffer.count(Chunk.m_Index) != 0)
    return {SpliceVerdict::Duplicate, {}};
  if (Chunk.m_Index > m_NextIndex) {
    if (m_Buffer.size() >= m_MaxBuffered ||
        Chunk.m_Index - m_NextIndex > m_MaxBuffered)
      return {SpliceVerdict::GapTooLarge, {}};
    m_Buffer.emplace(Chunk.m_Index,
                     BufferedChunk{Chunk.m_Payload, Chunk.m_Final});
    return {SpliceVerdict::Buffered, {}};
  }
  SpliceResult Result;
  deliver(Chunk.m_Payload, Chunk.m_Final, Result);
  while (!m_Complete && !m_Buffer.empty() &&
         m_Buffer.begin()->first == m_NextIndex) {
    const BufferedChunk NextChunk = std::move(m_Buffer.begin()->second);
    m_Buffer.erase(m_Buffer.begin());
    deliver(NextChunk.m_Payload, NextChunk.m_Final, Result);
  }
  return Result;
}

void StreamSplicer::deliver(const std::string &Payload, bool Final,
                            SpliceResult &Result) {
  Result.m_DeliverablePayloads.push_back(Payload);
  ++m_NextIndex;
  m_Complete = Final;
  if (Final)
    m_Buffer.clear();
}

} // namespace fulmarwinch
