#include "servers/routes/engine_times.h"

namespace fulmarwinch {

namespace {

Duration durationFromMs(double Milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Milliseconds));
}

} // namespace

Duration writingTimeOfPass(const EngineSpec &Engine, const std::string &Model) {
  return durationFromMs(
      (Engine.m_StepMs + Engine.m_StepMsPerSequence * Engine.m_Slots) *
      Engine.paceOf(Model) * Engine.m_StepsPerPass);
}

Duration readingTime(const EngineSpec &Engine, const std::string &Model,
                     std::uint64_t PromptTokens) {
  const auto Tokens = static_cast<double>(PromptTokens);
  const Duration PurePrefill = durationFromMs(
      Tokens / Engine.m_PrefillTokensPerMs * Engine.paceOf(Model));
  if (Engine.m_ChunkTokens == 0)
    return PurePrefill;
  const double PassCount = Tokens / static_cast<double>(Engine.m_ChunkTokens);
  return PurePrefill + std::chrono::duration_cast<Duration>(
                           writingTimeOfPass(Engine, Model) * PassCount);
}

} // namespace fulmarwinch
