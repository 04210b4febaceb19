#include "servers/replicas/demand_estimator.h"
#include "servers/routes/engine_times.h"

#include <algorithm>
#include <cmath>

namespace fulmarwinch {

namespace {

double inSeconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

/// Part of a full batch's token steps that the request takes, in seconds.
double writingSeconds(const EngineSpec &Engine, const std::string &Model,
                      const RequestSize &Size) {
  const double Passes = static_cast<double>(Size.m_OutputTokens) /
                        std::max(1U, Engine.m_StepsPerPass);
  return inSeconds(writingTimeOfPass(Engine, Model)) * Passes / Engine.m_Slots;
}

} // namespace

void DemandEstimator::onRequest(const ServiceSpec &Service,
                                const std::string &Model,
                                const RequestSize &Size, MonotonicTime Now) {
  Work &Of = m_Work[Model];
  const double Span = inSeconds(Memory);
  const double Kept = fading(Of, Now);
  const EngineSpec &Engine = Service.m_Engine;
  const double Reading =
      inSeconds(readingTime(Engine, Model, Size.m_PromptTokens));
  const double Writing = writingSeconds(Engine, Model, Size);
  // Without a bound on what a pass reads, nothing is written meanwhile.
  const bool ReadsBesides = Engine.m_ChunkTokens != 0;
  Of.m_Reading =
      Of.m_Reading * Kept + (Reading + (ReadsBesides ? 0.0 : Writing)) / Span;
  Of.m_Writing = Of.m_Writing * Kept + Writing / Span;
  Of.m_At = Now;
}

std::map<std::string, double> DemandEstimator::demand(MonotonicTime Now) const {
  std::map<std::string, double> Result;
  for (const auto &[Model, Of] : m_Work)
    Result[Model] = std::max(Of.m_Reading, Of.m_Writing) * fading(Of, Now);
  return Result;
}

double DemandEstimator::fading(const Work &Of, MonotonicTime Now) {
  return std::exp(-inSeconds(Now - Of.m_At) / inSeconds(Memory));
}

} // namespace fulmarwinch
