#ifndef FULMARWINCH_SERVERS_IDEMPOTENCY_IDEMPOTENCY_KEY_H
#define FULMARWINCH_SERVERS_IDEMPOTENCY_IDEMPOTENCY_KEY_H

#include "core/time.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace fulmarwinch {

/// Value of the header Idempotency-Key: "<unix seconds>-<unique text>".
class IdempotencyKey {
public:
  /// A key that is older is refused, because its claim may be deleted.
  static constexpr UnixSeconds MaxAge = UnixSeconds(24) * 3600;
  /// Largest assumed difference between a caller's clock and a node's clock.
  static constexpr UnixSeconds MaxAhead = UnixSeconds(5) * 60;
  static constexpr std::size_t MaxUniqueLength = 128;

  static absl::StatusOr<IdempotencyKey> parse(std::string_view Text);

  /// Refuses a key that is too old or too far in the future at \p Now.
  absl::Status checkAge(UnixSeconds Now) const;

  UnixSeconds time() const { return m_Time; }
  const std::string &text() const { return m_Text; }

private:
  IdempotencyKey(UnixSeconds Time, std::string_view Text)
      : m_Time(Time), m_Text(Text) {}

  UnixSeconds m_Time;
  std::string m_Text;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_IDEMPOTENCY_IDEMPOTENCY_KEY_H
