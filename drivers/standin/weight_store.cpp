#include "drivers/standin/weight_store.h"

#include "core/json.h"

namespace fulmarwinch {

namespace {

constexpr Duration TickLength = std::chrono::milliseconds(10);

} // namespace

WeightStore::WeightStore(TaskTimer &Timer) : m_Timer(Timer) {}

void WeightStore::setRate(double BytesPerSecond) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  m_BytesPerSecond = BytesPerSecond;
}

void WeightStore::load(const HttpExchangePtr &Exchange) {
  const absl::StatusOr<Json> Body =
      parseJson(Exchange->request().m_Body, "the load request");
  const double Bytes = Body.ok() ? memberOr(*Body, "bytes", 0.0) : 0.0;
  if (Bytes <= 0) {
    Exchange->respond(jsonResponse(400, R"({"error":"bytes is missing"})"));
    return;
  }
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  m_Loads.push_back({Exchange, Bytes, Bytes});
  if (m_Ticking)
    return;
  m_Ticking = true;
  m_LastTick = monotonicNow();
  m_Timer.after(TickLength, [this] { tick(); });
}

std::size_t WeightStore::running() {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  return m_Loads.size();
}

void WeightStore::dropAll() {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  m_Loads.clear();
}

void WeightStore::tick() {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  const MonotonicTime Now = monotonicNow();
  const std::chrono::duration<double> Elapsed = Now - m_LastTick;
  m_LastTick = Now;
  const double Share = m_Loads.empty()
                           ? 0
                           : m_BytesPerSecond * Elapsed.count() /
                                 static_cast<double>(m_Loads.size());
  for (auto Next = m_Loads.begin(); Next != m_Loads.end();) {
    Next->m_Remaining -= Share;
    if (Next->m_Remaining > 0) {
      ++Next;
      continue;
    }
    const Json Answer = {{"bytes", Next->m_Bytes}};
    Next->m_Exchange->respond(jsonResponse(200, Answer.dump()));
    Next = m_Loads.erase(Next);
  }
  m_Ticking = !m_Loads.empty();
  if (m_Ticking)
    m_Timer.after(TickLength, [this] { tick(); });
}

} // namespace fulmarwinch
