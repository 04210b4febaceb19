#include "servers/planning/plan_confirmation.h"

#include "core/error.h"

#include "fmt/format.h"

#include <utility>

namespace fulmarwinch {

PlanConfirmation::PlanConfirmation(ConfigurationWriterOptions Options,
                                   ConfirmRequest Request,
                                   ConfigurationView::Pointer KnownView)
    : m_Options(std::move(Options)), m_Request(std::move(Request)),
      m_KnownView(std::move(KnownView)) {}

std::vector<StoreAction> PlanConfirmation::readPlan() {
  return {GetObject{++m_Options.m_LastUsedCallId, planKey(m_Request.m_PlanId)}};
}

std::vector<StoreAction> PlanConfirmation::start(MonotonicTime Now) {
  m_StartedAt = Now;
  return readPlan();
}

std::vector<StoreAction> PlanConfirmation::onGet(const GetCompleted &Event,
                                                 MonotonicTime Now,
                                                 std::mt19937_64 &Random) {
  if (m_Writer)
    return m_Writer->onGet(Event, Now, Random);
  if (m_Result || Event.m_Id != m_Options.m_LastUsedCallId)
    return {};
  if (Event.m_Outcome == StoreOutcome::Succeeded) {
    absl::StatusOr<Plan> Decoded = decodePlan(Event.m_Value);
    if (!Decoded.ok()) {
      m_Result = Decoded.status();
      return {};
    }
    m_Plan = *std::move(Decoded);
    m_Writer = std::make_unique<ConfigurationWriter>(
        m_Options,
        makeProposedChange(*m_Plan, m_Request.m_Operator, m_Request.m_Time),
        m_KnownView);
    return m_Writer->start(Now);
  }
  // A stale read may not return a plan that has just been stored, so the read
  // is repeated until the deadline.
  if (Now - m_StartedAt < m_Options.m_AcceptTimeout) {
    m_RetryAt = Now + m_Options.m_MaxRetryDelay / 2;
    return {};
  }
  if (Event.m_Outcome == StoreOutcome::NotFound)
    m_Result = makeError(ErrorKind::NotFound,
                         fmt::format("there is no plan {}", m_Request.m_PlanId),
                         "correct the plan ID or make a new plan");
  else
    m_Result = makeError(
        ErrorKind::StoreUnavailable,
        fmt::format("plan {} could not be read, and this confirm did not "
                    "apply it",
                    m_Request.m_PlanId),
        "confirm the plan again when the object store answers");
  return {};
}

std::vector<StoreAction> PlanConfirmation::onPut(const WriteCompleted &Event,
                                                 MonotonicTime Now,
                                                 std::mt19937_64 &Random) {
  return m_Writer ? m_Writer->onPut(Event, Now, Random)
                  : std::vector<StoreAction>();
}

std::vector<StoreAction> PlanConfirmation::onTick(MonotonicTime Now) {
  if (m_Writer)
    return m_Writer->onTick(Now);
  if (m_Result || !m_RetryAt || Now < *m_RetryAt)
    return {};
  m_RetryAt.reset();
  return readPlan();
}

const std::optional<absl::StatusOr<ConfigurationRevision>> &
PlanConfirmation::result() const {
  return m_Writer ? m_Writer->result() : m_Result;
}

std::optional<ConfigurationChange> PlanConfirmation::acceptedChange() const {
  return m_Writer ? m_Writer->acceptedChange() : std::nullopt;
}

} // namespace fulmarwinch
