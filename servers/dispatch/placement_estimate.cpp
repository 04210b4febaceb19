#include "servers/dispatch/placement_estimate.h"
#include "servers/routes/engine_times.h"

#include <algorithm>
#include <cmath>

namespace fulmarwinch {

namespace {

/// Share of the objective for the time between two events from which a pause
/// begins to count. The estimate does not know all prompts of the peers.
constexpr double HarmlessPauseShare = 0.5;
/// Number of tokens for which the backlog per token is computed; many, since
/// times are rounded to microseconds.
constexpr std::uint64_t SampleTokens = 1000000;

double toMs(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

Duration fromMs(double Milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Milliseconds));
}

} // namespace

PlacementEstimator::PlacementEstimator(const ServiceSpec &Service,
                                       const std::string &Model,
                                       const PlacementRequest &Request)
    : m_HasEngine(Service.hasReplicaGroups()) {
  if (!m_HasEngine)
    return;
  const EngineSpec &Engine = Service.m_Engine;
  const double Factor = Engine.durationFactorOf(Model);
  const double StepsPerPass = std::max(1U, Engine.m_DecodeStepsPerPass);
  m_PromptTokens = static_cast<double>(Request.m_PromptTokens);
  m_OutputPasses =
      std::ceil(static_cast<double>(Request.m_OutputTokens) / StepsPerPass);
  m_Slots = std::max(1U, Engine.m_Slots);
  m_MsPerToken = Factor / Engine.m_PrefillTokensPerMs;
  m_BacklogMsPerToken = toMs(prefillTime(Engine, Model, SampleTokens)) /
                        static_cast<double>(SampleTokens);
  m_PassMs = StepsPerPass * Engine.m_DecodeStepMs * Factor;
  m_PassMsPerStream = StepsPerPass * Engine.m_DecodeStepMsPerSequence * Factor;
  m_TokensPerPass =
      StepsPerPass * static_cast<double>(Engine.m_PrefillChunkTokens);
  m_FirstEventObjectiveMs = toMs(Request.m_FirstEventObjective);
  m_EventGapObjectiveMs = toMs(Request.m_EventGapObjective);
}

PlacementEstimate
PlacementEstimator::estimate(const PlacementLoad &Load) const {
  PlacementEstimate Result;
  Result.m_Slowness = Load.m_Slowness;
  if (!m_HasEngine)
    return Result;
  const double Streams = std::min(Load.m_InFlight, m_Slots);
  const double PassMs =
      m_PassMs + m_PassMsPerStream * std::min(Streams + 1.0, m_Slots);
  const double BacklogMs = toMs(Load.m_PrefillBacklog);
  const double Tokens =
      m_PromptTokens +
      (m_BacklogMsPerToken > 0.0 ? BacklogMs / m_BacklogMsPerToken : 0.0);
  const double TokensInOnePass =
      m_TokensPerPass > 0.0 ? std::min(Tokens, m_TokensPerPass) : Tokens;
  // The backlog includes the decode steps of its own passes.
  const double OwnPasses =
      m_TokensPerPass > 0.0
          ? std::max(1.0, std::ceil(m_PromptTokens / m_TokensPerPass))
          : 1.0;
  // A request that arrives during a pass waits for half of it on average, and
  // for a slot if none is free.
  const double CurrentPassMs = Streams > 0.0 ? PassMs / 2.0 : 0.0;
  const double SlotWaitMs = std::max(0.0, Load.m_InFlight - m_Slots + 1.0) *
                            m_OutputPasses * PassMs / m_Slots;
  const double FirstEventMs = SlotWaitMs + CurrentPassMs + BacklogMs +
                              m_PromptTokens * m_MsPerToken +
                              OwnPasses * PassMs;
  const double PauseMs =
      (PassMs + TokensInOnePass * m_MsPerToken) * Load.m_Slowness;
  double HarmShare = 0.0;
  if (m_EventGapObjectiveMs > 0.0)
    HarmShare =
        std::clamp((PauseMs / m_EventGapObjectiveMs - HarmlessPauseShare) /
                       (1.0 - HarmlessPauseShare),
                   0.0, 1.0);
  Result.m_FirstEvent = fromMs(FirstEventMs);
  Result.m_PausedStreams = Streams;
  Result.m_LongestPause = Streams > 0.0 ? fromMs(PauseMs) : Duration::zero();
  Result.m_Cost = Load.m_PrefillBacklog + fromMs(HarmShare * Streams / m_Slots *
                                                 m_FirstEventObjectiveMs);
  return Result;
}

} // namespace fulmarwinch
