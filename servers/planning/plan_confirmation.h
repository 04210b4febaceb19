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

/// Who confirms which plan.
struct ConfirmRequest {
  std::string m_PlanId;
  std::string m_Operator;
  UnixSeconds m_Time = 0;
};

/// Confirms a stored plan: reads `plan/<id>` and has its change accepted. It
/// may run any number of times, at several nodes at once, and applies the plan
/// at most once.
class PlanConfirmation {
public:
  PlanConfirmation(WriterOptions Options, ConfirmRequest Request,
                   ConfigurationView::Pointer Known);

  std::vector<StoreAction> start(MonotonicTime Now);
  std::vector<StoreAction> onGet(const GetCompleted &Event, MonotonicTime Now,
                                 std::mt19937_64 &Random);
  std::vector<StoreAction> onPut(const PutCompleted &Event, MonotonicTime Now,
                                 std::mt19937_64 &Random);
  std::vector<StoreAction> onTick(MonotonicTime Now);

  /// Returns the revision of the plan or the reason why it was not accepted.
  const std::optional<absl::StatusOr<ConfigurationRevision>> &result() const;
  /// Returns the change for ConfigurationReplica::onAccepted, if this
  /// confirmation's own write was answered.
  std::optional<ConfigurationChange> accepted() const;
  /// Returns the plan once it has been read; the audit record names it.
  const std::optional<Plan> &plan() const { return m_Plan; }

private:
  std::vector<StoreAction> readPlan();

  WriterOptions m_Options;
  ConfirmRequest m_Request;
  ConfigurationView::Pointer m_Known;
  MonotonicTime m_StartedAt;
  std::optional<MonotonicTime> m_RetryAt;
  std::optional<Plan> m_Plan;
  std::unique_ptr<ConfigurationWriter> m_Writer;
  std::optional<absl::StatusOr<ConfigurationRevision>> m_Result;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_PLANNING_PLAN_CONFIRMATION_H
