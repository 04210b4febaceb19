#ifndef FULMARWINCH_PROXY_RESPONSE_BUFFER_H
#define FULMARWINCH_PROXY_RESPONSE_BUFFER_H

#include "core/time.h"
#include "proxy/client_memory.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarwinch {

/// Body of a response while it is received. Its memory is reserved before it is
/// read, except that of the first read, which ClientMemory::RequestBytes
/// includes.
class ResponseBuffer {
public:
  /// Time without memory after which a response gives up if no other one has to
  /// end before it. What it holds lets others go on. Servers terminate a
  /// response that remains unread for longer.
  static constexpr Duration MaxWait = std::chrono::seconds(2);

  /// \p Reader identifies the response for ClientMemory.
  ResponseBuffer(std::shared_ptr<ClientMemory> Memory, const void *Reader);
  ~ResponseBuffer();
  ResponseBuffer(const ResponseBuffer &) = delete;
  ResponseBuffer &operator=(const ResponseBuffer &) = delete;

  /// Sets the length that the head of the response states.
  void expect(std::size_t Length) { m_Length = Length; }
  /// Reserves the memory for the rest of a response of known length, or else
  /// for the next read. Returns false if there is none now.
  bool prepareRead();
  /// True if the response cannot be held, even if nothing else is.
  bool isTooLarge() const;
  /// True if the response will not get the memory for which prepareRead() has
  /// asked in vain.
  bool isHopeless(MonotonicTime Now) const;
  /// Adds \p Bytes. Returns false without doing so if no memory is reserved for
  /// them and none can be.
  bool append(std::string_view Bytes);
  /// Discards the body and returns its memory.
  void clear();
  /// Returns the body with its memory and leaves this buffer empty.
  ReservedBytes take();

  const std::string &bytes() const { return m_Bytes; }
  /// True if the memory of the whole response is reserved and there is more of
  /// it than one read.
  bool isWholeReserved() const {
    return m_Length > ClientMemory::ServerReadBytes &&
           m_Reservation.bytes() >= m_Length;
  }

private:
  /// Size for which memory is needed before \p Next more bytes are added.
  std::size_t neededFor(std::size_t Next) const;
  bool reserve(std::size_t Bytes);

  std::shared_ptr<ClientMemory> m_Memory;
  const void *m_Reader;
  std::string m_Bytes;
  MemoryReservation m_Reservation;
  /// 0 if it is not known.
  std::size_t m_Length = 0;
  /// Time since which prepareRead() has failed.
  std::optional<MonotonicTime> m_WaitingSince;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_RESPONSE_BUFFER_H
