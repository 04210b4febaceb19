#include "servers/routes/engine_times.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

Duration durationFromMs(double Milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Milliseconds));
}

} // namespace

Duration decodeTimePerPass(const EngineSpec &Engine, const std::string &Model) {
  return durationFromMs((Engine.m_DecodeStepMs +
                         Engine.m_DecodeStepMsPerSequence * Engine.m_Slots) *
                        Engine.durationFactorOf(Model) *
                        Engine.m_DecodeStepsPerPass);
}

Duration chunkPrefillTime(const EngineSpec &Engine, const std::string &Model,
                          std::uint64_t PromptTokens) {
  return durationFromMs(static_cast<double>(PromptTokens) /
                        Engine.m_PrefillTokensPerMs *
                        Engine.durationFactorOf(Model));
}

Duration prefillTime(const EngineSpec &Engine, const std::string &Model,
                     std::uint64_t PromptTokens) {
  const auto Tokens = static_cast<double>(PromptTokens);
  const Duration PurePrefill = chunkPrefillTime(Engine, Model, PromptTokens);
  if (Engine.m_PrefillChunkTokens == 0)
    return PurePrefill;
  const double StepCount =
      Tokens / static_cast<double>(Engine.m_PrefillChunkTokens);
  return PurePrefill + std::chrono::duration_cast<Duration>(
                           decodeTimePerPass(Engine, Model) * StepCount /
                           std::max(1U, Engine.m_DecodeStepsPerPass));
}

} // namespace fulmarwinch
