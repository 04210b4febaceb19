#include "node/data_path.h"

#include <random>

namespace fulmarwinch {

namespace {

std::mt19937_64 &threadLocalRandom() {
  thread_local std::mt19937_64 Random{std::random_device{}()};
  return Random;
}

} // namespace

DataPath::DataPath(const std::string &NodeIncarnation,
                   std::unique_ptr<SelectionStrategy> Strategy,
                   Metrics &NodeMetrics)
    : m_Metrics(NodeMetrics), m_NodeSlots(NodeIncarnation),
      m_AdmissionGate(m_RoutingTable, m_NodeSlots,
                      NodeAdmissionGate::WarmGroupQueueShare),
      m_Router(m_RoutingTable, m_OutlierTracker, m_AdmissionGate,
               std::move(Strategy)),
      m_Configuration(std::make_shared<const ActiveConfiguration>()) {}

void DataPath::setConfiguration(ActiveConfiguration Configuration) {
  std::atomic_store(
      &m_Configuration,
      std::make_shared<const ActiveConfiguration>(std::move(Configuration)));
}

std::shared_ptr<const ActiveConfiguration> DataPath::configuration() const {
  return std::atomic_load(&m_Configuration);
}

absl::StatusOr<RouteDecision> DataPath::route(const RouteRequest &Request,
                                              MonotonicTime Now) {
  const auto Configuration = configuration();
  return m_Router.route(Request, Configuration->m_ZonesOutOfService, Now,
                        threadLocalRandom());
}

void DataPath::endAttempt(const RouteDecision &Decision,
                          const std::optional<ObservedTimes> &Times) {
  m_AdmissionGate.endAttempt(Decision.m_View->m_Group, Decision.m_UsesSlot,
                             Times);
}

bool DataPath::isServing(const GroupView &View, MonotonicTime Now) const {
  for (const Candidate &Group : m_RoutingTable.candidates(View.m_Deployment))
    if (Group.m_View->m_Group == View.m_Group)
      return Group.m_View->m_Generation == View.m_Generation &&
             Group.m_View->m_ViewExpiry > Now;
  return false;
}

bool DataPath::tryAcquireRetry(const std::string &BudgetKey,
                               MonotonicTime Now) {
  const std::lock_guard<std::mutex> Guard(m_RetryBudgetMutex);
  return m_RetryBudgets[BudgetKey].tryAcquire(Now);
}

void DataPath::recordSuccess(const std::string &BudgetKey) {
  const std::lock_guard<std::mutex> Guard(m_RetryBudgetMutex);
  m_RetryBudgets[BudgetKey].onSuccess();
}

} // namespace fulmarwinch
