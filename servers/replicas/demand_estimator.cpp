#include "servers/replicas/demand_estimator.h"
#include "servers/routes/engine_times.h"

#include <algorithm>
#include <cmath>

namespace fulmarwinch {

namespace {

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Time in seconds that a full batch spends on the request's decode steps,
/// divided by the number of slots that share the steps.
double decodeSeconds(const EngineSpec &Engine, const std::string &Model,
                     const RequestSize &Size) {
  const double PassCount = static_cast<double>(Size.m_OutputTokens) /
                           std::max(1U, Engine.m_DecodeStepsPerPass);
  return toSeconds(decodeTimePerPass(Engine, Model)) * PassCount /
         Engine.m_Slots;
}

} // namespace

void DemandEstimator::recordRequest(const ServiceSpec &Service,
                                    const std::string &Model,
                                    const RequestSize &Size,
                                    MonotonicTime Now) {
  ModelLoad &Average = m_LoadByModel[Model];
  const double AveragingSeconds = toSeconds(AveragingTime);
  const double Decay = decayFactor(Average, Now);
  const EngineSpec &Engine = Service.m_Engine;
  const double PrefillSeconds =
      toSeconds(prefillTime(Engine, Model, Size.m_PromptTokens));
  const double RequestDecodeSeconds = decodeSeconds(Engine, Model, Size);
  // Without a prefill chunk size, a pass prefills the whole prompt and the
  // batch decodes nothing meanwhile, so both times add up.
  const bool HasChunkedPrefill = Engine.m_PrefillChunkTokens != 0;
  Average.m_PrefillGroups =
      Average.m_PrefillGroups * Decay +
      (PrefillSeconds + (HasChunkedPrefill ? 0.0 : RequestDecodeSeconds)) /
          AveragingSeconds;
  Average.m_DecodeGroups =
      Average.m_DecodeGroups * Decay + RequestDecodeSeconds / AveragingSeconds;
  Average.m_UpdatedAt = Now;
}

std::map<std::string, double>
DemandEstimator::busyGroupsByModel(MonotonicTime Now) const {
  std::map<std::string, double> BusyGroups;
  for (const auto &[Model, Average] : m_LoadByModel)
    BusyGroups[Model] =
        std::max(Average.m_PrefillGroups, Average.m_DecodeGroups) *
        decayFactor(Average, Now);
  return BusyGroups;
}

double DemandEstimator::decayFactor(const ModelLoad &Average,
                                    MonotonicTime Now) {
  return std::exp(-toSeconds(Now - Average.m_UpdatedAt) /
                  toSeconds(AveragingTime));
}

} // namespace fulmarwinch
