#include "servers/routes/engine_times.h"

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
  const double PassCount =
      Tokens / static_cast<double>(Engine.m_PrefillChunkTokens);
  return PurePrefill + std::chrono::duration_cast<Duration>(
                           decodeTimePerPass(Engine, Model) * PassCount);
}

Duration groupTime(const EngineSpec &Engine, const std::string &Model,
                   std::uint64_t PromptTokens, std::uint64_t OutputTokens) {
  const double StepsPerPass = std::max(1U, Engine.m_DecodeStepsPerPass);
  const double OutputPasses =
      std::max(1.0, static_cast<double>(OutputTokens) / StepsPerPass);
  const double PrefillPasses =
      Engine.m_PrefillChunkTokens == 0
          ? 0.0
          : static_cast<double>(PromptTokens) /
                static_cast<double>(Engine.m_PrefillChunkTokens);
  const double SharedPasses =
      std::max(PrefillPasses, OutputPasses / std::max(1U, Engine.m_Slots));
  return chunkPrefillTime(Engine, Model, PromptTokens) +
         durationFromMs((OutputPasses * Engine.m_DecodeStepMsPerSequence +
                         SharedPasses * Engine.m_DecodeStepMs) *
                        StepsPerPass * Engine.durationFactorOf(Model));
}

} // namespace fulmarwinch
