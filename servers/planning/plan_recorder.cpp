#include "servers/planning/plan_recorder.h"

#include "core/error.h"

#include "fmt/format.h"

namespace fulmarwinch {

PlanRecorder::PlanRecorder(const Plan &Plan, StoreCallId FirstCallId)
    : m_Key(planKey(Plan.m_Id)), m_Text(encodePlan(Plan)),
      m_LastCallId(FirstCallId) {}

std::vector<StoreAction> PlanRecorder::start() { return createObject(); }

std::vector<StoreAction> PlanRecorder::createObject() {
  if (m_AttemptsLeft-- == 0)
    return failUnavailable();
  return {PutObject{++m_LastCallId, m_Key, 0, m_Text}};
}

std::vector<StoreAction> PlanRecorder::failUnavailable() {
  m_Result = makeError(ErrorKind::StoreUnavailable,
                       fmt::format("{} could not be stored", m_Key),
                       "send the intent again when the object store answers");
  return {};
}

std::vector<StoreAction> PlanRecorder::onPut(const WriteCompleted &Event) {
  if (m_Result || Event.m_Id != m_LastCallId)
    return {};
  if (Event.m_Outcome == StoreOutcome::Succeeded) {
    m_Result = absl::OkStatus();
    return {};
  }
  if (Event.m_Outcome == StoreOutcome::Conflict)
    return {GetObject{++m_LastCallId, m_Key}};
  return createObject();
}

std::vector<StoreAction> PlanRecorder::onGet(const GetCompleted &Event) {
  if (m_Result || Event.m_Id != m_LastCallId)
    return {};
  if (Event.m_Outcome != StoreOutcome::Succeeded)
    return createObject();
  if (Event.m_Value == m_Text)
    m_Result = absl::OkStatus();
  else
    m_Result = makeError(ErrorKind::Conflict,
                         fmt::format("{} exists with different content", m_Key),
                         "send the intent again to get another plan ID");
  return {};
}

} // namespace fulmarwinch
