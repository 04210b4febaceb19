#ifndef FULMARWINCH_RANDOMISED_REQUEST_PATH_H
#define FULMARWINCH_RANDOMISED_REQUEST_PATH_H

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
class RequestPath {
public:
  RequestPath(const std::string &Writer, int Starts)
      : m_NodeStartCount(Starts), m_SlotHolder(Writer),
        m_AdmissionGate(m_RoutingTable, m_SlotHolder),
        m_Router(m_RoutingTable, m_OutlierTracker, m_AdmissionGate,
                 std::move(*makeStrategy("affinity", {}))) {}
  RequestPath(const RequestPath &) = delete;
  RequestPath &operator=(const RequestPath &) = delete;

  int m_NodeStartCount;
  RoutingTable m_RoutingTable;
  OutlierTracker m_OutlierTracker;
  NodeSlots m_SlotHolder;
  NodeAdmissionGate m_AdmissionGate;
  Router m_Router;
  PoisonDetector m_PoisonDetector;
  std::map<std::string, SlotGranter> m_SlotGranters;
  /// Publication time in ms of the newest view received of each group.
  std::map<std::string, std::int64_t> m_NewestViewPublishedAt;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_REQUEST_PATH_H
