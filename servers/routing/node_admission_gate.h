#ifndef FULMARWINCH_SERVERS_ROUTING_NODE_ADMISSION_GATE_H
#define FULMARWINCH_SERVERS_ROUTING_NODE_ADMISSION_GATE_H

#include "servers/admission/node_slots.h"
#include "servers/routing/admission_gate.h"
#include "servers/routing/routing_table.h"

namespace fulmarwinch {

/// Admission by this node. A request to a cold group needs a slot. On a warm
/// group this node's requests in flight are limited to (1 + \p QueueShare)
/// times the group's capacity, less the requests that other nodes have there,
/// but at least one.
class NodeAdmissionGate : public AdmissionGate {
public:
  /// Queue length at a warm group as a share of its capacity. Without a queue
  /// at the groups, a nearly full fleet sends each request to any group with
  /// free capacity, which evicts the prefixes cached there and slows all groups
  /// down.
  static constexpr double WarmGroupQueueShare = 0.5;

  NodeAdmissionGate(RoutingTable &Table, NodeSlots &Slots,
                    double QueueShare = 0);

  bool canAdmit(const Candidate &Group, MonotonicTime Now) const override;
  bool tryAdmit(const Candidate &Group, MonotonicTime Now) override;
  /// Must be called when an attempt that tryAdmit() admitted has ended. The
  /// attempt no longer counts as in flight. \p UsedSlot releases its slot; it
  /// must be set if the group was cold at admission. \p Times are the observed
  /// response times, if the attempt received tokens.
  void endAttempt(const std::string &Group, bool UsedSlot,
                  const std::optional<ObservedTimes> &Times);

private:
  /// Returns how many requests of this node may be in flight on a warm group.
  std::size_t localLimit(const Candidate &Group) const;

  RoutingTable &m_Table;
  NodeSlots &m_Slots;
  double m_QueueShare;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTING_NODE_ADMISSION_GATE_H
