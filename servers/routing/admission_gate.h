#ifndef FULMARWINCH_SERVERS_ROUTING_ADMISSION_GATE_H
#define FULMARWINCH_SERVERS_ROUTING_ADMISSION_GATE_H

#include "servers/routing/group_view.h"

namespace fulmarwinch {

/// Decides whether this node may send a request to a group now.
class AdmissionGate {
public:
  virtual ~AdmissionGate() = default;
  /// The request could be admitted; nothing is counted yet.
  virtual bool mayAdmit(const Candidate &Group, MonotonicTime Now) const = 0;
  /// Counts the request if it may be sent. Checked and counted in one step.
  virtual bool tryAdmit(const Candidate &Group, MonotonicTime Now) = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_ADMISSION_GATE_H
