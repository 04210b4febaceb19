#ifndef FULMARWINCH_RANDOMISED_REQUEST_NODE_H
#define FULMARWINCH_RANDOMISED_REQUEST_NODE_H

#include "servers/admission/slot_granter.h"
#include "servers/retry/poison_detector.h"
#include "servers/routing/node_admission_gate.h"
#include "servers/routing/outlier_tracker.h"
#include "servers/routing/router.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// Routing, admission and retry state of one node's request path, and the slot
/// granter of each control shard whose lease the node holds.
class RequestNode {
public:
  RequestNode(const std::string &Writer, int Starts)
      : m_Starts(Starts), m_Slots(Writer), m_Gate(m_Table, m_Slots),
        m_Router(m_Table, m_Outliers, m_Gate,
                 std::move(*makeStrategy("affinity", {}))) {}
  RequestNode(const RequestNode &) = delete;
  RequestNode &operator=(const RequestNode &) = delete;

  int m_Starts;
  RoutingTable m_Table;
  OutlierTracker m_Outliers;
  SlotHolder m_Slots;
  NodeAdmissionGate m_Gate;
  Router m_Router;
  PoisonDetector m_Poison;
  std::map<std::string, SlotGranter> m_Granters;
  /// Publication time in ms of the newest view received of each group.
  std::map<std::string, std::int64_t> m_ViewAt;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_REQUEST_NODE_H
