#ifndef FULMARWINCH_SERVERS_ROUTING_NODE_ADMISSION_GATE_H
#define FULMARWINCH_SERVERS_ROUTING_NODE_ADMISSION_GATE_H

#include "servers/admission/slot_holder.h"
#include "servers/routing/admission_gate.h"
#include "servers/routing/routing_table.h"

namespace fulmarwinch {

/// Cold groups need a slot; on warm groups the node's own requests in flight
/// are bounded by the capacity that others leave, with a floor of one.
class NodeAdmissionGate : public AdmissionGate {
public:
  NodeAdmissionGate(RoutingTable &Table, SlotHolder &Slots);

  bool mayAdmit(const Candidate &Group, MonotonicTime Now) const override;
  bool tryAdmit(const Candidate &Group, MonotonicTime Now) override;
  /// Ends an attempt that tryAdmit() counted. \p UsedSlot tells whether the
  /// group was cold then.
  void end(const std::string &Group, bool UsedSlot,
           const std::optional<ObservedTimes> &Times);

private:
  static std::size_t ownLimit(const Candidate &Group);

  RoutingTable &m_Table;
  SlotHolder &m_Slots;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_NODE_ADMISSION_GATE_H
