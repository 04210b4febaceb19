#include "servers/retry/retry_budget.h"

#include <algorithm>

namespace fulmarwinch {

RetryBudget::RetryBudget(const RetryBudgetSettings &Settings)
    : m_Settings(Settings),
      m_Tokens(std::min(Settings.m_InitialTokens, Settings.m_MaxTokens)) {}

void RetryBudget::onSuccess() {
  m_Tokens = std::min(m_Settings.m_MaxTokens,
                      m_Tokens + m_Settings.m_RetriesPerSuccess);
}

bool RetryBudget::tryAcquire(MonotonicTime Now) {
  refill(Now);
  if (m_Tokens < 1.0)
    return false;
  m_Tokens -= 1.0;
  return true;
}

double RetryBudget::available(MonotonicTime Now) {
  refill(Now);
  return m_Tokens;
}

void RetryBudget::refill(MonotonicTime Now) {
  if (m_HasRefilled && Now > m_LastRefill) {
    const std::chrono::duration<double> Elapsed = Now - m_LastRefill;
    m_Tokens =
        std::min(m_Settings.m_MaxTokens,
                 m_Tokens + Elapsed.count() * m_Settings.m_MinRetriesPerSecond);
  }
  m_LastRefill = m_HasRefilled ? std::max(m_LastRefill, Now) : Now;
  m_HasRefilled = true;
}

} // namespace fulmarwinch
