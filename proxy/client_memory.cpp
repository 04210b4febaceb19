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
/// Reservations up to this size may use all of the memory.
constexpr std::size_t SmallReservation = std::size_t{64} * 1024;
/// Part of the memory that larger reservations leave unused.
constexpr std::size_t SpareDivisor = 8;
/// Share of the process's memory for everything that is held for clients and
/// servers. The rest is for the program, its view of the fleet, the log and the
/// unused parts of memory pages.
constexpr double ClientMemoryShare = 0.6;
/// Share of the process's memory that request bodies may use.
constexpr double BodyMemoryShare = 0.5;
constexpr double BytesPerMb = 1048576.0;

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

void ClientMemory::setProcessLimit(double Mb) {
  const double Bytes = Mb * BytesPerMb;
  setLimits(static_cast<std::size_t>(Bytes * ClientMemoryShare),
            static_cast<std::size_t>(Bytes * BodyMemoryShare));
}

bool ClientMemory::isHalfUsed() const {
  return m_Budget->used() >= m_Budget->limit() / 2;
}

bool ClientMemory::isScarce() const {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  return isHalfUsed() || !m_WantedBytes.empty();
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

std::size_t ClientMemory::spareFor(std::size_t Bytes) const {
  return Bytes <= SmallReservation ? 0 : m_Budget->limit() / SpareDivisor;
}

bool ClientMemory::reserveInput(MemoryReservation &Reservation,
                                std::size_t Bytes) {
  const std::size_t Missing = Bytes - std::min(Bytes, Reservation.bytes());
  return Reservation.growTo(Bytes, spareFor(Missing));
}

std::size_t ClientMemory::maxReservation() const {
  return m_Budget->limit() - m_Budget->limit() / SpareDivisor;
}

bool ClientMemory::reserveResponse(const void *Reader,
                                   MemoryReservation &Reservation,
                                   std::size_t Bytes) {
  const std::size_t Missing = Bytes - std::min(Bytes, Reservation.bytes());
  const bool HasSucceeded = Reservation.growTo(Bytes, spareFor(Bytes));
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (HasSucceeded)
    m_WantedBytes.erase(Reader);
  else
    m_WantedBytes[Reader] = Missing;
  return HasSucceeded;
}

bool ClientMemory::reserveOpenResponse(const void *Reader,
                                       MemoryReservation &Reservation,
                                       std::size_t Bytes) {
  if (Bytes > SmallReservation && isHalfUsed() && !takePrecedence(Reader))
    return false;
  return reserveResponse(Reader, Reservation, Bytes);
}

bool ClientMemory::takePrecedence(const void *Reader) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (!m_ReaderWithPrecedence)
    m_ReaderWithPrecedence = Reader;
  return m_ReaderWithPrecedence == Reader;
}

bool ClientMemory::hasPrecedence(const void *Reader) const {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  return m_ReaderWithPrecedence == Reader;
}

void ClientMemory::endResponse(const void *Reader) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  m_WantedBytes.erase(Reader);
  if (m_ReaderWithPrecedence == Reader)
    m_ReaderWithPrecedence = nullptr;
}

std::size_t ClientMemory::excess() const {
  const std::size_t Limit = m_Budget->limit();
  // Connections are closed a little before requests are rejected.
  std::size_t Target = Limit - Limit / 10;
  std::size_t Needed = m_Budget->used();
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (!m_WantedBytes.empty()) {
    for (const auto &[Reader, Bytes] : m_WantedBytes)
      Needed += Bytes;
    Target = std::min(Target, maxReservation());
  }
  return Needed - std::min(Needed, Target);
}

} // namespace fulmarwinch
