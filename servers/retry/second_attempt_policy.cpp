#include "servers/retry/second_attempt_policy.h"

#include <algorithm>
#include <cmath>

namespace fulmarwinch {

namespace {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Upper bound of the first bucket, and factor between two buckets. The
/// greatest bound is 28 s, above the time budgets of the requests; a quantile
/// is at most 20 % too high.
constexpr double ShortestLatencyMs = 1.25;
constexpr double BucketGrowth = 1.2;
/// Time constant of the latencies: a small node has some dozen requests of a
/// model in it, which a high quantile needs.
constexpr Duration LatencyAveragingTime = seconds(10);
/// Shortest time between two decays of the latencies, which touch all buckets.
constexpr Duration DecayInterval = milliseconds(500);
/// Time constant of the share of late attempts. It must show a slow fleet long
/// before the latencies do, since no late attempt may have been answered yet.
constexpr Duration LateAveragingTime = seconds(2);
/// Window in which the second attempts are at most the operator's share of the
/// requests, as long as that of the retry budget.
constexpr Duration ShareWindow = seconds(10);

double decayFactor(Duration Elapsed, Duration AveragingTime) {
  return std::exp(-duration<double>(Elapsed).count() /
                  duration<double>(AveragingTime).count());
}

} // namespace

Duration SecondAttemptPolicy::upperBound(std::size_t Bucket) {
  return std::chrono::duration_cast<Duration>(duration<double, std::milli>(
      ShortestLatencyMs * std::pow(BucketGrowth, Bucket)));
}

Duration SecondAttemptPolicy::quantile(const Latencies &Known, double Share) {
  double Sum = 0.0;
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket) {
    Sum += Known.m_Buckets[Bucket];
    if (Sum >= Known.m_Total * Share)
      return upperBound(Bucket);
  }
  return upperBound(BucketCount - 1);
}

void SecondAttemptPolicy::addLatency(Latencies &Known, Duration Latency,
                                     MonotonicTime Now) {
  if (Now - Known.m_DecayedAt >= DecayInterval) {
    const double Factor =
        decayFactor(Now - Known.m_DecayedAt, LatencyAveragingTime);
    // Summed up anew, so that rounding errors do not add up.
    Known.m_Total = 0.0;
    for (double &Count : Known.m_Buckets)
      Known.m_Total += Count *= Factor;
    Known.m_DecayedAt = Now;
  }
  const double Ms = duration<double, std::milli>(Latency).count();
  const double Position =
      std::ceil(std::log(std::max(Ms, ShortestLatencyMs) / ShortestLatencyMs) /
                std::log(BucketGrowth));
  const auto Bucket =
      std::min(BucketCount - 1, static_cast<std::size_t>(Position));
  Known.m_Buckets[Bucket] += 1.0;
  Known.m_Total += 1.0;
  Known.m_LastRecordAt = Now;
}

void SecondAttemptPolicy::decayRecent(Latencies &Known, MonotonicTime Now) {
  const double Factor =
      decayFactor(Now - Known.m_RecentDecayedAt, LateAveragingTime);
  Known.m_RecentLate *= Factor;
  Known.m_RecentAnswers *= Factor;
  Known.m_RecentDecayedAt = Now;
}

void SecondAttemptPolicy::onRequest(const std::string &Service,
                                    MonotonicTime Now) {
  if (isEnabled())
    share(Service).onRequest(Now);
}

void SecondAttemptPolicy::onAnswer(const LatencyKey &Key, Duration Latency,
                                   MonotonicTime Now) {
  if (!isEnabled())
    return;
  Latencies &Known = m_Latencies[Key];
  addLatency(Known, Latency, Now);
  decayRecent(Known, Now);
  Known.m_RecentAnswers += 1.0;
}

void SecondAttemptPolicy::onNoAnswer(const LatencyKey &Key,
                                     Duration LatencyObjective, Duration Waited,
                                     MonotonicTime Now) {
  if (isEnabled() && isLate(Key, LatencyObjective, Waited, Now))
    addLatency(m_Latencies[Key], Waited, Now);
}

void SecondAttemptPolicy::onLate(const LatencyKey &Key, MonotonicTime Now) {
  if (!isEnabled())
    return;
  Latencies &Known = m_Latencies[Key];
  decayRecent(Known, Now);
  Known.m_RecentLate += 1.0;
}

const SecondAttemptPolicy::Latencies *
SecondAttemptPolicy::find(const LatencyKey &Key) const {
  const auto Entry = m_Latencies.find(Key);
  return Entry == m_Latencies.end() ? nullptr : &Entry->second;
}

