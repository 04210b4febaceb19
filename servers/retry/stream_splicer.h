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

/// One chunk of a streamed response as it came from a backend server.
struct StreamChunk {
  std::string m_RequestId;
  /// Attempt whose connection delivered the chunk.
  std::uint32_t m_Attempt = 0;
  /// Index of the token in the response, from 0.
  std::uint64_t m_Index = 0;
  std::string m_Payload;
  /// The chunk carries the finish reason; no index follows it.
  bool m_Final = false;
};

/// What happened to a chunk.
enum class SpliceVerdict {
  /// At least this chunk goes to the client.
  Delivered,
  /// The chunk waits for earlier ones.
  Buffered,
  /// The index was delivered or is buffered already.
  Duplicate,
  /// The chunk belongs to another request.
  ForeignRequest,
  /// The chunk belongs to an attempt that was replaced.
  OldAttempt,
  /// The chunk is too far ahead; the attempt has lost chunks and the stream
  /// has to be resumed at nextIndex().
  TooEarly,
  /// The response is already complete.
  AfterEnd,
};

inline constexpr std::array<EnumName<SpliceVerdict>, 7> SpliceVerdictNames{{
    {SpliceVerdict::Delivered, "delivered"},
    {SpliceVerdict::Buffered, "buffered"},
    {SpliceVerdict::Duplicate, "duplicate"},
    {SpliceVerdict::ForeignRequest, "foreign_request"},
    {SpliceVerdict::OldAttempt, "old_attempt"},
    {SpliceVerdict::TooEarly, "too_early"},
    {SpliceVerdict::AfterEnd, "after_end"},
}};

/// Verdict on a chunk and the payloads that go to the client now, in order.
struct SpliceResult {
  SpliceVerdict m_Verdict = SpliceVerdict::Delivered;
  std::vector<std::string> m_Deliver;
};

/// Builds one client stream out of the streams of several attempts. Every
/// index goes to the client once and in order. The caller serialises access.
class StreamSplicer {
public:
  /// \p MaxBuffered bounds the early chunks that are held.
  StreamSplicer(std::string RequestId, std::size_t MaxBuffered);

  /// Starts a new attempt and returns its number. Chunks of earlier attempts
  /// are refused from now on, and early chunks of them are discarded: another
  /// replica may sample other tokens, so a gap must not be filled from two
  /// attempts. The new attempt is asked to start at nextIndex().
  std::uint32_t beginAttempt();

  /// Takes one chunk.
  SpliceResult accept(const StreamChunk &Chunk);

  /// Index of the first token that did not go to the client.
  std::uint64_t nextIndex() const { return m_NextIndex; }
  std::uint32_t attempt() const { return m_Attempt; }
  bool isComplete() const { return m_Complete; }
  std::size_t buffered() const { return m_Early.size(); }

private:
  struct EarlyChunk {
    std::string m_Payload;
    bool m_Final = false;
  };

  void deliver(const std::string &Payload, bool Final, SpliceResult &Result);

  std::string m_RequestId;
  std::size_t m_MaxBuffered;
  std::uint32_t m_Attempt = 0;
  std::uint64_t m_NextIndex = 0;
  bool m_Complete = false;
  std::map<std::uint64_t, EarlyChunk> m_Early;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_RETRY_STREAM_SPLICER_H
