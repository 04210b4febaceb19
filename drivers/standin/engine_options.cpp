#include "drivers/standin/engine_options.h"

namespace fulmarwinch {

namespace {

template <typename ValueType>
void take(const Json &Settings, const char *Key, ValueType &Member) {
  Member = memberOr(Settings, Key, Member);
}

} // namespace

void EngineOptions::update(const Json &Settings) {
  take(Settings, "vm", m_Vm);
  take(Settings, "port", m_Port);
  take(Settings, "platform", m_Platform);
  take(Settings, "capacity", m_Capacity);
  take(Settings, "max_waiting", m_MaxWaiting);
  take(Settings, "cold_capacity", m_ColdCapacity);
  take(Settings, "warm_after", m_WarmAfter);
  take(Settings, "token_ms", m_TokenMs);
  take(Settings, "prefill_us_per_kb", m_PrefillUsPerKb);
  take(Settings, "cache_blocks", m_CacheBlocks);
  take(Settings, "load_report_lag_ms", m_LoadReportLagMs);
  take(Settings, "member_check_ms", m_MemberCheckMs);
  take(Settings, "load_ms", m_LoadMs);
  take(Settings, "weight_bytes", m_WeightBytes);
  take(Settings, "checks_fence", m_ChecksFence);
  take(Settings, "crash_mark", m_CrashMark);
  take(Settings, "restart_ms", m_RestartMs);
}

} // namespace fulmarwinch
