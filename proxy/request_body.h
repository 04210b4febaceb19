#ifndef FULMARWINCH_PROXY_REQUEST_BODY_H
#define FULMARWINCH_PROXY_REQUEST_BODY_H

#include "drivers/http/http_message.h"
#include "proxy/memory_budget.h"

#include <memory>
#include <string>
#include <string_view>

namespace fulmarwinch {

/// Body of a request, with the memory that is reserved for it.
struct RequestBody {
  explicit RequestBody(std::shared_ptr<MemoryBudget> Budget = nullptr)
      : m_Reservation(std::move(Budget)) {}

  /// Provides memory for a body whose length \p Headers state.
  void expect(const HttpHeaders &Headers, std::size_t MaxBytes);
  /// Adds \p Bytes, unless the body then exceeds \p MaxBytes or there is no
  /// memory for it.
  void append(std::string_view Bytes, std::size_t MaxBytes);

  std::string m_Bytes;
  MemoryReservation m_Reservation;
  bool m_IsTooLarge = false;
  /// There is no memory for the body.
  bool m_IsRefused = false;

private:
  void reserve(std::size_t Bytes);
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_REQUEST_BODY_H
