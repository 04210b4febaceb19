#include "servers/planning/plan_recorder.h"

#include "core/error.h"

#include "fmt/format.h"

namespace fulmarwinch {

PlanRecorder::PlanRecorder(const Plan &Plan, StoreCallId FirstCallId)
    : m_Key(planKey(Plan.m_Id)), m_Text(encodePlan(Plan)),
      m_CallId(FirstCallId) {}

std::vector<StoreAction> PlanRecorder::start() { return put(); }

std::vector<StoreAction> PlanRecorder::put() {
  if (m_TriesLeft-- == 0)
    return fail();
  return {PutObject{++m_CallId, m_Key, 0, m_Text}};
}

std::vector<StoreAction> PlanRecorder::fail() {
  m_Result = makeError(ErrorKind::StoreUnavailable,
                       fmt::format("{} could not be stored", m_Key),
                       "send the intent again when the object store answers");
  return {};
}

std::vector<StoreAction> PlanRecorder::onPut(const PutCompleted &Event) {
  if (m_Result || Event.m_Id != m_CallId)
    return {};
  if (Event.m_Outcome == StoreOutcome::Applied) {
    m_Result = absl::OkStatus();
    return {};
  }
  if (Event.m_Outcome == StoreOutcome::Conflict)
    return {GetObject{++m_CallId, m_Key}};
  return put();
}

std::vector<StoreAction> PlanRecorder::onGet(const GetCompleted &Event) {
  if (m_Result || Event.m_Id != m_CallId)
    return {};
  if (Event.m_Outcome != StoreOutcome::Applied)
    return put();
  if (Event.m_Value == m_Text)
    m_Result = absl::OkStatus();
  else
    m_Result = makeError(ErrorKind::Conflict,
                         fmt::format("{} exists with another content", m_Key),
                         "send the intent again to get another plan ID");
  return {};
}

} // namespace fulmarwinch
