// Continuous batching, cold start and crashes.

#include "core/log.h"
#include "drivers/standin/engine_standin.h"

#include <algorithm>

namespace fulmarwinch {

void EngineStandin::scheduleStep() {
  const bool IsIdle = m_Running.empty() && m_Waiting.empty();
  if (m_IsStepScheduled || IsIdle || !m_IsUp)
    return;
  m_IsStepScheduled = true;
  const std::int64_t StepMs = std::max<std::int64_t>(m_Options.m_TokenMs, 1);
  m_Timer.after(std::chrono::milliseconds(StepMs), [this] { step(); });
}

void EngineStandin::step() {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  m_IsStepScheduled = false;
  if (!m_IsUp)
    return;
  // A request is executed from its admission to the batch on, so none is
  // admitted while the group cannot compute.
  const bool CanCompute =
      m_State == EngineState::Ready && !m_IsStalled && !isIncomplete();
  if (CanCompute) {
    admitWaiting();
    produceTokens();
  }
  scheduleStep();
}

void EngineStandin::admitWaiting() {
  std::stable_sort(m_Waiting.begin(), m_Waiting.end(),
                   [](const SequencePtr &Left, const SequencePtr &Right) {
                     return Left->m_Priority > Right->m_Priority;
                   });
  while (!m_Waiting.empty() && m_Running.size() < m_Options.m_Capacity) {
    SequencePtr Next = std::move(m_Waiting.front());
    m_Waiting.erase(m_Waiting.begin());
    ++m_Executions[Next->m_Id];
    const std::size_t Cached =
        m_Cache.lookUpAndAdd(Next->m_Prompt, m_Options.m_CacheBlocks);
    Next->m_PrefillLeft = Duration(
        m_Options.m_PrefillUsPerKb *
        static_cast<std::int64_t>(Next->m_Prompt.size() - Cached) / 1024);
    if (Next->m_CrashesEngine)
      scheduleCrash();
    m_Running.push_back(std::move(Next));
  }
}

void EngineStandin::produceTokens() {
  const Duration StepLength = std::chrono::milliseconds(m_Options.m_TokenMs);
  const HttpHeaders Headers = loadHeaders();
  std::vector<SequencePtr> Kept;
  for (SequencePtr &Sequence : m_Running) {
    const bool IsReading = Sequence->m_PrefillLeft > Duration::zero();
    Sequence->m_PrefillLeft -= StepLength;
    // A request that crashes the engine gets no token before the crash.
    if (IsReading || Sequence->m_CrashesEngine) {
      Kept.push_back(std::move(Sequence));
      continue;
    }
    if (!Sequence->isComplete() && !Sequence->emitToken(Headers)) {
      ++m_Counters["cancelled"];
      continue;
    }
    if (Sequence->isComplete())
      complete(*Sequence);
    else
      Kept.push_back(std::move(Sequence));
  }
  m_Running.swap(Kept);
}

void EngineStandin::complete(EngineSequence &Done) {
  ++m_Completed;
  ++m_Counters["answered"];
  ++m_CompletedSinceCold;
  if (m_CompletedSinceCold >= m_Options.m_WarmAfter)
    m_IsCold = false;
  Done.finish(loadHeaders());
}

void EngineStandin::failAll(const std::string &Problem, const char *Counter) {
  m_Counters[Counter] += m_Running.size() + m_Waiting.size();
  const HttpHeaders Headers = loadHeaders();
  for (std::vector<SequencePtr> *List : {&m_Running, &m_Waiting}) {
    for (const SequencePtr &Item : *List)
      Item->fail(Problem, Headers);
    List->clear();
  }
}

void EngineStandin::fallOver() {
  logLine(LogLevel::Info, "standin",
          m_Options.m_Vm + " fell over: more than its cold capacity in flight");
  ++m_Counters["falls"];
  failAll("the cold engine was overloaded", "cut");
  const Assignment Kept = m_Assignment;
  const std::uint64_t Fence = m_Fence;
  reset();
  m_Assignment = Kept;
  m_Fence = Fence;
  beginLoading();
}

void EngineStandin::scheduleCrash() {
  ++m_Counters["crashes"];
  m_Timer.after(Duration::zero(), [this] {
    stop();
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (m_Options.m_RestartMs < 0)
      return;
    m_Timer.after(std::chrono::milliseconds(m_Options.m_RestartMs),
                  [this, Epoch = m_Epoch] { restart(Epoch); });
  });
}

void EngineStandin::restart(std::uint64_t Epoch) {
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    // A kill or a start by a control call takes precedence.
    if (Epoch != m_Epoch)
      return;
  }
  const absl::Status Started = start();
  if (!Started.ok())
    logLine(LogLevel::Error, "standin", std::string(Started.message()));
}

} // namespace fulmarwinch
