#ifndef FULMARWINCH_SERVERS_CONFIGURATION_VM_DRAIN_H
#define FULMARWINCH_SERVERS_CONFIGURATION_VM_DRAIN_H

#include "core/json.h"

#include "absl/status/statusor.h"

#include <string>

namespace fulmarwinch {

/// Configuration entry that drains a VM: no new work is placed on the VM until
/// the entry is removed.
struct VmDrain {
  std::string m_Vm;
};

/// Parses an entry; error messages start with \p Path.
absl::StatusOr<VmDrain> parseVmDrain(const Json &Object,
                                     const std::string &Path);
Json toJson(const VmDrain &Value);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_CONFIGURATION_VM_DRAIN_H
