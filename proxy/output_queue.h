#ifndef FULMARWINCH_PROXY_OUTPUT_QUEUE_H
#define FULMARWINCH_PROXY_OUTPUT_QUEUE_H

#include "proxy/memory_budget.h"
#include "servers/dispatch/connection_shedding.h"

#include <string>
#include <string_view>

namespace fulmarwinch {

/// Output of one connection that waits to be sent, and what is known of its
/// client's reading.
class OutputQueue {
public:
  void append(std::string_view Bytes) { m_Next += Bytes; }
  /// Adds the body of a response after all other output. A large one stays
  /// where it is until it is sent, so that it is held only once. Nothing may be
  /// added until everything is sent.
  void appendBody(ReservedBytes Body);

  /// Returns the bytes to send next; empty if there are none. They stay valid
  /// until onSent() has returned true.
  std::string_view next();
  /// Removes the first \p Size bytes of next(). Returns true if none of them
  /// are left.
  bool onSent(std::size_t Size);

  /// Number of bytes that are not sent.
  std::size_t size() const {
    return m_Current.size() - m_SentOfCurrent + m_Next.size() + m_Body.size();
  }
  /// Memory that the queue holds, without what is reserved for a body.
  std::size_t unreservedCapacity() const {
    return m_Next.capacity() + (m_BodyReservation.bytes() > 0
                                    ? 0
                                    : m_Current.capacity() + m_Body.capacity());
  }
  std::size_t reservedBytes() const { return m_BodyReservation.bytes(); }
  /// Returns the time since which the client at the other end of \p Socket has
  /// taken almost nothing of the waiting output. Call it several times a second
  /// while it matters: what happened before the first call is not known.
  MonotonicTime stalledSince(int Socket, MonotonicTime Now);
  /// Time that the client will need to read what waits, as of the last call of
  /// stalledSince(); 0 if not known.
  Duration timeToRead(MonotonicTime Now) const {
    return m_Progress.timeToRead(size(), Now);
  }

private:
  /// Number of bytes that the client's host has acknowledged.
  std::uint64_t takenBytes(int Socket) const;

  std::string m_Current;
  std::size_t m_SentOfCurrent = 0;
  std::string m_Next;
  std::string m_Body;
  /// Memory of a large body until it is sent.
  MemoryReservation m_BodyReservation;
  std::uint64_t m_SentBytes = 0;
  ReadProgress m_Progress;
  /// True if m_Progress is about the output that waits now.
  bool m_IsProgressKnown = false;
};

/// Releases the memory of a large buffer that is empty.
void shrinkIfEmpty(std::string &Buffer);

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_OUTPUT_QUEUE_H
