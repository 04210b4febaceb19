// The part of EngineStandin that runs batch steps and simulates crashes and the
// overload of a cold engine.

#include "core/log.h"
#include "drivers/standin/engine_standin.h"

#include <algorithm>

namespace fulmarwinch {

void EngineStandin::scheduleBatchStep() {
  const bool IsIdle = m_BatchSequences.empty() && m_QueuedSequences.empty();
  if (m_IsStepScheduled || IsIdle || !m_IsProcessRunning)
    return;
  m_IsStepScheduled = true;
  const std::int64_t StepMs =
      std::max<std::int64_t>(m_Options.m_BatchStepMs, 1);
  m_Timer.runAfter(std::chrono::milliseconds(StepMs),
                   [this] { runBatchStep(); });
}

void EngineStandin::runBatchStep() {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  m_IsStepScheduled = false;
  if (!m_IsProcessRunning)
    return;
  // A request counts as executed once it is admitted to the batch, so none is
  // admitted while the group cannot compute.
  const bool CanCompute =
      m_State == EngineState::Ready && !m_IsStalled && !isGroupIncomplete();
  if (CanCompute) {
    admitToBatch();
    generateTokens();
  }
  scheduleBatchStep();
}

void EngineStandin::admitToBatch() {
  std::stable_sort(m_QueuedSequences.begin(), m_QueuedSequences.end(),
                   [](const SequencePtr &Left, const SequencePtr &Right) {
                     return Left->m_Priority > Right->m_Priority;
                   });
  while (!m_QueuedSequences.empty() &&
         m_BatchSequences.size() < m_Options.m_MaxBatchSize) {
    SequencePtr NextSequence = std::move(m_QueuedSequences.front());
    m_QueuedSequences.erase(m_QueuedSequences.begin());
    ++m_ExecutionsByRequest[NextSequence->m_Id];
    const std::size_t CachedBytes = m_PrefixCache.lookUpAndAdd(
        NextSequence->m_Prompt, m_Options.m_CacheBlocks);
    NextSequence->m_RemainingPrefill = Duration(
        m_Options.m_PrefillUsPerKb *
        static_cast<std::int64_t>(NextSequence->m_Prompt.size() - CachedBytes) /
        1024);
    if (NextSequence->m_CrashesEngine)
      scheduleCrashAndRestart();
    m_BatchSequences.push_back(std::move(NextSequence));
  }
}

void EngineStandin::generateTokens() {
  const Duration StepDuration =
      std::chrono::milliseconds(m_Options.m_BatchStepMs);
  const HttpHeaders Headers = loadHeaders();
  std::vector<SequencePtr> Unfinished;
  for (SequencePtr &Sequence : m_BatchSequences) {
    const bool IsInPrefill = Sequence->m_RemainingPrefill > Duration::zero();
    Sequence->m_RemainingPrefill -= StepDuration;
    // A request that crashes the engine generates no token before the crash.
    if (IsInPrefill || Sequence->m_CrashesEngine) {
      Unfinished.push_back(std::move(Sequence));
      continue;
    }
    if (!Sequence->isComplete() && !Sequence->emitToken(Headers)) {
      ++m_Counters["cancelled"];
      continue;
    }
    if (Sequence->isComplete())
      completeSequence(*Sequence);
    else
      Unfinished.push_back(std::move(Sequence));
  }
  m_BatchSequences.swap(Unfinished);
}

void EngineStandin::completeSequence(EngineSequence &CompletedSequence) {
  ++m_CompletedRequests;
  ++m_Counters["answered"];
  ++m_CompletedSinceCold;
  if (m_CompletedSinceCold >= m_Options.m_RequestsToWarm)
    m_IsCold = false;
  CompletedSequence.finish(loadHeaders());
}

void EngineStandin::failAllSequences(const std::string &ErrorMessage,
                                     const char *Counter) {
  m_Counters[Counter] += m_BatchSequences.size() + m_QueuedSequences.size();
  const HttpHeaders Headers = loadHeaders();
  for (std::vector<SequencePtr> *SequenceList :
       {&m_BatchSequences, &m_QueuedSequences}) {
    for (const SequencePtr &Sequence : *SequenceList)
      Sequence->fail(ErrorMessage, Headers);
    SequenceList->clear();
  }
}

void EngineStandin::crashFromColdOverload() {
  logLine(LogLevel::Info, "standin",
          m_Options.m_Vm + ": the simulated cold engine crashed because more "
                           "requests were in flight than its cold capacity");
  ++m_Counters["falls"];
  failAllSequences("the cold engine was overloaded", "cut");
  const Assignment SavedAssignment = m_Assignment;
  const std::uint64_t SavedFence = m_Fence;
  resetProcessState();
  m_Assignment = SavedAssignment;
  m_Fence = SavedFence;
  startLoading();
}

void EngineStandin::scheduleCrashAndRestart() {
  ++m_Counters["crashes"];
  m_Timer.runAfter(Duration::zero(), [this] {
    stop();
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (m_Options.m_CrashRestartDelayMs < 0)
      return;
    m_Timer.runAfter(std::chrono::milliseconds(m_Options.m_CrashRestartDelayMs),
                     [this, Epoch = m_Epoch] { restartAfterCrash(Epoch); });
  });
}

void EngineStandin::restartAfterCrash(std::uint64_t Epoch) {
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    // A control call has stopped or started the engine during the restart delay
    // and takes precedence over the restart.
    if (Epoch != m_Epoch)
      return;
  }
  const absl::Status Started = start();
  if (!Started.ok())
    logLine(LogLevel::Error, "standin", std::string(Started.message()));
}

} // namespace fulmarwinch
