#include "servers/admission/fair_queue.h"

#include "core/error.h"

#include "fmt/format.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fulmarwinch {

namespace {
/// Lower bound of the weight; a weight of zero would starve an organisation.
constexpr double MinWeight = 0.01;
/// Factor by which older throughput figures decay at each dequeued request.
constexpr double ThroughputDecay = 0.95;
} // namespace

const QueuedRequest &FairQueue::OrganisationState::nextRequest() const {
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
  m_Organisations[Organisation].m_Weight = std::max(Weight, MinWeight);
}

std::vector<ShedRequest> FairQueue::enqueue(const QueuedRequest &Request) {
  OrganisationState &Organisation = m_Organisations[Request.m_Organisation];
  if (Organisation.m_Size == 0)
    m_ActiveOrganisations.push_back(Request.m_Organisation);
  Organisation.m_Queues[static_cast<std::size_t>(Request.m_Priority)].push_back(
      Request);
  ++Organisation.m_Size;
  ++m_Size;
  Organisation.m_QueuedCost += Request.m_CostTokens;
  std::vector<ShedRequest> Shed;
  if (Organisation.m_Size > m_Settings.m_CapacityPerOrganisation)
    Shed.push_back(shedNewest(Organisation, true));
  if (m_Size > m_Settings.m_Capacity)
    Shed.push_back(shedNewest(chooseOrganisationToShed(), false));
  return Shed;
}

FairQueue::OrganisationState &FairQueue::chooseOrganisationToShed() {
  double TotalWeight = 0;
  double TotalCost = 0;
  for (const std::string &Name : m_ActiveOrganisations) {
    TotalWeight += m_Organisations[Name].m_Weight;
    TotalCost += m_Organisations[Name].m_QueuedCost;
  }
  // Only an organisation at or above its weighted share of the queue may lose a
  // request. Otherwise an organisation could displace the requests of others by
  // sending many requests of high priority.
  OrganisationState *ShedCandidate = nullptr;
  double ShedExcess = 0;
  for (const std::string &Name : m_ActiveOrganisations) {
    OrganisationState &Organisation = m_Organisations[Name];
    const double Excess = Organisation.m_QueuedCost / Organisation.m_Weight -
                          TotalCost / TotalWeight;
    const bool IsAtOrOverShare = Excess >= -1e-9 * TotalCost;
    if (!IsAtOrOverShare)
      continue;
    const bool IsPreferred =
        ShedCandidate == nullptr ||
        Organisation.lowestPriority() < ShedCandidate->lowestPriority() ||
        (Organisation.lowestPriority() == ShedCandidate->lowestPriority() &&
         Excess > ShedExcess);
    if (!IsPreferred)
      continue;
    ShedCandidate = &Organisation;
    ShedExcess = Excess;
  }
  return ShedCandidate == nullptr
             ? m_Organisations[m_ActiveOrganisations.front()]
             : *ShedCandidate;
}

ShedRequest FairQueue::shedNewest(OrganisationState &Organisation,
                                  bool IsOrganisationLimit) {
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
        std::find(m_ActiveOrganisations.begin(), m_ActiveOrganisations.end(),
                  Request.m_Organisation);
    m_QuantumAdded = m_QuantumAdded && Found != m_ActiveOrganisations.begin();
    m_ActiveOrganisations.erase(Found);
  }
  const long Milliseconds = static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count());
  const std::string Problem =
      IsOrganisationLimit
          ? fmt::format("{} requests of organisation {} are already queued",
                        Organisation.m_Size, Request.m_Organisation)
          : fmt::format("the node is overloaded, {} requests are queued",
                        m_Size);
  return {Request.m_Id,
          makeError(IsOrganisationLimit ? ErrorKind::LimitExceeded
                                        : ErrorKind::Overloaded,
                    Problem,
                    fmt::format("the request was not run, send it again after "
                                "{} ms or with a higher priority",
                                Milliseconds)),
          Wait};
}

std::optional<QueuedRequest> FairQueue::dequeue(MonotonicTime Now) {
  if (m_Size == 0) {
    // The time from now, when the queue is empty, until the next request
    // arrives must not count as service time, or the measured throughput under
    // load would be too low.
    m_LastDequeue.reset();
    return std::nullopt;
  }
  skipEmptyRounds();
  while (true) {
    OrganisationState &Organisation =
        m_Organisations[m_ActiveOrganisations.front()];
    if (!m_QuantumAdded) {
      Organisation.m_Deficit += quantum(Organisation);
      m_QuantumAdded = true;
    }
    if (Organisation.nextRequest().m_CostTokens <= Organisation.m_Deficit) {
      const QueuedRequest Request = popNextRequest(Organisation);
      recordDequeue(Request.m_CostTokens, Now);
      return Request;
    }
    finishTurn();
  }
}

void FairQueue::recordDequeue(double CostTokens, MonotonicTime Now) {
  if (m_LastDequeue) {
    const std::chrono::duration<double> Elapsed = Now - *m_LastDequeue;
    m_DequeuedTokens = m_DequeuedTokens * ThroughputDecay + CostTokens;
    m_DequeueSeconds = m_DequeueSeconds * ThroughputDecay + Elapsed.count();
  }
  m_LastDequeue = Now;
}

void FairQueue::skipEmptyRounds() {
  // Adds at once the quanta of all rounds in which no organisation could
  // dequeue a request. Otherwise a request that costs many quanta would need
  // many passes over the active organisations.
  double EmptyRounds = std::numeric_limits<double>::max();
  for (const std::string &Name : m_ActiveOrganisations) {
    const OrganisationState &Organisation = m_Organisations[Name];
    const double MissingTokens =
        Organisation.nextRequest().m_CostTokens - Organisation.m_Deficit;
    EmptyRounds = std::min(EmptyRounds, MissingTokens / quantum(Organisation));
  }
  const double SkippedRounds = std::floor(EmptyRounds) - 1;
  if (SkippedRounds < 1)
    return;
  for (const std::string &Name : m_ActiveOrganisations) {
    OrganisationState &Organisation = m_Organisations[Name];
    Organisation.m_Deficit += SkippedRounds * quantum(Organisation);
  }
}

void FairQueue::finishTurn() {
  m_ActiveOrganisations.push_back(m_ActiveOrganisations.front());
  m_ActiveOrganisations.pop_front();
  m_QuantumAdded = false;
}

QueuedRequest FairQueue::popNextRequest(OrganisationState &Organisation) {
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
    // An organisation with an empty queue must not accumulate a deficit for a
    // later burst.
    Organisation.m_Deficit = 0;
    Organisation.m_QueuedCost = 0;
    m_ActiveOrganisations.pop_front();
    m_QuantumAdded = false;
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
        const auto Position = std::find(m_ActiveOrganisations.begin(),
                                        m_ActiveOrganisations.end(), Name);
        m_QuantumAdded =
            m_QuantumAdded && Position != m_ActiveOrganisations.begin();
        m_ActiveOrganisations.erase(Position);
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
  if (m_DequeueSeconds <= 0 || m_DequeuedTokens <= 0)
    return m_Settings.m_MinRetryAfter;
  const double Seconds = std::min(
      CostAhead * m_DequeueSeconds / m_DequeuedTokens,
      std::chrono::duration<double>(m_Settings.m_MaxRetryAfter).count());
  const auto Wait =
      std::chrono::ceil<Duration>(std::chrono::duration<double>(Seconds));
  return std::max(Wait, m_Settings.m_MinRetryAfter);
}

} // namespace fulmarwinch
