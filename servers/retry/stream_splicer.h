#ifndef FULMARWINCH_SERVERS_RETRY_STREAM_SPLICER_H
#define FULMARWINCH_SERVERS_RETRY_STREAM_SPLICER_H

#include "core/enum_names.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarwinch {

/// One chunk of a streamed response, as received from a backend server.
struct StreamChunk {
  std::string m_RequestId;
  /// Number of the attempt whose connection received the chunk.
  std::uint32_t m_Attempt = 0;
  /// Index of the token in the response, from 0.
  std::uint64_t m_Index = 0;
  /// Bytes to forward to the client.
  std::string m_Payload;
  /// The chunk contains the finish reason and is the last one of the response.
  bool m_Final = false;
};

/// Result of processing one chunk.
enum class SpliceVerdict {
  /// The chunk, and possibly buffered chunks after it, have to be sent to the
  /// client.
  Delivered,
  /// The chunk is buffered until the chunks before it have arrived.
  Buffered,
  /// A chunk with this index was already delivered or is buffered.
  Duplicate,
  /// The chunk belongs to another request.
  ForeignRequest,
  /// The chunk belongs to an attempt that a later attempt has replaced.
  OldAttempt,
  /// The index is too far ahead to be buffered: the attempt has lost chunks,
  /// and the stream has to be resumed at nextIndex().
  GapTooLarge,
  /// The response is already complete.
  AfterEnd,
};

inline constexpr std::array<EnumName<SpliceVerdict>, 7> SpliceVerdictNames{{
    {SpliceVerdict::Delivered, "delivered"},
    {SpliceVerdict::Buffered, "buffered"},
    {SpliceVerdict::Duplicate, "duplicate"},
    {SpliceVerdict::ForeignRequest, "foreign_request"},
    {SpliceVerdict::OldAttempt, "old_attempt"},
    {SpliceVerdict::GapTooLarge, "too_early"},
    {SpliceVerdict::AfterEnd, "after_end"},
}};

/// Verdict on a chunk, and the payloads to send to the client now, in order.
struct SpliceResult {
  SpliceVerdict m_Verdict = SpliceVerdict::Delivered;
  std::vector<std::string> m_DeliverablePayloads;
};

/// Joins the streams of several attempts into one client stream, in which each
/// token index occurs once and in order. Not thread-safe: the caller serialises
/// access.
class StreamSplicer {
public:
  /// \p MaxBuffered is the maximum number of out-of-order chunks to buffer.
  StreamSplicer(std::string RequestId, std::size_t MaxBuffered);

  /// Starts a new attempt and returns its number. Chunks of earlier attempts
  /// are rejected from now on, and their buffered chunks are discarded: another
  /// replica may sample other tokens, so chunks of two attempts must not be
  /// mixed. The new attempt has to start at nextIndex().
  std::uint32_t beginAttempt();

  /// Processes one chunk, and returns the payloads that became deliverable.
  SpliceResult accept(const StreamChunk &Chunk);

  /// Index of the first token that was not delivered to the client.
  std::uint64_t nextIndex() const { return m_NextIndex; }
  /// Number of the current attempt; 0 before the first one.
  std::uint32_t attempt() const { return m_Attempt; }
  bool isComplete() const { return m_Complete; }
  /// Number of out-of-order chunks in the buffer.
  std::size_t bufferedCount() const { return m_Buffer.size(); }

private:
  struct BufferedChunk {
    std::string m_Payload;
    bool m_Final = false;
  };

  void deliver(const std::string &Payload, bool Final, SpliceResult &Result);

  std::string m_RequestId;
  std::size_t m_MaxBuffered;
  std::uint32_t m_Attempt = 0;
  std::uint64_t m_NextIndex = 0;
  bool m_Complete = false;
  std::map<std::uint64_t, BufferedChunk> m_Buffer;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_STREAM_SPLICER_H
