#include "node/data_path.h"

#include <random>

namespace fulmarwinch {

namespace {

std::mt19937_64 &threadRandom() {
  thread_local std::mt19937_64 Random{std::random_device{}()};
  return Random;
}

} // namespace

DataPath::DataPath(const std::string &Node,
                   std::unique_ptr<SelectionStrategy> Strategy,
                   Metrics &Figures)
    : m_Metrics(Figures), m_Slots(Node),
      m_Gate(m_Table, m_Slots, NodeAdmissionGate::UsualQueueShare),
      m_Router(m_Table, m_Outliers, m_Gate, std::move(Strategy)),
      m_Configuration(std::make_shared<const ConfigurationInForce>()) {}

void DataPath::setConfiguration(ConfigurationInForce Configuration) {
  std::atomic_store(
      &m_Configuration,
      std::make_shared<const ConfigurationInForce>(std::move(Configuration)));
}

std::shared_ptr<const ConfigurationInForce> DataPath::configuration() const {
  return std::atomic_load(&m_Configuration);
}

absl::StatusOr<RouteDecision> DataPath::route(const RouteRequest &Request,
                                              MonotonicTime Now) {
  const auto Configuration = configuration();
  return m_Router.route(Request, Configuration->m_ZonesOut, Now,
                        threadRandom());
}

void DataPath::endAttempt(const RouteDecision &Decision,
                          const std::optional<ObservedTimes> &Times) {
  m_Gate.end(Decision.m_View->m_Group, Decision.m_UsesSlot, Times);
}

bool DataPath::isServing(const GroupView &View, MonotonicTime Now) const {
  for (const Candidate &Group : m_Table.candidates(View.m_Deployment))
    if (Group.m_View->m_Group == View.m_Group)
      return Group.m_View->m_Generation == View.m_Generation &&
             Group.m_View->m_ViewExpiry > Now;
  return false;
}

bool DataPath::tryRetry(const std::string &Deployment, MonotonicTime Now) {
  const std::lock_guard<std::mutex> Guard(m_BudgetMutex);
  return m_Budgets[Deployment].tryRetry(Now);
}

void DataPath::onSuccess(const std::string &Deployment) {
  const std::lock_guard<std::mutex> Guard(m_BudgetMutex);
  m_Budgets[Deployment].onSuccess();
}

} // namespace fulmarwinch
