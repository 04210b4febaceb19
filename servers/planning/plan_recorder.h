#ifndef FULMARWINCH_SERVERS_PLANNING_PLAN_RECORDER_H
#define FULMARWINCH_SERVERS_PLANNING_PLAN_RECORDER_H

#include "core/store_messages.h"
#include "servers/planning/plan.h"

#include <optional>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Stores a plan by creating the object `plan/<id>`. If a repeated create after
/// a lost response finds the same bytes in the store, the plan counts as
/// stored.
class PlanRecorder {
public:
  PlanRecorder(const Plan &Plan, StoreCallId FirstCallId);

  /// Returns the first store call. The following calls are returned by onPut()
  /// and onGet().
  std::vector<StoreAction> start();
  std::vector<StoreAction> onPut(const WriteCompleted &Event);
  std::vector<StoreAction> onGet(const GetCompleted &Event);

  /// Returns the outcome; empty until it is known. After an error the plan may
  /// be stored nevertheless. This is harmless, because a plan has no effect
  /// until it is confirmed.
  const std::optional<absl::Status> &result() const { return m_Result; }

private:
  std::vector<StoreAction> createObject();
  std::vector<StoreAction> failUnavailable();

  std::string m_Key;
  std::string m_Text;
  StoreCallId m_LastCallId;
  int m_AttemptsLeft = 3;
  std::optional<absl::Status> m_Result;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_PLANNING_PLAN_RECORDER_H
