#include "proxy/request_body.h"
#include "core/text.h"

#include <algorithm>
#include <cstdint>

namespace fulmarwinch {

void RequestBody::expect(const HttpHeaders &Headers, std::size_t MaxBytes) {
  std::uint64_t Length = 0;
  if (parseNumber(findHeader(Headers, "Content-Length").value_or(""), Length))
    reserve(
        static_cast<std::size_t>(std::min<std::uint64_t>(Length, MaxBytes)));
}

void RequestBody::append(std::string_view Bytes, std::size_t MaxBytes) {
  const std::size_t Size = m_Bytes.size() + Bytes.size();
  if (Size > MaxBytes) {
    m_IsTooLarge = true;
    return;
  }
  // The size of a body in chunks is not known before.
  if (Size > m_Bytes.capacity())
    reserve(std::min<std::size_t>(std::max(Size, 2 * m_Bytes.capacity()),
                                  MaxBytes));
  if (!m_IsRefused)
    m_Bytes.append(Bytes);
}

void RequestBody::reserve(std::size_t Bytes) {
  // Bytes that have arrived are copied, and exist twice for a moment.
  m_IsRefused = m_IsRefused || !m_Reservation.growTo(Bytes + m_Bytes.size());
  if (m_IsRefused)
    return;
  m_Bytes.reserve(Bytes);
  m_Reservation.set(std::max(Bytes, m_Bytes.capacity()));
}

} // namespace fulmarwinch