Duration SecondAttemptPolicy::delay(const Latencies *Known,
                                    Duration LatencyObjective,
                                    MonotonicTime Now) const {
  const auto Shortest = std::chrono::duration_cast<Duration>(
      LatencyObjective * m_Settings.m_MinDelayShare);
  const double Count =
      Known ? Known->m_Total *
                  decayFactor(Now - Known->m_DecayedAt, LatencyAveragingTime)
            : 0.0;
  if (Count < m_Settings.m_MinLatencies)
    return std::max(Shortest, LatencyObjective);
  return std::max(Shortest,
                  quantile(*Known, std::max(m_Settings.m_MinQuantile,
                                            1.0 - m_Settings.m_MaxShare)));
}

bool SecondAttemptPolicy::isLate(const LatencyKey &Key,
                                 Duration LatencyObjective, Duration Waited,
                                 MonotonicTime Now) const {
  return LatencyObjective > Duration::zero() &&
         Waited >= LatencyObjective * m_Settings.m_MinDelayShare &&
         Waited >= delay(find(Key), LatencyObjective, Now);
}

bool SecondAttemptPolicy::isFleetSlow(const LatencyKey &Key,
                                      MonotonicTime Now) {
  const auto Entry = m_Latencies.find(Key);
  if (Entry == m_Latencies.end())
    return false;
  Latencies &Known = Entry->second;
  decayRecent(Known, Now);
  return Known.m_RecentLate >= m_Settings.m_MinLateAttempts &&
         Known.m_RecentLate > Known.m_RecentAnswers * m_Settings.m_MaxLateShare;
}

SecondAttemptVerdict SecondAttemptPolicy::decide(const WaitingAttempt &Attempt,
                                                 MonotonicTime Now) {
  if (!isEnabled())
    return SecondAttemptVerdict::Off;
  if (!Attempt.m_MayRunMoreThanOnce)
    return SecondAttemptVerdict::NotRepeatable;
  if (Attempt.m_HasAnswer)
    return SecondAttemptVerdict::Answered;
  if (!isLate(Attempt.m_Key, Attempt.m_LatencyObjective, Attempt.m_Waited, Now))
    return SecondAttemptVerdict::NotDue;
  if (Attempt.m_IsStopping)
    return SecondAttemptVerdict::Stopping;
  if (Attempt.m_LacksResources)
    return SecondAttemptVerdict::NoResources;
  if (Attempt.m_IsContentSuspected)
    return SecondAttemptVerdict::SuspectedContent;
  if (Attempt.m_ReachedServers >= Attempt.m_MaxAttempts)
    return SecondAttemptVerdict::MaxAttempts;
  if (Attempt.m_IsOverloaded)
    return SecondAttemptVerdict::Overloaded;
  if (isFleetSlow(Attempt.m_Key, Now))
    return SecondAttemptVerdict::SlowFleet;
  const Latencies *Known = find(Attempt.m_Key);
  constexpr double Median = 0.5;
  if (Known && Known->m_Total > 0.0 &&
      Attempt.m_TimeLeft < quantile(*Known, Median))
    return SecondAttemptVerdict::TooLittleTime;
  if (share(Attempt.m_Key.first).available(Now) < 1.0)
    return SecondAttemptVerdict::ShareUsed;
  if (Attempt.m_RetriesLeft < 1.0 + m_Settings.m_MinRetriesLeft)
    return SecondAttemptVerdict::NoRetryBudget;
  return SecondAttemptVerdict::Send;
}

void SecondAttemptPolicy::onSecondAttempt(const std::string &Service,
                                          MonotonicTime Now) {
  share(Service).tryAcquire(Now);
}

LatencyKnowledge SecondAttemptPolicy::knowledge(const LatencyKey &Key,
                                                Duration LatencyObjective,
                                                MonotonicTime Now) const {
  LatencyKnowledge Result;
  const Latencies *Known = find(Key);
  Result.m_Delay = delay(Known, LatencyObjective, Now);
  if (!Known || Known->m_Total <= 0.0)
    return Result;
  Result.m_Latencies = Known->m_Total * decayFactor(Now - Known->m_DecayedAt,
                                                    LatencyAveragingTime);
  Result.m_Age = Now - Known->m_LastRecordAt;
  return Result;
}

WindowedRetryBudget &SecondAttemptPolicy::share(const std::string &Service) {
  WindowedRetryBudgetSettings Settings;
  Settings.m_RetriesPerRequest = m_Settings.m_MaxShare;
  Settings.m_FixedRetriesPerWindow = 0.0;
  Settings.m_Window = ShareWindow;
  return m_Shares.try_emplace(Service, Settings).first->second;
}

} // namespace fulmarwinch
