#ifndef FULMARWINCH_SERVERS_GROUPS_ASSIGNMENT_CODEC_H
#define FULMARWINCH_SERVERS_GROUPS_ASSIGNMENT_CODEC_H

#include "servers/groups/assignment.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace fulmarwinch {

/// Parses and validates the value of an assignment object.
absl::StatusOr<Assignment> parseAssignment(std::string_view Text);

/// Returns the value to store for \p Value.
std::string serialiseAssignment(const Assignment &Value);

/// Key of the assignment object of \p Domain.
std::string assignmentKey(std::string_view Domain);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_ASSIGNMENT_CODEC_H
