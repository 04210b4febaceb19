#include "servers/replicas/demand_estimator.h"
#include "servers/routes/engine_times.h"

#include <algorithm>
#include <cmath>

namespace fulmarwinch {

namespace {

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Weight that each response loses in the ratio of actual to stated output
/// tokens when the next one is recorded.
constexpr double OutputRatioDecay = 0.99;
/// Stated tokens that count as exact before any response was seen, so that the
/// first few responses do not decide the ratio.
constexpr double AssumedExactTokens = 500.0;
/// Shortest time over which the traffic after the first request is averaged.
constexpr double MinObservedSeconds = 1.0;

/// Time in seconds that a full batch spends on decoding \p OutputTokens,
/// divided by the number of slots that share the steps.
double decodeSeconds(const EngineSpec &Engine, const std::string &Model,
                     double OutputTokens) {
  const double PassCount =
      OutputTokens / std::max(1U, Engine.m_DecodeStepsPerPass);
  return toSeconds(decodeTimePerPass(Engine, Model)) * PassCount /
         Engine.m_Slots;
}

} // namespace

void DemandEstimator::recordRequest(const ServiceSpec &Service,
                                    const std::string &Model,
                                    const RequestSize &Size,
                                    MonotonicTime Now) {
  const auto [Known, IsFirst] = m_LoadByModel.try_emplace(Model);
  ModelLoad &Average = Known->second;
  if (IsFirst)
    Average.m_FirstRequestAt = Average.m_UpdatedAt = Now;
  const double AveragingSeconds = toSeconds(AveragingTime);
  const double Decay = decayFactor(Average, Now);
  const EngineSpec &Engine = Service.m_Engine;
  const double PrefillSeconds =
      toSeconds(prefillTime(Engine, Model, Size.m_PromptTokens));
  const double RequestDecodeSeconds = decodeSeconds(
      Engine, Model,
      static_cast<double>(Size.m_OutputTokens) * Average.outputRatio());
  // Without a prefill chunk size, a pass prefills the whole prompt and the
  // batch decodes nothing meanwhile, so both times add up.
  const bool HasChunkedPrefill = Engine.m_PrefillChunkTokens != 0;
  Average.m_PrefillGroups =
      Average.m_PrefillGroups * Decay +
      (PrefillSeconds + (HasChunkedPrefill ? 0.0 : RequestDecodeSeconds)) /
          AveragingSeconds;
  // A pass that prefills a chunk takes longer by the time of the chunk, also
  // where decoding is the bottleneck.
  Average.m_DecodeGroups =
      Average.m_DecodeGroups * Decay +
      (RequestDecodeSeconds +
       toSeconds(chunkPrefillTime(Engine, Model, Size.m_PromptTokens))) /
          AveragingSeconds;
  Average.m_UpdatedAt = Now;
}

std::map<std::string, double>
DemandEstimator::busyGroupsByModel(MonotonicTime Now) const {
  std::map<std::string, double> BusyGroups;
  for (const auto &[Model, Average] : m_LoadByModel) {
    // Shortly after the first request, the average covers only this time.
    const double ObservedSeconds =
        std::max(MinObservedSeconds, toSeconds(Now - Average.m_FirstRequestAt));
    const double Coverage =
        1.0 - std::exp(-ObservedSeconds / toSeconds(AveragingTime));
    BusyGroups[Model] =
        std::max(Average.m_PrefillGroups, Average.m_DecodeGroups) *
        decayFactor(Average, Now) / Coverage;
  }
  return BusyGroups;
}

void DemandEstimator::recordOutput(const std::string &Model,
                                   std::uint64_t StatedTokens,
                                   std::uint64_t ActualTokens) {
  const auto Known = m_LoadByModel.find(Model);
  if (Known == m_LoadByModel.end() || StatedTokens == 0)
    return;
  ModelLoad &Average = Known->second;
  Average.m_StatedOutputTokens =
      Average.m_StatedOutputTokens * OutputRatioDecay +
      static_cast<double>(StatedTokens);
  Average.m_ActualOutputTokens =
      Average.m_ActualOutputTokens * OutputRatioDecay +
      static_cast<double>(ActualTokens);
}

double DemandEstimator::ModelLoad::outputRatio() const {
  return (m_ActualOutputTokens + AssumedExactTokens) /
         (m_StatedOutputTokens + AssumedExactTokens);
}

double DemandEstimator::decayFactor(const ModelLoad &Average,
                                    MonotonicTime Now) {
  return std::exp(-toSeconds(Now - Average.m_UpdatedAt) /
                  toSeconds(AveragingTime));
}

} // namespace fulmarwinch
