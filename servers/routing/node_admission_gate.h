#ifndef FULMARWINCH_SERVERS_ROUTING_NODE_ADMISSION_GATE_H
#define FULMARWINCH_SERVERS_ROUTING_NODE_ADMISSION_GATE_H

#include "servers/admission/slot_holder.h"
#include "servers/routing/admission_gate.h"
#include "servers/routing/routing_table.h"

namespace fulmarwinch {

/// Cold groups need a slot; on warm groups the node's own requests in flight
/// are bounded by the capacity, and a queue of \p QueueShare of it, that others
/// leave, with a floor of one.
class NodeAdmissionGate : public AdmissionGate {
public:
  /// Measured share of the capacity that may queue at a warm group. Without a
  /// queue there, requests of a nearly full fleet go to any group with a free
  /// place, which replaces its cached prefixes and makes all groups slower.
  static constexpr double UsualQueueShare = 0.5;

  NodeAdmissionGate(RoutingTable &Table, SlotHolder &Slots,
                    double QueueShare = 0);

  bool mayAdmit(const Candidate &Group, MonotonicTime Now) const override;
  bool tryAdmit(const Candidate &Group, MonotonicTime Now) override;
  /// Ends an attempt that tryAdmit() counted. \p UsedSlot tells whether the
  /// group was cold then.
  void end(const std::string &Group, bool UsedSlot,
           const std::optional<ObservedTimes> &Times);

private:
  std::size_t ownLimit(const Candidate &Group) const;

  RoutingTable &m_Table;
  SlotHolder &m_Slots;
  double m_QueueShare;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_NODE_ADMISSION_GATE_H
