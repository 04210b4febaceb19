#ifndef FULMARWINCH_CORE_STORE_MESSAGES_H
#define FULMARWINCH_CORE_STORE_MESSAGES_H

#include "core/enum_names.h"

#include <array>
#include <cstdint>
#include <string>
#include <variant>

namespace fulmarwinch {

/// Version of an object in the platform's object API. Versions of one key
/// only grow; 0 stands for an object that does not exist.
using ObjectVersion = std::uint64_t;

/// Identifies one store call of one decision module. The module chooses the
/// number and finds it again in the answer.
using StoreCallId = std::uint64_t;

/// What is known about a store call after it ended.
enum class StoreOutcome {
  /// The call took effect; a read returned the object.
  Applied,
  /// A conditional update was refused because the version differs.
  Conflict,
  /// The object does not exist.
  NotFound,
  /// The call certainly had no effect.
  Unavailable,
  /// The call may have taken effect, or may still take effect later.
  Unknown,
};

inline constexpr std::array<EnumName<StoreOutcome>, 5> StoreOutcomeNames{{
    {StoreOutcome::Applied, "applied"},
    {StoreOutcome::Conflict, "conflict"},
    {StoreOutcome::NotFound, "not_found"},
    {StoreOutcome::Unavailable, "unavailable"},
    {StoreOutcome::Unknown, "unknown"},
}};

/// Reads one object.
struct GetObject {
  StoreCallId m_Id = 0;
  std::string m_Key;
};

/// Writes one object if its current version is m_ExpectedVersion.
struct PutObject {
  StoreCallId m_Id = 0;
  std::string m_Key;
  ObjectVersion m_ExpectedVersion = 0;
  std::string m_Value;
};

/// Deletes one object if its current version is m_ExpectedVersion.
struct DeleteObject {
  StoreCallId m_Id = 0;
  std::string m_Key;
  ObjectVersion m_ExpectedVersion = 0;
};

/// A call that a decision module wants its driver to carry out.
using StoreAction = std::variant<GetObject, PutObject, DeleteObject>;

/// Answer to GetObject: Applied, NotFound or Unavailable.
struct GetCompleted {
  StoreCallId m_Id = 0;
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  ObjectVersion m_Version = 0;
  std::string m_Value;
};

/// Answer to PutObject and DeleteObject: Applied, Conflict, NotFound,
/// Unavailable or Unknown. m_Version is the new version if it was applied and
/// the current version, where the platform tells it, on a conflict.
struct PutCompleted {
  StoreCallId m_Id = 0;
  StoreOutcome m_Outcome = StoreOutcome::Unavailable;
  ObjectVersion m_Version = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_STORE_MESSAGES_H
