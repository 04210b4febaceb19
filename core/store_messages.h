#ifndef FULMARWINCH_CORE_STORE_MESSAGES_H
#define FULMARWINCH_CORE_STORE_MESSAGES_H

#include "core/enum_names.h"
#include "core/store_position.h"

#include <array>
#include <cstdint>
#include <string>
#include <variant>

namespace fulmarwinch {

/// Version of an object in the platform's object API: the position of its last
/// change. The versions of a key only increase within one era of the store; a
/// default-constructed one means that the object does not exist.
using ObjectVersion = StorePosition;

/// ID of a store call, assigned by the code that requests the call. This code
/// does no I/O: its caller, the driver, executes the call and passes back the
/// result, which contains the same ID.
using StoreCallId = std::uint64_t;

/// Outcome of a store call, as far as the caller can tell from the response.
enum class StoreOutcome {
  /// The write took effect, or the read returned the object.
  Succeeded,
  /// The store rejected a conditional write because the version differs.
  Conflict,
  /// The object does not exist.
  NotFound,
  /// The call failed and had no effect.
  Unavailable,
  /// The call failed, but it may have taken effect or may still do so later.
  Unknown,
};

inline constexpr std::array<EnumName<StoreOutcome>, 5> StoreOutcomeNames{{
    {StoreOutcome::Succeeded, "applied"},
    {StoreOutcome::Conflict, "conflict"},
    {StoreOutcome::NotFound, "not_found"},
    {StoreOutcome::Unavailable, "unavailable"},
    {StoreOutcome::Unknown, "unknown"},
}};

/// Request to read one object.
struct GetObject {
  StoreCallId m_Id = 0;
  std::string m_Key;
};

/// Request to write one object if its current version is m_ExpectedVersion.
struct PutObject {
  StoreCallId m_Id = 0;
  std::string m_Key;
  ObjectVersion m_ExpectedVersion;
  std::string m_Value;
};

/// Request to delete one object if its current version is m_ExpectedVersion.
struct DeleteObject {
  StoreCallId m_Id = 0;
  std::string m_Key;
  ObjectVersion m_ExpectedVersion;
};

/// Store call that the driver has to execute.
using StoreAction = std::variant<GetObject, PutObject, DeleteObject>;

/// Result of GetObject: Succeeded, NotFound or Unavailable.
struct GetCompleted {
  StoreCallId m_Id = 0;
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  ObjectVersion m_Version;
  std::string m_Value;
  /// Era that the store named in its answer; 0 if there is no answer or it
  /// names none.
  StoreEra m_Era = 0;
};

/// Result of PutObject and DeleteObject: Succeeded, Conflict, NotFound,
/// Unavailable or Unknown. m_Version is the new version after Succeeded and, if
/// the platform returns it, the current version after Conflict.
struct WriteCompleted {
  StoreCallId m_Id = 0;
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  ObjectVersion m_Version;
  /// Era that the store named in its answer; 0 if there is no answer or it
  /// names none.
  StoreEra m_Era = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_STORE_MESSAGES_H
