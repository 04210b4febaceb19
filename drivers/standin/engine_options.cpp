#include "drivers/standin/engine_options.h"

namespace fulmarwinch {

namespace {

template <typename ValueType>
void readSetting(const Json &Settings, const char *Key, ValueType &Member) {
  Member = fieldOr(Settings, Key, Member);
}

} // namespace

void EngineOptions::update(const Json &Settings) {
  readSetting(Settings, "vm", m_Vm);
  readSetting(Settings, "port", m_Port);
  readSetting(Settings, "platform", m_Platform);
  readSetting(Settings, "capacity", m_MaxBatchSize);
  readSetting(Settings, "max_waiting", m_MaxQueuedRequests);
  readSetting(Settings, "cold_capacity", m_ColdCapacity);
  readSetting(Settings, "warm_after", m_RequestsToWarm);
  readSetting(Settings, "token_ms", m_BatchStepMs);
  readSetting(Settings, "prefill_us_per_kb", m_PrefillUsPerKb);
  readSetting(Settings, "cache_blocks", m_CacheBlocks);
  readSetting(Settings, "load_report_lag_ms", m_LoadReportLagMs);
  readSetting(Settings, "member_check_ms", m_MemberCheckIntervalMs);
  readSetting(Settings, "load_ms", m_FixedLoadMs);
  readSetting(Settings, "weight_bytes", m_WeightBytes);
  readSetting(Settings, "checks_fence", m_ChecksFence);
  readSetting(Settings, "crash_mark", m_CrashMarker);
  readSetting(Settings, "restart_ms", m_CrashRestartDelayMs);
}

} // namespace fulmarwinch
