#include "servers/idempotency/idempotency_key.h"
#include "core/error.h"

#include "fmt/format.h"

#include <algorithm>
#include <charconv>

namespace fulmarwinch {

namespace {

constexpr std::string_view FormatRemedy =
    "send <unix seconds>-<unique text>, for example 1767225600-payout-81f3";

bool isUniqueTextCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '_' || Character == '.' || Character == ':';
}

absl::Status invalidKeyError(std::string_view Problem) {
  return makeError(ErrorKind::InvalidArgument, Problem, FormatRemedy);
}

} // namespace

absl::StatusOr<IdempotencyKey> IdempotencyKey::parse(std::string_view Text) {
  if (Text.empty())
    return invalidKeyError("Idempotency-Key is missing");
  const std::size_t DashPosition = Text.find('-');
  if (DashPosition == std::string_view::npos)
    return invalidKeyError("Idempotency-Key has no '-' after the unix seconds");
  UnixSeconds Time = 0;
  const char *SecondsEnd = Text.data() + DashPosition;
  const auto [ParsedEnd, ParseError] =
      std::from_chars(Text.data(), SecondsEnd, Time);
  if (DashPosition == 0 || ParseError != std::errc() ||
      ParsedEnd != SecondsEnd || Time < 0)
    return invalidKeyError("Idempotency-Key does not start with unix seconds");
  const std::string_view UniqueText = Text.substr(DashPosition + 1);
  if (UniqueText.empty())
    return invalidKeyError(
        "Idempotency-Key has no unique text after the unix seconds");
  if (UniqueText.size() > MaxUniqueTextLength)
    return invalidKeyError(
        fmt::format("Idempotency-Key has {} characters of unique text, at "
                    "most {} are allowed",
                    UniqueText.size(), MaxUniqueTextLength));
  if (!std::all_of(UniqueText.begin(), UniqueText.end(), isUniqueTextCharacter))
    return invalidKeyError(
        "Idempotency-Key has a character that is not a letter, a "
        "digit or one of -_.:");
  return IdempotencyKey(Time, Text);
}

absl::Status IdempotencyKey::checkAge(UnixSeconds Now) const {
  // A caller can choose any m_Time, so it is not subtracted before the
  // comparison: the difference could overflow.
  if (m_Time < Now - MaxAge)
    return makeError(
        ErrorKind::KeyExpired,
        fmt::format("Idempotency-Key is {} s old, at most {} s are allowed; "
                    "this attempt did not run, the outcome of earlier "
                    "attempts is no longer known",
                    Now - m_Time, MaxAge),
        "check at the service whether the request ran before sending it with "
        "a new key");
  if (m_Time > Now + MaxClockSkew)
    return makeError(
        ErrorKind::InvalidArgument,
        fmt::format("Idempotency-Key is {} s in the future, at most {} s are "
                    "allowed",
                    m_Time - Now, MaxClockSkew),
        "correct the clock of the caller and send a key with the current time");
  return absl::OkStatus();
}

} // namespace fulmarwinch
