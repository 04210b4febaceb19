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
constexpr double MinObservedSeconds = 2.0;

} // namespace

void DemandEstimator::recordRequest(const ServiceSpec &Service,
                                    const std::string &Model,
                                    const RequestSize &Size,
                                    MonotonicTime Now) {
  const auto [Known, IsFirst] = m_LoadByModel.try_emplace(Model);
  ModelLoad &Average = Known->second;
  if (IsFirst)
    Average.m_FirstRequestAt = Average.m_UpdatedAt = Now;
  const double Decay = decayFactor(Average, Now);
  const EngineSpec &Engine = Service.m_Engine;
  const double StepsPerPass = std::max(1U, Engine.m_DecodeStepsPerPass);
  const double SecondsPerMs = Engine.durationFactorOf(Model) / 1000.0;
  const double PassSeconds =
      StepsPerPass * Engine.m_DecodeStepMs * SecondsPerMs;
  const double OutputPasses = static_cast<double>(Size.m_OutputTokens) *
                              Average.outputRatio() / StepsPerPass;
  const auto Add = [&](double &Groups, double Seconds) {
    Groups = Groups * Decay + Seconds / toSeconds(AveragingTime);
  };
  Add(Average.m_OwnGroups,
      toSeconds(chunkPrefillTime(Engine, Model, Size.m_PromptTokens)) +
          OutputPasses * StepsPerPass * Engine.m_DecodeStepMsPerSequence *
              SecondsPerMs);
  // Without chunks, a pass prefills the whole prompt without decode steps.
  Add(Average.m_PrefillPassGroups,
      Engine.m_PrefillChunkTokens == 0
          ? 0.0
          : PassSeconds * static_cast<double>(Size.m_PromptTokens) /
                static_cast<double>(Engine.m_PrefillChunkTokens));
  Add(Average.m_DecodePassGroups,
      PassSeconds * OutputPasses / std::max(1U, Engine.m_Slots));
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
        (Average.m_OwnGroups +
         std::max(Average.m_PrefillPassGroups, Average.m_DecodePassGroups)) *
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
