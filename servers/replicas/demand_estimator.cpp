#include "servers/replicas/demand_estimator.h"

#include <cmath>

namespace fulmarwinch {

namespace {

/// Seconds for which the request keeps a whole group busy: the reading of its
/// prompt, and its share of the token steps of a full batch.
double groupSeconds(const ServiceSpec &Service, const std::string &Model,
                    const RequestSize &Size) {
  const EngineSpec &Engine = Service.m_Engine;
  const double StepMs =
      Engine.m_StepMs + Engine.m_StepMsPerSequence * Engine.m_Slots;
  const double Ms =
      static_cast<double>(Size.m_PromptTokens) / Engine.m_PrefillTokensPerMs +
      static_cast<double>(Size.m_OutputTokens) * StepMs / Engine.m_Slots;
  constexpr double MsPerSecond = 1000.0;
  return Ms * Engine.paceOf(Model) / MsPerSecond;
}

} // namespace

void DemandEstimator::onRequest(const ServiceSpec &Service,
                                const std::string &Model,
                                const RequestSize &Size, MonotonicTime Now) {
  Average &Work = m_Work[Model];
  const std::chrono::duration<double> Span = Memory;
  Work.m_Value =
      decayed(Work, Now) + groupSeconds(Service, Model, Size) / Span.count();
  Work.m_At = Now;
}

std::map<std::string, double> DemandEstimator::demand(MonotonicTime Now) const {
  std::map<std::string, double> Result;
  for (const auto &[Model, Work] : m_Work)
    Result[Model] = decayed(Work, Now);
  return Result;
}

double DemandEstimator::decayed(const Average &Of, MonotonicTime Now) {
  const std::chrono::duration<double> Age = Now - Of.m_At;
  const std::chrono::duration<double> Span = Memory;
  return Of.m_Value * std::exp(-Age.count() / Span.count());
}

} // namespace fulmarwinch
