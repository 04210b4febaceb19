#ifndef FULMARWINCH_NODE_OPERATOR_API_H
#define FULMARWINCH_NODE_OPERATOR_API_H

#include "core/metrics.h"
#include "core/object_store.h"
#include "drivers/http/http_server.h"
#include "node/configuration_service.h"
#include "node/control_thread.h"
#include "node/group_control.h"
#include "node/node_settings.h"
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

/// Parts of a node that the operator endpoints show or change.
struct OperatorApiParts {
  const NodeSettings &m_Settings;
  ObjectStore &m_Store;
  ControlThread &m_Control;
  PeerService &m_Peers;
  ConfigurationService &m_Configuration;
  GroupControl &m_Groups;
  const ViewReceiver &m_Views;
  Metrics &m_Metrics;
  /// Tells whether the node accepts new work.
  std::function<bool()> m_IsReady;
};

/// Serves operators: intents, plans, status, audit trail, metrics. Requests
/// are handled on the control thread.
class OperatorApi {
public:
  /// \p Writer has to differ for every start of the process.
  OperatorApi(OperatorApiParts Parts, const std::string &Writer);

  absl::Status start();
  /// See HttpServer::stop().
  void stop(const std::function<void()> &Release);
  /// Drops the confirmations in progress with their exchanges.
  void dropWaiting() { m_Confirmations.clear(); }
  /// To be called every 50 ms.
  void tick(MonotonicTime Now);

  void audit(AuditRecord Record);
  bool isAuditIdle() const { return m_Audit.isIdle(); }

private:
  struct Request {
    HttpExchangePtr m_Exchange;
    Operator m_Operator;
    /// Part of the path after the route's prefix.
    std::string m_Rest;
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
  bool handleOpen(const HttpExchangePtr &Exchange);
  void dispatch(const HttpExchangePtr &Exchange);
  void respond(const Request &Call, const Json &Body);
  void refuse(const HttpExchangePtr &Exchange, const absl::Status &Reason);

  void handleIntent(const Request &Call);
  void handlePlan(const Request &Call);
  void handleConfirm(const Request &Call);
  void showPlan(const Request &Call, const std::string &Id);
  void handleConfiguration(const Request &Call);
  void handleStatus(const Request &Call);
  void handleAudit(const Request &Call);

  void makePlan(const Request &Call, const Json &Intent,
                const AssignmentSummary &Assignment);
  void onPlanStored(const Request &Call, const Plan &Made,
                    const absl::Status &Result);
  void onConfirmed(const Request &Call, const PlanConfirmation &Flow);
  void readAssignments(std::function<void(AssignmentSummary)> Done);
  /// Adds what the assignment objects do not hold: the availability zone of
  /// each VM, without which a plan to take one out affects nothing, and the
  /// running requests of each group.
  void addLiveFigures(AssignmentSummary &Summary) const;
  /// Starts \p Actions and those that follow from their answers, until
  /// \p OnEvent returns none.
  void run(std::vector<StoreAction> Actions, const EventHandler &OnEvent);
  Json statusJson(MonotonicTime Now) const;

  static const std::array<Route, 6> Routes;

  OperatorApiParts m_Parts;
  std::string m_Writer;
  HttpServer m_Server;
  AuditTrail m_Audit;
  std::mt19937_64 m_Random{std::random_device{}()};
  std::uint64_t m_NextPlan = 1;
  /// Confirmations that have not ended, with what continues each.
  struct RunningConfirmation {
    std::shared_ptr<PlanConfirmation> m_Flow;
    EventHandler m_OnEvent;
  };
  std::list<RunningConfirmation> m_Confirmations;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_OPERATOR_API_H
