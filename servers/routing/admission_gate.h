#ifndef FULMARWINCH_SERVERS_ROUTING_ADMISSION_GATE_H
#define FULMARWINCH_SERVERS_ROUTING_ADMISSION_GATE_H

#include "servers/routing/group_view.h"

namespace fulmarwinch {

/// Decides whether this node may dispatch a request to a group now.
class AdmissionGate {
public:
  virtual ~AdmissionGate() = default;
  /// Returns true if a request to \p Group would be admitted; does not count
  /// it.
  virtual bool canAdmit(const Candidate &Group, MonotonicTime Now) const = 0;
  /// Admits and counts a request to \p Group in one atomic step. Returns false
  /// if the group has no free capacity or slot for this node.
  virtual bool tryAdmit(const Candidate &Group, MonotonicTime Now) = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_ADMISSION_GATE_H
