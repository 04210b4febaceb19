#include "core/error.h"

#include "absl/status/statusor.h"
#include "absl/strings/cord.h"
#include "fmt/format.h"

#include <optional>
#include <string>

namespace fulmarwinch {

namespace {

constexpr const char *KindPayloadUrl = "fulmarwinch/error-kind";

struct KindCodes {
  ErrorKind m_Kind;
  absl::StatusCode m_Code;
  int m_HttpStatus;
};

constexpr std::array<KindCodes, 18> CodesByKind{{
    {ErrorKind::InvalidArgument, absl::StatusCode::kInvalidArgument, 400},
    {ErrorKind::Unauthenticated, absl::StatusCode::kUnauthenticated, 401},
    {ErrorKind::Forbidden, absl::StatusCode::kPermissionDenied, 403},
    {ErrorKind::NotFound, absl::StatusCode::kNotFound, 404},
    {ErrorKind::Conflict, absl::StatusCode::kAborted, 409},
    {ErrorKind::LimitExceeded, absl::StatusCode::kResourceExhausted, 429},
    {ErrorKind::Overloaded, absl::StatusCode::kResourceExhausted, 429},
    {ErrorKind::NoCapacity, absl::StatusCode::kUnavailable, 503},
    {ErrorKind::DeadlineTooShort, absl::StatusCode::kDeadlineExceeded, 503},
    {ErrorKind::StoreUnavailable, absl::StatusCode::kUnavailable, 503},
    {ErrorKind::Isolated, absl::StatusCode::kUnavailable, 503},
    {ErrorKind::Quarantined, absl::StatusCode::kFailedPrecondition, 422},
    {ErrorKind::KeyReused, absl::StatusCode::kAlreadyExists, 422},
    {ErrorKind::KeyExpired, absl::StatusCode::kOutOfRange, 422},
    {ErrorKind::InProgress, absl::StatusCode::kAborted, 409},
    {ErrorKind::OutcomeUnknown, absl::StatusCode::kUnknown, 502},
    {ErrorKind::UpstreamFailed, absl::StatusCode::kUnavailable, 502},
    {ErrorKind::Internal, absl::StatusCode::kInternal, 500},
}};

const KindCodes &codesOf(ErrorKind Kind) {
  for (const KindCodes &Codes : CodesByKind)
    if (Codes.m_Kind == Kind)
      return Codes;
  return CodesByKind.back();
}

} // namespace

absl::Status makeError(ErrorKind Kind, std::string_view Problem,
                       std::string_view Remedy) {
  const std::string Message = Remedy.empty()
                                  ? std::string(Problem)
                                  : fmt::format("{}; {}", Problem, Remedy);
  absl::Status Status(codesOf(Kind).m_Code, Message);
  Status.SetPayload(KindPayloadUrl,
                    absl::Cord(std::string(nameOf(ErrorKindNames, Kind))));
  return Status;
}

ErrorKind errorKind(const absl::Status &Status) {
  const absl::optional<absl::Cord> Payload = Status.GetPayload(KindPayloadUrl);
  if (!Payload)
    return ErrorKind::Internal;
  return valueOf(ErrorKindNames, std::string(*Payload))
      .value_or(ErrorKind::Internal);
}

int httpStatus(ErrorKind Kind) { return codesOf(Kind).m_HttpStatus; }

} // namespace fulmarwinch
