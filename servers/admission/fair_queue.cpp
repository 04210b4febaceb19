#include "servers/admission/fair_queue.h"

#include "core/error.h"

#include "fmt/format.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fulmarwinch {

namespace {
/// Smallest weight; a weight of zero would starve an organisation for ever.
constexpr double SmallestWeight = 0.01;
/// Share of the drain figures that is kept at each request that leaves.
constexpr double DrainDecay = 0.95;
} // namespace

const QueuedRequest &FairQueue::OrganisationState::front() const {
  std::size_t Index = m_Queues.size() - 1;
  while (Index > 0 && m_Queues[Index].empty())
    --Index;
  return m_Queues[Index].front();
}

std::size_t FairQueue::OrganisationState::lowestPriority() const {
  std::size_t Index = 0;
  while (Index + 1 < m_Queues.size() && m_Queues[Index].empty())
    ++Index;
  return Index;
}

FairQueue::FairQueue(const FairQueueSettings &Settings)
    : m_Settings(Settings) {}

void FairQueue::setWeight(const std::string &Organisation, double Weight) {
  m_Organisations[Organisation].m_Weight = std::max(Weight, SmallestWeight);
}

std::vector<ShedRequest> FairQueue::enqueue(const QueuedRequest &Request) {
  OrganisationState &Organisation = m_Organisations[Request.m_Organisation];
  if (Organisation.m_Size == 0)
    m_Ring.push_back(Request.m_Organisation);
  Organisation.m_Queues[static_cast<std::size_t>(Request.m_Priority)].push_back(
      Request);
  ++Organisation.m_Size;
  ++m_Size;
  Organisation.m_QueuedCost += Request.m_CostTokens;
  std::vector<ShedRequest> Shed;
  if (Organisation.m_Size > m_Settings.m_OrganisationCapacity)
    Shed.push_back(shedNewest(Organisation, true));
  if (m_Size > m_Settings.m_Capacity)
    Shed.push_back(shedNewest(chooseVictim(), false));
  return Shed;
}

FairQueue::OrganisationState &FairQueue::chooseVictim() {
  double TotalWeight = 0;
  double TotalCost = 0;
  for (const std::string &Name : m_Ring) {
    TotalWeight += m_Organisations[Name].m_Weight;
    TotalCost += m_Organisations[Name].m_QueuedCost;
  }
  // Only organisations at or above their share of the queue are considered,
  // so that a noisy organisation cannot displace others by a high priority.
  OrganisationState *Victim = nullptr;
  double VictimExcess = 0;
  for (const std::string &Name : m_Ring) {
    OrganisationState &Candidate = m_Organisations[Name];
    const double Excess =
        Candidate.m_QueuedCost / Candidate.m_Weight - TotalCost / TotalWeight;
    const bool OverShare = Excess >= -1e-9 * TotalCost;
    if (!OverShare)
      continue;
    const bool Better =
        Victim == nullptr ||
        Candidate.lowestPriority() < Victim->lowestPriority() ||
        (Candidate.lowestPriority() == Victim->lowestPriority() &&
         Excess > VictimExcess);
    if (!Better)
      continue;
    Victim = &Candidate;
    VictimExcess = Excess;
  }
  return Victim == nullptr ? m_Organisations[m_Ring.front()] : *Victim;
}

ShedRequest FairQueue::shedNewest(OrganisationState &Organisation,
                                  bool OwnLimit) {
  auto &Queue = Organisation.m_Queues[Organisation.lowestPriority()];
  const QueuedRequest Request = Queue.back();
  Queue.pop_back();
  --Organisation.m_Size;
  --m_Size;
  Organisation.m_QueuedCost -= Request.m_CostTokens;
  const Duration Wait = retryAfter(Organisation.m_QueuedCost);
  if (Organisation.m_Size == 0) {
    Organisation.m_Deficit = 0;
    const auto Found =
        std::find(m_Ring.begin(), m_Ring.end(), Request.m_Organisation);
    m_TurnStarted = m_TurnStarted && Found != m_Ring.begin();
    m_Ring.erase(Found);
  }
  const long Milliseconds = static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count());
  const std::string Problem =
      OwnLimit
          ? fmt::format("{} requests of organisation {} already wait",
                        Organisation.m_Size, Request.m_Organisation)
          : fmt::format("the node is overloaded, {} requests wait", m_Size);
  return {Request.m_Id,
          makeError(OwnLimit ? ErrorKind::LimitExceeded : ErrorKind::Overloaded,
                    Problem,
                    fmt::format("the request was not run, send it again after "
                                "{} ms or with a higher priority",
                                Milliseconds)),
          Wait};
}

