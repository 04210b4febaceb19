#include "drivers/standin/weight_store_standin.h"

#include "core/json.h"

namespace fulmarwinch {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(10);

} // namespace

WeightStoreStandin::WeightStoreStandin(TaskTimer &Timer) : m_Timer(Timer) {}

void WeightStoreStandin::setBandwidth(double BytesPerSecond) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  m_BytesPerSecond = BytesPerSecond;
}

void WeightStoreStandin::startLoad(const HttpExchangePtr &Exchange) {
  const absl::StatusOr<Json> Body =
      parseJson(Exchange->request().m_Body, "the load request");
  const double Bytes = Body.ok() ? fieldOr(*Body, "bytes", 0.0) : 0.0;
  if (Bytes <= 0) {
    Exchange->respond(jsonResponse(400, R"({"error":"bytes is missing"})"));
    return;
  }
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  m_RunningLoads.push_back({Exchange, Bytes, Bytes});
  if (m_IsTickScheduled)
    return;
  m_IsTickScheduled = true;
  m_LastAdvancedAt = monotonicNow();
  m_Timer.runAfter(TickInterval, [this] { advanceLoads(); });
}

std::size_t WeightStoreStandin::runningLoadCount() {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  return m_RunningLoads.size();
}

void WeightStoreStandin::discardAllLoads() {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  m_RunningLoads.clear();
}

void WeightStoreStandin::advanceLoads() {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  const MonotonicTime Now = monotonicNow();
  const std::chrono::duration<double> Elapsed = Now - m_LastAdvancedAt;
  m_LastAdvancedAt = Now;
  const double BytesPerLoad =
      m_RunningLoads.empty() ? 0
                             : m_BytesPerSecond * Elapsed.count() /
                                   static_cast<double>(m_RunningLoads.size());
  for (auto CurrentLoad = m_RunningLoads.begin();
       CurrentLoad != m_RunningLoads.end();) {
    CurrentLoad->m_RemainingBytes -= BytesPerLoad;
    if (CurrentLoad->m_RemainingBytes > 0) {
      ++CurrentLoad;
      continue;
    }
    const Json ResponseBody = {{"bytes", CurrentLoad->m_TotalBytes}};
    CurrentLoad->m_Exchange->respond(jsonResponse(200, ResponseBody.dump()));
    CurrentLoad = m_RunningLoads.erase(CurrentLoad);
  }
  m_IsTickScheduled = !m_RunningLoads.empty();
  if (m_IsTickScheduled)
    m_Timer.runAfter(TickInterval, [this] { advanceLoads(); });
}

} // namespace fulmarwinch
