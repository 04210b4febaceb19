#ifndef FULMARWINCH_SERVERS_PLANNING_PLAN_RECORDER_H
#define FULMARWINCH_SERVERS_PLANNING_PLAN_RECORDER_H

#include "core/store_messages.h"
#include "servers/planning/plan.h"

#include <optional>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Stores a plan by creating `plan/<id>` if absent. A create that is sent
/// again after a lost answer meets the same bytes and counts as done.
class PlanRecorder {
public:
  PlanRecorder(const Plan &Plan, StoreCallId FirstCallId);

  std::vector<StoreAction> start();
  std::vector<StoreAction> onPut(const PutCompleted &Event);
  std::vector<StoreAction> onGet(const GetCompleted &Event);

  /// Returns the outcome once it is known. After an error the plan may exist;
  /// that is harmless, because only its confirm has an effect.
  const std::optional<absl::Status> &result() const { return m_Result; }

private:
  std::vector<StoreAction> put();
  std::vector<StoreAction> fail();

  std::string m_Key;
  std::string m_Text;
  StoreCallId m_CallId;
  int m_TriesLeft = 3;
  std::optional<absl::Status> m_Result;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_PLANNING_PLAN_RECORDER_H
