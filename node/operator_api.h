#ifndef FULMARWINCH_NODE_OPERATOR_API_H
#define FULMARWINCH_NODE_OPERATOR_API_H

#include "core/metrics.h"
#include "core/object_store.h"
#include "drivers/http/http_server.h"
#include "node/configuration_service.h"
#include "node/group_control.h"
#include "node/node_settings.h"
#include "node/task_thread.h"
#include "node/view_receiver.h"
#include "servers/audit/audit_trail.h"
#include "servers/planning/plan_confirmation.h"
#include "servers/planning/plan_recorder.h"
#include "servers/planning/planner.h"

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <string>

namespace fulmarwinch {

/// Components of a node that the operator API reads or changes.
struct OperatorApiContext {
  const NodeSettings &m_Settings;
  ObjectStore &m_Store;
  TaskThread &m_ControlThread;
  PeerService &m_Peers;
  ConfigurationService &m_Configuration;
  GroupControl &m_GroupControl;
  const ViewReceiver &m_ViewReceiver;
  Metrics &m_Metrics;
  /// Returns true if the node accepts new requests.
  std::function<bool()> m_AcceptsNewWork;
};

/// HTTP API for operators: intents, plans, configuration, status, audit trail
/// and metrics. Requests that need authentication are handled on the control
/// thread.
class OperatorApi {
public:
  /// \p Writer must be unique for each start of the process.
  OperatorApi(OperatorApiContext Context, const std::string &Writer);

  absl::Status start();
  /// Stops the HTTP server; \p Release is described at HttpServer::stop().
  void stop(const std::function<void()> &Release);
  /// Discards the plan confirmations in progress and their HTTP exchanges.
  void discardConfirmations() { m_Confirmations.clear(); }
  /// Continues audit writes and plan confirmations. Must be called every 50 ms.
  void tick(MonotonicTime Now);

  /// Adds \p Record to the audit trail; it is written on a later tick.
  void audit(AuditRecord Record);
  /// Returns true if no audit record is waiting to be written.
  bool isAuditIdle() const { return m_Audit.isIdle(); }

private:
  struct Request {
    HttpExchangePtr m_Exchange;
    Operator m_Operator;
    /// Path after the prefix of the route.
    std::string m_PathSuffix;
  };
  using Handler = void (OperatorApi::*)(const Request &);
  struct Route {
    const char *m_Method;
    const char *m_Path;
    bool m_IsPrefix;
    OperatorRole m_Role;
    Handler m_Handler;
  };
  using EventHandler =
      std::function<std::vector<StoreAction>(const StoreCompletion &)>;

  void handle(const HttpExchangePtr &Exchange);
  /// Answers the paths that need no API key. Returns false for all others.
  bool handleUnauthenticated(const HttpExchangePtr &Exchange);
  void dispatch(const HttpExchangePtr &Exchange);
  void respond(const Request &Call, const Json &Body);
  void refuse(const HttpExchangePtr &Exchange, const absl::Status &Reason);

  void handleIntent(const Request &Call);
  void handleReadPlan(const Request &Call);
  void handleConfirmPlan(const Request &Call);
  void showPlan(const Request &Call, const std::string &Id);
  void handleConfiguration(const Request &Call);
  void handleStatus(const Request &Call);
  void handleAudit(const Request &Call);

  void makePlan(const Request &Call, const Json &Intent,
                const AssignmentSummary &Assignment);
  void onPlanStored(const Request &Call, const Plan &NewPlan,
                    const absl::Status &Result);
  void onConfirmed(const Request &Call, const PlanConfirmation &Confirmation);
  void readAssignmentSummary(std::function<void(AssignmentSummary)> OnDone);
  /// Adds the data that assignment objects do not contain: the availability
  /// zone of each VM, without which a plan to take a zone out of service would
  /// show no effect, and the running requests of each group.
  void addLiveState(AssignmentSummary &Summary) const;
  /// Starts \p Actions and, for each completion, the actions that \p OnEvent
  /// returns.
  void executeStoreActions(std::vector<StoreAction> Actions,
                           const EventHandler &OnEvent);
  Json statusJson(MonotonicTime Now) const;

  static const std::array<Route, 6> Routes;

  OperatorApiContext m_Context;
  std::string m_Writer;
  HttpServer m_Server;
  AuditTrail m_Audit;
  std::mt19937_64 m_Random{std::random_device{}()};
  std::uint64_t m_NextPlanNumber = 1;
  /// A plan confirmation in progress and the handler of its store events.
  struct RunningConfirmation {
    std::shared_ptr<PlanConfirmation> m_Confirmation;
    EventHandler m_OnEvent;
  };
  std::list<RunningConfirmation> m_Confirmations;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_OPERATOR_API_H
