#ifndef FULMARWINCH_SERVERS_PLANNING_PLAN_CONFIRMATION_H
#define FULMARWINCH_SERVERS_PLANNING_PLAN_CONFIRMATION_H

#include "servers/configuration/configuration_writer.h"
#include "servers/planning/plan.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Request of an operator to confirm a plan.
struct ConfirmRequest {
  std::string m_PlanId;
  std::string m_Operator;
  UnixSeconds m_Time = 0;
};

/// Confirms a stored plan: reads `plan/<id>` and writes its change to the
/// configuration. The plan is applied at most once, even if several nodes
/// confirm it repeatedly and at the same time.
class PlanConfirmation {
public:
  PlanConfirmation(ConfigurationWriterOptions Options, ConfirmRequest Request,
                   ConfigurationView::Pointer KnownView);

  /// Returns the first store call. The following calls are returned by onGet(),
  /// onPut() and onTick().
  std::vector<StoreAction> start(MonotonicTime Now);
  std::vector<StoreAction> onGet(const GetCompleted &Event, MonotonicTime Now,
                                 std::mt19937_64 &Random);
  std::vector<StoreAction> onPut(const WriteCompleted &Event, MonotonicTime Now,
                                 std::mt19937_64 &Random);
  std::vector<StoreAction> onTick(MonotonicTime Now);

  /// Returns the revision of the accepted change, or an error if it was not or
  /// may not have been accepted; empty until the outcome is known.
  const std::optional<absl::StatusOr<ConfigurationRevision>> &result() const;
  /// Returns the change to pass to ConfigurationReplica::onLocalChange(); empty
  /// unless the store confirmed a write of this confirmation.
  std::optional<ConfigurationChange> acceptedChange() const;
  /// Returns the plan for the audit record; empty until it has been read.
  const std::optional<Plan> &plan() const { return m_Plan; }

private:
  std::vector<StoreAction> readPlan();

  ConfigurationWriterOptions m_Options;
  ConfirmRequest m_Request;
  ConfigurationView::Pointer m_KnownView;
  MonotonicTime m_StartedAt;
  std::optional<MonotonicTime> m_RetryAt;
  std::optional<Plan> m_Plan;
  std::unique_ptr<ConfigurationWriter> m_Writer;
  std::optional<absl::StatusOr<ConfigurationRevision>> m_Result;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_PLANNING_PLAN_CONFIRMATION_H
