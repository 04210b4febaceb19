#include "servers/idempotency/claim_messages.h"
#include "core/error.h"

namespace fulmarwinch {

absl::Status claimStatus(ClaimResultKind Kind) {
  switch (Kind) {
  case ClaimResultKind::Granted:
  case ClaimResultKind::AlreadyDone:
    return absl::OkStatus();
  case ClaimResultKind::InProgress:
    return makeError(ErrorKind::InProgress,
                     "another attempt with this Idempotency-Key is in progress",
                     "send the same request again later to get its outcome");
  case ClaimResultKind::Unknown:
    return makeError(
        ErrorKind::OutcomeUnknown,
        "an earlier attempt with this Idempotency-Key may have run; its "
        "outcome is unknown",
        "check at the service whether it ran before sending a new key");
  case ClaimResultKind::KeyReused:
    return makeError(
        ErrorKind::KeyReused,
        "this Idempotency-Key was used with another request body; this "
        "attempt did not run",
        "send a new key for a new request");
  case ClaimResultKind::Expired:
    return makeError(ErrorKind::KeyExpired,
                     "this Idempotency-Key is older than 24 h; this attempt "
                     "did not run",
                     "check at the service whether an earlier attempt ran "
                     "before sending a new key");
  case ClaimResultKind::StoreUnavailable:
    return makeError(ErrorKind::StoreUnavailable,
                     "the claim could not be stored; this attempt did not run",
                     "send the request again with the same key");
  case ClaimResultKind::BucketFull:
    return makeError(ErrorKind::LimitExceeded,
                     "the claim bucket of this key is full; this attempt did "
                     "not run",
                     "send the request again with a new key, or ask the "
                     "operator to raise the number of claim buckets");
  }
  return makeError(ErrorKind::Internal, "unknown claim result", "");
}

} // namespace fulmarwinch