std::optional<QueuedRequest> FairQueue::dequeue(MonotonicTime Now) {
  if (m_Size == 0) {
    // An idle time says nothing about how fast work leaves under load.
    m_LastDequeue.reset();
    return std::nullopt;
  }
  grantRounds();
  while (true) {
    OrganisationState &Organisation = m_Organisations[m_Ring.front()];
    if (!m_TurnStarted) {
      Organisation.m_Deficit += quantum(Organisation);
      m_TurnStarted = true;
    }
    if (Organisation.front().m_CostTokens <= Organisation.m_Deficit) {
      const QueuedRequest Request = popFront(Organisation);
      recordDrain(Request.m_CostTokens, Now);
      return Request;
    }
    finishTurn();
  }
}

void FairQueue::recordDrain(double CostTokens, MonotonicTime Now) {
  if (m_LastDequeue) {
    const std::chrono::duration<double> Elapsed = Now - *m_LastDequeue;
    m_DrainedTokens = m_DrainedTokens * DrainDecay + CostTokens;
    m_DrainSeconds = m_DrainSeconds * DrainDecay + Elapsed.count();
  }
  m_LastDequeue = Now;
}

void FairQueue::grantRounds() {
  // Skips the rounds in which nobody could send, so that a request of many
  // quanta does not cost many passes over the ring.
  double Rounds = std::numeric_limits<double>::max();
  for (const std::string &Name : m_Ring) {
    const OrganisationState &Organisation = m_Organisations[Name];
    const double Missing =
        Organisation.front().m_CostTokens - Organisation.m_Deficit;
    Rounds = std::min(Rounds, Missing / quantum(Organisation));
  }
  const double Skipped = std::floor(Rounds) - 1;
  if (Skipped < 1)
    return;
  for (const std::string &Name : m_Ring) {
    OrganisationState &Organisation = m_Organisations[Name];
    Organisation.m_Deficit += Skipped * quantum(Organisation);
  }
}

void FairQueue::finishTurn() {
  m_Ring.push_back(m_Ring.front());
  m_Ring.pop_front();
  m_TurnStarted = false;
}

QueuedRequest FairQueue::popFront(OrganisationState &Organisation) {
  std::size_t Index = Organisation.m_Queues.size() - 1;
  while (Index > 0 && Organisation.m_Queues[Index].empty())
    --Index;
  QueuedRequest Request = Organisation.m_Queues[Index].front();
  Organisation.m_Queues[Index].pop_front();
  --Organisation.m_Size;
  --m_Size;
  Organisation.m_QueuedCost -= Request.m_CostTokens;
  Organisation.m_Deficit -= Request.m_CostTokens;
  if (Organisation.m_Size == 0) {
    // An organisation that has nothing to send must not save up a deficit.
    Organisation.m_Deficit = 0;
    Organisation.m_QueuedCost = 0;
    m_Ring.pop_front();
    m_TurnStarted = false;
  }
  return Request;
}

bool FairQueue::remove(std::uint64_t Id) {
  for (auto &[Name, Organisation] : m_Organisations) {
    for (auto &Queue : Organisation.m_Queues) {
      const auto Found =
          std::find_if(Queue.begin(), Queue.end(),
                       [&](const auto &Item) { return Item.m_Id == Id; });
      if (Found == Queue.end())
        continue;
      Organisation.m_QueuedCost -= Found->m_CostTokens;
      Queue.erase(Found);
      --Organisation.m_Size;
      --m_Size;
      if (Organisation.m_Size == 0) {
        Organisation.m_Deficit = 0;
        const auto Place = std::find(m_Ring.begin(), m_Ring.end(), Name);
        m_TurnStarted = m_TurnStarted && Place != m_Ring.begin();
        m_Ring.erase(Place);
      }
      return true;
    }
  }
  return false;
}

std::size_t FairQueue::size(const std::string &Organisation) const {
  const auto Found = m_Organisations.find(Organisation);
  return Found == m_Organisations.end() ? 0 : Found->second.m_Size;
}

double FairQueue::quantum(const OrganisationState &Organisation) const {
  return m_Settings.m_QuantumTokens * Organisation.m_Weight;
}

Duration FairQueue::retryAfter(double CostAhead) const {
  if (m_DrainSeconds <= 0 || m_DrainedTokens <= 0)
    return m_Settings.m_ShortestRetryAfter;
  const double Seconds = std::min(
      CostAhead * m_DrainSeconds / m_DrainedTokens,
      std::chrono::duration<double>(m_Settings.m_LongestRetryAfter).count());
  const auto Wait =
      std::chrono::ceil<Duration>(std::chrono::duration<double>(Seconds));
  return std::max(Wait, m_Settings.m_ShortestRetryAfter);
}

} // namespace fulmarwinch
