#include "proxy/response_buffer.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

/// Size from which the memory of a buffer is requested from the system; see
/// main() of fulmarwinch-front.
constexpr std::size_t MinMappedBytes = std::size_t{128} * 1024;

} // namespace

ResponseBuffer::ResponseBuffer(std::shared_ptr<ClientMemory> Memory,
                               const void *Reader)
    : m_Memory(std::move(Memory)), m_Reader(Reader),
      m_Reservation(m_Memory->budget()) {}

ResponseBuffer::~ResponseBuffer() { m_Memory->endResponse(m_Reader); }

std::size_t ResponseBuffer::neededFor(std::size_t Next) const {
  return std::max(m_Length, m_Bytes.size() + Next);
}

bool ResponseBuffer::isTooLarge() const {
  const std::size_t Needed =
      m_Length > 0 ? m_Length
                   : 2 * m_Bytes.size() + ClientMemory::ServerReadBytes;
  return Needed > m_Memory->maxReservation();
}

bool ResponseBuffer::prepareRead() {
  // The first read needs no reservation.
  const bool IsReady =
      m_Bytes.empty() ||
      reserve(neededFor(m_Length > 0 ? 0 : ClientMemory::ServerReadBytes));
  if (IsReady)
    m_WaitingSince.reset();
  else if (!m_WaitingSince)
    m_WaitingSince = monotonicNow();
  return IsReady;
}

bool ResponseBuffer::isHopeless(MonotonicTime Now) const {
  return isTooLarge() || (m_WaitingSince && Now - *m_WaitingSince >= MaxWait &&
                          m_Memory->hasPrecedence(m_Reader));
}

bool ResponseBuffer::append(std::string_view Bytes) {
  const bool IsFirstRead =
      m_Bytes.empty() && Bytes.size() <= ClientMemory::ServerReadBytes;
  if (!IsFirstRead && !reserve(neededFor(Bytes.size())))
    return false;
  m_Bytes.append(Bytes);
  return true;
}

bool ResponseBuffer::reserve(std::size_t Bytes) {
  const std::size_t Held =
      std::max(m_Reservation.bytes(), ClientMemory::ServerReadBytes);
  if (Bytes <= Held)
    return true;
  if (m_Length > 0) {
    if (!m_Memory->reserveResponse(m_Reader, m_Reservation, Bytes))
      return false;
  } else {
    // The bytes are copied into a buffer of twice the size, so that for a
    // moment both exist.
    const std::size_t Copied = m_Bytes.size();
    const std::size_t Doubled = std::max(Bytes, 2 * Copied);
    if (m_Memory->reserveOpenResponse(m_Reader, m_Reservation,
                                      Doubled + Copied))
      Bytes = Doubled;
    else if (!m_Memory->hasPrecedence(m_Reader) ||
             !m_Memory->reserveOpenResponse(m_Reader, m_Reservation,
                                            Bytes + Copied))
      return false;
  }
  m_Bytes.reserve(Bytes);
  m_Reservation.set(std::max(Bytes, m_Bytes.capacity()));
  return true;
}

void ResponseBuffer::clear() {
  std::string().swap(m_Bytes);
  m_Reservation.set(0);
  m_Length = 0;
  m_WaitingSince.reset();
  m_Memory->endResponse(m_Reader);
}

ReservedBytes ResponseBuffer::take() {
  m_Memory->endResponse(m_Reader);
  m_Length = 0;
  // The rest of a large buffer has never been written to, so that the system
  // has provided no memory for it.
  if (m_Bytes.size() >= MinMappedBytes)
    m_Reservation.set(std::min(m_Reservation.bytes(), m_Bytes.size()));
  return {std::exchange(m_Bytes, std::string()), std::move(m_Reservation)};
}

} // namespace fulmarwinch
