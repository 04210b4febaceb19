#include "proxy/client_memory.h"

#include <algorithm>
#include <limits>

namespace fulmarwinch {

namespace {

/// Part of the unused memory that a connection may use. Many connections leave
/// less unused, so that each may use less: n of them use n / (n + 64) of the
/// memory together.
constexpr std::size_t ShareDivisor = 64;
/// Amount that a connection may use in any case. A read from a server or a
/// client has up to twice as much.
constexpr std::size_t MinShare = std::size_t{8} * 1024;
/// A slow client gets an answer of this size whole, also after the deadline of
/// its request, if there is memory.
constexpr std::size_t MaxWaitingOutput = std::size_t{1024} * 1024;
constexpr std::size_t MaxPipelinedInput = std::size_t{64} * 1024;

} // namespace

ClientMemory::ClientMemory()
    : m_Budget(std::make_shared<MemoryBudget>(
          std::numeric_limits<std::size_t>::max())),
      m_BodyBudget(std::make_shared<MemoryBudget>(
          std::numeric_limits<std::size_t>::max(), m_Budget)) {}

void ClientMemory::setLimits(std::size_t Limit, std::size_t BodyLimit) {
  m_Budget->setLimit(Limit);
  m_BodyBudget->setLimit(BodyLimit);
}

bool ClientMemory::isScarce() const {
  return m_Budget->used() >= m_Budget->limit() / 2;
}

std::size_t ClientMemory::fairShare(std::size_t Max) const {
  const std::size_t Unused =
      m_Budget->limit() - std::min(m_Budget->limit(), m_Budget->used());
  return std::clamp(Unused / ShareDivisor, MinShare, Max);
}

std::size_t ClientMemory::maxWaitingOutput() const {
  return fairShare(MaxWaitingOutput);
}

std::size_t ClientMemory::maxPipelinedInput() const {
  return fairShare(MaxPipelinedInput);
}

bool ClientMemory::isFull() const {
  return m_Budget->used() >= m_Budget->limit();
}

bool ClientMemory::takePrecedence(const void *Reader) {
  if (!m_ReaderWithPrecedence)
    m_ReaderWithPrecedence = Reader;
  return m_ReaderWithPrecedence == Reader;
}

void ClientMemory::endPrecedence(const void *Reader) {
  if (m_ReaderWithPrecedence == Reader)
    m_ReaderWithPrecedence = nullptr;
}

std::size_t ClientMemory::excess() const {
  // Connections are closed a little before requests are rejected.
  const std::size_t Target = m_Budget->limit() - m_Budget->limit() / 10;
  return m_Budget->used() > Target ? m_Budget->used() - Target : 0;
}

} // namespace fulmarwinch
