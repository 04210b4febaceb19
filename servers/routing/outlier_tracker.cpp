#include "servers/routing/outlier_tracker.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace fulmarwinch {

OutlierTracker::OutlierTracker(const OutlierSettings &Settings)
    : m_Settings(Settings) {}

void OutlierTracker::onSuccess(const std::string &Group, RequestClass Class,
                               MonotonicTime Now) {
  Shard &OwningShard = m_Shards[shardIndex(Group)];
  const std::lock_guard<std::mutex> Lock(OwningShard.m_Mutex);
  FailureRecord &Entry = OwningShard.m_FailureRecords[{Group, Class}];
  Entry.m_LastSuccess = Now;
  Entry.m_ConsecutiveFailures = 0;
  Entry.m_EjectionCount = 0;
  Entry.m_ProbeInFlight = false;
  Entry.m_EjectedUntil = MonotonicTime{};
}

void OutlierTracker::onFailure(const std::string &Group, RequestClass Class,
                               MonotonicTime Now) {
  Shard &OwningShard = m_Shards[shardIndex(Group)];
  const std::lock_guard<std::mutex> Lock(OwningShard.m_Mutex);
  FailureRecord &Entry = OwningShard.m_FailureRecords[{Group, Class}];
  Entry.m_FailureLoad = decayedFailures(Entry, Now) + 1.0;
  Entry.m_LastFailure = Now;
  ++Entry.m_ConsecutiveFailures;
  if (Entry.m_LastSuccess &&
      Entry.m_ConsecutiveFailures < m_Settings.m_FailuresToEject)
    return;
  // Failures of requests that were in flight when the group was ejected do not
  // prolong the ejection; the failure of a probe does.
  if (Now < Entry.m_EjectedUntil && !Entry.m_ProbeInFlight)
    return;
  Entry.m_ProbeInFlight = false;
  Entry.m_EjectedUntil = Now + ejectionTime(Entry.m_EjectionCount++);
}

OutlierState OutlierTracker::state(const std::string &Group, RequestClass Class,
                                   MonotonicTime Now) const {
  const Shard &OwningShard = m_Shards[shardIndex(Group)];
  const std::lock_guard<std::mutex> Lock(OwningShard.m_Mutex);
  if (OwningShard.m_FailureRecords.empty())
    return {};
  const auto Found = OwningShard.m_FailureRecords.find({Group, Class});
  if (Found == OwningShard.m_FailureRecords.end())
    return {};
  return {Found->second.m_EjectionCount > 0 &&
              Now < Found->second.m_EjectedUntil,
          decayedFailures(Found->second, Now)};
}

void OutlierTracker::onDispatch(const std::string &Group, RequestClass Class,
                                MonotonicTime Now) {
  Shard &OwningShard = m_Shards[shardIndex(Group)];
  const std::lock_guard<std::mutex> Lock(OwningShard.m_Mutex);
  const auto Found = OwningShard.m_FailureRecords.find({Group, Class});
  if (Found == OwningShard.m_FailureRecords.end() ||
      Found->second.m_EjectionCount == 0)
    return;
  // Only one request probes the group; the ejection is extended for all others
  // until the result of the probe is known.
  Found->second.m_ProbeInFlight = true;
  Found->second.m_EjectedUntil = std::max(Found->second.m_EjectedUntil,
                                          Now + m_Settings.m_FirstEjectionTime);
}

std::vector<OutlierEjection>
OutlierTracker::activeEjections(MonotonicTime Now) const {
  std::vector<OutlierEjection> Result;
  for (const Shard &OwningShard : m_Shards) {
    const std::lock_guard<std::mutex> Lock(OwningShard.m_Mutex);
    for (const auto &[Key, Entry] : OwningShard.m_FailureRecords)
      if (Entry.m_EjectionCount > 0 && Now < Entry.m_EjectedUntil)
        Result.push_back({Key.first, Key.second, Entry.m_EjectionCount,
                          Entry.m_EjectedUntil - Now});
  }
  return Result;
}

void OutlierTracker::mergeEjections(const std::vector<OutlierEjection> &Records,
                                    MonotonicTime Now) {
  for (const OutlierEjection &Peer : Records) {
    Shard &OwningShard = m_Shards[shardIndex(Peer.m_Group)];
    const std::lock_guard<std::mutex> Lock(OwningShard.m_Mutex);
    FailureRecord &Entry =
        OwningShard.m_FailureRecords[{Peer.m_Group, Peer.m_Class}];
    // A recent success on this node shows that the peer's failures have another
    // cause. An equal ejection count means that this node already knows the
    // ejection; merging it again would extend it by the delay of the exchange.
    if ((Entry.m_LastSuccess &&
         Now - *Entry.m_LastSuccess <= m_Settings.m_SuccessValidity) ||
        Peer.m_EjectionCount <= Entry.m_EjectionCount)
      continue;
    Entry.m_EjectionCount = Peer.m_EjectionCount;
    // The peer that saw the failure probes the group first and shares the
    // result; otherwise all nodes would send a probe at the same time.
    Entry.m_EjectedUntil =
        Now + std::min(Peer.m_RemainingTime, m_Settings.m_MaxEjectionTime) +
        m_Settings.m_FirstEjectionTime / 2;
  }
}

void OutlierTracker::removeGroup(const std::string &Group) {
  Shard &OwningShard = m_Shards[shardIndex(Group)];
  const std::lock_guard<std::mutex> Lock(OwningShard.m_Mutex);
  const auto First = OwningShard.m_FailureRecords.lower_bound({Group, 0});
  auto Last = First;
  while (Last != OwningShard.m_FailureRecords.end() &&
         Last->first.first == Group)
    ++Last;
  OwningShard.m_FailureRecords.erase(First, Last);
}

double OutlierTracker::decayedFailures(const FailureRecord &Entry,
                                       MonotonicTime Now) const {
  const std::chrono::duration<double> Age = Now - Entry.m_LastFailure;
  const std::chrono::duration<double> HalfLife = m_Settings.m_FailureHalfLife;
  return Entry.m_FailureLoad *
         std::exp2(-std::max(0.0, Age.count()) / HalfLife.count());
}

Duration OutlierTracker::ejectionTime(std::uint32_t EjectionCount) const {
  const std::uint32_t Doublings = std::min<std::uint32_t>(EjectionCount, 16);
  return std::min(m_Settings.m_MaxEjectionTime,
                  m_Settings.m_FirstEjectionTime * (1 << Doublings));
}

std::size_t OutlierTracker::shardIndex(const std::string &Group) const {
  return std::hash<std::string>{}(Group) % m_Shards.size();
}

} // namespace fulmarwinch
