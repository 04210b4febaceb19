#ifndef FULMARWINCH_CORE_ERROR_H
#define FULMARWINCH_CORE_ERROR_H

#include "core/enum_names.h"

#include "absl/status/status.h"

#include <array>
#include <string_view>

namespace fulmarwinch {

/// Kinds of errors that callers and operators need to distinguish.
enum class ErrorKind {
  InvalidArgument,
  Unauthenticated,
  Forbidden,
  NotFound,
  Conflict,
  LimitExceeded,
  Overloaded,
  NoCapacity,
  DeadlineTooShort,
  StoreUnavailable,
  Isolated,
  Quarantined,
  KeyReused,
  KeyExpired,
  InProgress,
  OutcomeUnknown,
  UpstreamFailed,
  Internal,
};

inline constexpr std::array<EnumName<ErrorKind>, 18> ErrorKindNames{{
    {ErrorKind::InvalidArgument, "invalid_argument"},
    {ErrorKind::Unauthenticated, "unauthenticated"},
    {ErrorKind::Forbidden, "forbidden"},
    {ErrorKind::NotFound, "not_found"},
    {ErrorKind::Conflict, "conflict"},
    {ErrorKind::LimitExceeded, "limit_exceeded"},
    {ErrorKind::Overloaded, "overloaded"},
    {ErrorKind::NoCapacity, "no_capacity"},
    {ErrorKind::DeadlineTooShort, "deadline_too_short"},
    {ErrorKind::StoreUnavailable, "store_unavailable"},
    {ErrorKind::Isolated, "isolated"},
    {ErrorKind::Quarantined, "quarantined"},
    {ErrorKind::KeyReused, "key_reused"},
    {ErrorKind::KeyExpired, "key_expired"},
    {ErrorKind::InProgress, "in_progress"},
    {ErrorKind::OutcomeUnknown, "outcome_unknown"},
    {ErrorKind::UpstreamFailed, "upstream_failed"},
    {ErrorKind::Internal, "internal"},
}};

/// Returns a status whose message is "<Problem>; <Remedy>" and that carries
/// \p Kind as a payload.
absl::Status makeError(ErrorKind Kind, std::string_view Problem,
                       std::string_view Remedy);

/// Returns the kind that makeError() stored in \p Status, or Internal for a
/// status that was not created by makeError().
ErrorKind errorKind(const absl::Status &Status);

/// Returns the HTTP status code with which \p Kind is reported to a client.
int httpStatus(ErrorKind Kind);

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_ERROR_H
