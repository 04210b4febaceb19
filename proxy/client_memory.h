#ifndef FULMARWINCH_PROXY_CLIENT_MEMORY_H
#define FULMARWINCH_PROXY_CLIENT_MEMORY_H

#include "proxy/memory_budget.h"

#include <cstddef>
#include <memory>

namespace fulmarwinch {

/// Memory that a node holds for its clients and for the responses of servers:
/// connections, request bodies, buffered responses and unsent output. Decides
/// how much of it one connection may use now. Used by one thread only.
class ClientMemory {
public:
  /// Memory of a connection, besides what it holds for the client: its read
  /// buffer, parser and sockets.
  static constexpr std::size_t ConnectionBytes = std::size_t{12} * 1024;
  /// Memory of a request in progress, besides its bodies: its state, header
  /// fields and the read buffer of its call to a server.
  static constexpr std::size_t RequestBytes = std::size_t{28} * 1024;

  /// Without a limit until setLimits() is called.
  ClientMemory();

  /// \p Limit is for all memory, \p BodyLimit for request bodies within it.
  void setLimits(std::size_t Limit, std::size_t BodyLimit);

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
  /// True if no further request can be accepted, and no further byte of a
  /// response should be read.
  bool isFull() const;
  /// True if the response for \p Reader may be read on although the node holds
  /// too much. One reader at a time has precedence: responses that are all
  /// incomplete would wait for each other otherwise.
  bool takePrecedence(const void *Reader);
  /// Must be called at the end of each reader's response.
  void endPrecedence(const void *Reader);
  /// Number of bytes that must be released by closing connections.
  std::size_t excess() const;

private:
  /// Share of the unused memory that one connection may use for one purpose.
  std::size_t fairShare(std::size_t Max) const;

  std::shared_ptr<MemoryBudget> m_Budget;
  std::shared_ptr<MemoryBudget> m_BodyBudget;
  const void *m_ReaderWithPrecedence = nullptr;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_CLIENT_MEMORY_H
