#ifndef FULMARWINCH_SERVERS_GROUPS_ASSIGNMENT_CODEC_H
#define FULMARWINCH_SERVERS_GROUPS_ASSIGNMENT_CODEC_H

#include "servers/groups/assignment.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace fulmarwinch {

/// Parses and validates the JSON text of an assignment object. Returns an error
/// if the text is not JSON or violates a structural invariant.
absl::StatusOr<Assignment> parseAssignment(std::string_view Text);

/// Returns the JSON text to store for \p Content.
std::string serialiseAssignment(const Assignment &Content);

/// Returns the store key of the assignment object of \p Domain.
std::string assignmentKey(std::string_view Domain);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_ASSIGNMENT_CODEC_H
