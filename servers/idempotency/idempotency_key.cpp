#include "servers/idempotency/idempotency_key.h"
#include "core/error.h"

#include "fmt/format.h"

#include <algorithm>
#include <charconv>

namespace fulmarwinch {

namespace {

constexpr std::string_view FormRemedy =
    "send <unix seconds>-<unique text>, for example 1767225600-payout-81f3";

bool isUniqueTextCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '_' || Character == '.' || Character == ':';
}

absl::Status invalid(std::string_view Problem) {
  return makeError(ErrorKind::InvalidArgument, Problem, FormRemedy);
}

} // namespace

absl::StatusOr<IdempotencyKey> IdempotencyKey::parse(std::string_view Text) {
  if (Text.empty())
    return invalid("Idempotency-Key is missing");
  const std::size_t Dash = Text.find('-');
  if (Dash == std::string_view::npos)
    return invalid("Idempotency-Key has no '-' after the unix seconds");
  UnixSeconds Time = 0;
  const char *End = Text.data() + Dash;
  const auto [Stop, Code] = std::from_chars(Text.data(), End, Time);
  if (Dash == 0 || Code != std::errc() || Stop != End || Time < 0)
    return invalid("Idempotency-Key does not start with unix seconds");
  const std::string_view Unique = Text.substr(Dash + 1);
  if (Unique.empty())
    return invalid("Idempotency-Key has no unique text after the unix seconds");
  if (Unique.size() > MaxUniqueLength)
    return invalid(
        fmt::format("Idempotency-Key has {} characters of unique text, at "
                    "most {} are allowed",
                    Unique.size(), MaxUniqueLength));
  if (!std::all_of(Unique.begin(), Unique.end(), isUniqueTextCharacter))
    return invalid("Idempotency-Key has a character that is not a letter, a "
                   "digit or one of -_.:");
  return IdempotencyKey(Time, Text);
}

absl::Status IdempotencyKey::checkAge(UnixSeconds Now) const {
  // The comparisons are written so that no difference can overflow.
  if (m_Time < Now - MaxAge)
    return makeError(
        ErrorKind::KeyExpired,
        fmt::format("Idempotency-Key is {} s old, at most {} s are allowed; "
                    "this attempt did not run, the outcome of earlier "
                    "attempts is no longer known",
                    Now - m_Time, MaxAge),
        "check at the service whether the request ran before sending it with "
        "a new key");
  if (m_Time > Now + MaxAhead)
    return makeError(
        ErrorKind::InvalidArgument,
        fmt::format("Idempotency-Key is {} s in the future, at most {} s are "
                    "allowed",
                    m_Time - Now, MaxAhead),
        "correct the clock of the caller and send a key with the current time");
  return absl::OkStatus();
}

} // namespace fulmarwinch
