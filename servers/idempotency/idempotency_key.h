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
  /// Largest age of an accepted key. The claim of an older key may already be
  /// deleted.
  static constexpr UnixSeconds MaxAge = UnixSeconds(24) * 3600;
  /// How far in the future the time of an accepted key may be: the largest
  /// assumed skew between the clocks of a caller and of a node.
  static constexpr UnixSeconds MaxClockSkew = UnixSeconds(5) * 60;
  static constexpr std::size_t MaxUniqueTextLength = 128;

  /// Parses the value of the header. Fails if it is malformed; does not check
  /// the age.
  static absl::StatusOr<IdempotencyKey> parse(std::string_view Text);

  /// Returns an error if the key is too old or too far in the future at \p Now.
  absl::Status checkAge(UnixSeconds Now) const;

  /// Returns the time at which the caller made the key.
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
