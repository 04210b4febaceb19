#include "servers/routing/outlier_tracker.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace fulmarwinch {

OutlierTracker::OutlierTracker(const OutlierSettings &Settings)
    : m_Settings(Settings) {}

void OutlierTracker::onSuccess(const std::string &Group, RequestClass Class,
                               MonotonicTime Now) {
  Shard &Part = m_Shards[indexOf(Group)];
  const std::lock_guard<std::mutex> Lock(Part.m_Mutex);
  Record &Entry = Part.m_Records[{Group, Class}];
  Entry.m_LastSuccess = Now;
  Entry.m_FailuresInARow = 0;
  Entry.m_Removals = 0;
  Entry.m_Trial = false;
  Entry.m_RemovedUntil = MonotonicTime{};
}

void OutlierTracker::onFailure(const std::string &Group, RequestClass Class,
                               MonotonicTime Now) {
  Shard &Part = m_Shards[indexOf(Group)];
  const std::lock_guard<std::mutex> Lock(Part.m_Mutex);
  Record &Entry = Part.m_Records[{Group, Class}];
  Entry.m_FailureLoad = decayed(Entry, Now) + 1.0;
  Entry.m_LastFailure = Now;
  ++Entry.m_FailuresInARow;
  if (Entry.m_LastSuccess &&
      Entry.m_FailuresInARow < m_Settings.m_FailuresToRemove)
    return;
  // Requests that were in flight when the group was removed do not prolong
  // the removal; the result of a trial does.
  if (Now < Entry.m_RemovedUntil && !Entry.m_Trial)
    return;
  Entry.m_Trial = false;
  Entry.m_RemovedUntil = Now + removalTime(Entry.m_Removals++);
}

OutlierState OutlierTracker::state(const std::string &Group, RequestClass Class,
                                   MonotonicTime Now) const {
  const Shard &Part = m_Shards[indexOf(Group)];
  const std::lock_guard<std::mutex> Lock(Part.m_Mutex);
  if (Part.m_Records.empty())
    return {};
  const auto Found = Part.m_Records.find({Group, Class});
  if (Found == Part.m_Records.end())
    return {};
  return {Found->second.m_Removals > 0 && Now < Found->second.m_RemovedUntil,
          decayed(Found->second, Now)};
}

void OutlierTracker::onDispatch(const std::string &Group, RequestClass Class,
                                MonotonicTime Now) {
  Shard &Part = m_Shards[indexOf(Group)];
  const std::lock_guard<std::mutex> Lock(Part.m_Mutex);
  const auto Found = Part.m_Records.find({Group, Class});
  if (Found == Part.m_Records.end() || Found->second.m_Removals == 0)
    return;
  // The trial is one request; others wait for its result.
  Found->second.m_Trial = true;
  Found->second.m_RemovedUntil =
      std::max(Found->second.m_RemovedUntil, Now + m_Settings.m_FirstRemoval);
}

std::vector<OutlierRecord> OutlierTracker::records(MonotonicTime Now) const {
  std::vector<OutlierRecord> Result;
  for (const Shard &Part : m_Shards) {
    const std::lock_guard<std::mutex> Lock(Part.m_Mutex);
    for (const auto &[Key, Entry] : Part.m_Records)
      if (Entry.m_Removals > 0 && Now < Entry.m_RemovedUntil)
        Result.push_back({Key.first, Key.second, Entry.m_Removals,
                          Entry.m_RemovedUntil - Now});
  }
  return Result;
}

void OutlierTracker::merge(const std::vector<OutlierRecord> &Records,
                           MonotonicTime Now) {
  for (const OutlierRecord &Peer : Records) {
    Shard &Part = m_Shards[indexOf(Peer.m_Group)];
    const std::lock_guard<std::mutex> Lock(Part.m_Mutex);
    Record &Entry = Part.m_Records[{Peer.m_Group, Peer.m_Class}];
    // The own success shows that the peer's failures have another cause. An
    // equal count of removals is the same removal and is not prolonged by the
    // delay of the exchange.
    if ((Entry.m_LastSuccess &&
         Now - *Entry.m_LastSuccess <= m_Settings.m_ProofAge) ||
        Peer.m_Removals <= Entry.m_Removals)
      continue;
    Entry.m_Removals = Peer.m_Removals;
    // The peer that met the failure tries the group first and tells the
    // result; otherwise all nodes would send a trial at the same time.
    Entry.m_RemovedUntil =
        Now + std::min(Peer.m_Remaining, m_Settings.m_LongestRemoval) +
        m_Settings.m_FirstRemoval / 2;
  }
}

void OutlierTracker::forget(const std::string &Group) {
  Shard &Part = m_Shards[indexOf(Group)];
  const std::lock_guard<std::mutex> Lock(Part.m_Mutex);
  const auto First = Part.m_Records.lower_bound({Group, 0});
  auto Last = First;
  while (Last != Part.m_Records.end() && Last->first.first == Group)
    ++Last;
  Part.m_Records.erase(First, Last);
}

double OutlierTracker::decayed(const Record &Entry, MonotonicTime Now) const {
  const std::chrono::duration<double> Age = Now - Entry.m_LastFailure;
  const std::chrono::duration<double> HalfLife = m_Settings.m_HalfLife;
  return Entry.m_FailureLoad *
         std::exp2(-std::max(0.0, Age.count()) / HalfLife.count());
}

Duration OutlierTracker::removalTime(std::uint32_t Removals) const {
  const std::uint32_t Doublings = std::min<std::uint32_t>(Removals, 16);
  return std::min(m_Settings.m_LongestRemoval,
                  m_Settings.m_FirstRemoval * (1 << Doublings));
}

std::size_t OutlierTracker::indexOf(const std::string &Group) const {
  return std::hash<std::string>{}(Group) % m_Shards.size();
}

} // namespace fulmarwinch
