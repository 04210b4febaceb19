#ifndef FULMARWINCH_PROXY_CLIENT_MEMORY_H
#define FULMARWINCH_PROXY_CLIENT_MEMORY_H

#include "proxy/memory_budget.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>

namespace fulmarwinch {

/// Returns the largest number of unread bytes that the kernel keeps with a
/// receive buffer of this size.
constexpr std::size_t maxUnreadBytes(std::size_t ReceiveBuffer) {
  return ReceiveBuffer / 2 * 3;
}

/// Memory that a node holds for its clients and for the responses of servers:
/// connections, request bodies, buffered responses and unsent output. Decides
/// how much of it one connection may use now. May be used from any thread.
class ClientMemory {
public:
  /// Receive buffer of a client's connection, and that while a large body
  /// arrives. With the smaller one, a body would take a round trip for each
  /// 12 KiB.
  static constexpr std::size_t ClientReceiveBuffer = std::size_t{8} * 1024;
  static constexpr std::size_t BodyReceiveBuffer = std::size_t{64} * 1024;
  /// Receive buffer of a connection to a server, and that for a response whose
  /// memory is reserved.
  static constexpr std::size_t ServerReceiveBuffer = std::size_t{16} * 1024;
  static constexpr std::size_t ReservedReceiveBuffer = std::size_t{128} * 1024;
  /// Bytes read at once from a server.
  static constexpr std::size_t ServerReadBytes = std::size_t{16} * 1024;

  /// Memory of a connection, besides what it holds for the client: its read
  /// buffer, parser, sockets, and unread bytes.
  static constexpr std::size_t ConnectionBytes =
      std::size_t{12} * 1024 + maxUnreadBytes(ClientReceiveBuffer);
  /// Memory of a call to a server: its read buffer, unread bytes, and what one
  /// read puts into the response before anything is reserved.
  static constexpr std::size_t CallBytes =
      2 * ServerReadBytes + maxUnreadBytes(ServerReceiveBuffer);
  /// Memory of a request in progress, besides its head and bodies: its state,
  /// its call, and what one read puts into the client's output.
  static constexpr std::size_t RequestBytes =
      std::size_t{12} * 1024 + ServerReadBytes + CallBytes;

  /// Without a limit until setLimits() is called.
  ClientMemory();

  /// \p Limit is for all memory, \p BodyLimit for request bodies within it.
  void setLimits(std::size_t Limit, std::size_t BodyLimit);

  /// Sets both from the memory that the process may use in all, in MiB.
  void setProcessLimit(double Mb);

  const std::shared_ptr<MemoryBudget> &budget() const { return m_Budget; }
  const std::shared_ptr<MemoryBudget> &bodyBudget() const {
    return m_BodyBudget;
  }

  /// True if it matters which clients read.
  bool isScarce() const;
  /// Output that may wait for a client before the response is read no further.
  std::size_t maxWaitingOutput() const;
  /// Bytes of pipelined requests that may wait on one connection.
  std::size_t maxPipelinedInput() const;
  /// True if no further request can be accepted.
  bool isFull() const;

  /// Increases the reservation of a connection to \p Bytes, before it holds
  /// them, unless there is no memory for them.
  bool reserveInput(MemoryReservation &Reservation, std::size_t Bytes);

  /// Largest reservation that can succeed when nothing else is held.
  std::size_t maxReservation() const;
  /// Increases the reservation of \p Reader's response to \p Bytes. The last
  /// part of the memory is left for connections, requests and short responses.
  /// If it fails, the bytes count in excess() until it succeeds or
  /// endResponse() is called.
  bool reserveResponse(const void *Reader, MemoryReservation &Reservation,
                       std::size_t Bytes);
  /// The same for a response whose length is not known, and which will need
  /// more. From half of the memory on, one reader at a time may go on:
  /// responses that are all incomplete would wait for each other otherwise.
  bool reserveOpenResponse(const void *Reader, MemoryReservation &Reservation,
                           std::size_t Bytes);
  /// True if no other incomplete response has to end before that of \p Reader
  /// can go on.
  bool hasPrecedence(const void *Reader) const;
  /// Must be called at the end of each reader's response.
  void endResponse(const void *Reader);
  /// Number of bytes that must be released by closing connections.
  std::size_t excess() const;

private:
  /// Share of the unused memory that one connection may use for one purpose.
  std::size_t fairShare(std::size_t Max) const;
  bool isHalfUsed() const;
  bool takePrecedence(const void *Reader);
  /// Bytes that a reservation of \p Bytes leaves for other purposes.
  std::size_t spareFor(std::size_t Bytes) const;

  std::shared_ptr<MemoryBudget> m_Budget;
  std::shared_ptr<MemoryBudget> m_BodyBudget;
  /// Guards the members below.
  mutable std::mutex m_Mutex;
  const void *m_ReaderWithPrecedence = nullptr;
  /// Bytes that readers have asked for in vain.
  std::map<const void *, std::size_t> m_WantedBytes;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_CLIENT_MEMORY_H
