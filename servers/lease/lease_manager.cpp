#include "servers/lease/lease_manager.h"
#include "core/rendezvous.h"

#include "fmt/format.h"
#include "xxhash.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

LeaseManager::LeaseManager(const LeaseSettings &Settings, std::string Region,
                           std::string Node, const std::string &Writer)
    : m_Settings(Settings), m_Region(std::move(Region)),
      m_Node(std::move(Node)) {
  for (std::size_t Index = 0; Index < Settings.m_Shards; ++Index)
    m_Entries.push_back(
        {ShardLease(Settings, fmt::format("{}.{}", m_Region, Index), Writer)});
  setLiveNodes({m_Node});
}

void LeaseManager::setLiveNodes(std::vector<std::string> Nodes) {
  if (std::find(Nodes.begin(), Nodes.end(), m_Node) == Nodes.end())
    Nodes.push_back(m_Node);
  for (Entry &Current : m_Entries) {
    Current.m_Rank = rendezvousRank(Current.m_Lease.shard(), Nodes, m_Node);
    Current.m_Lease.setRank(Current.m_Rank, Nodes.size());
  }
}

std::vector<StoreAction> LeaseManager::tick(MonotonicTime Now) {
  considerHandover(Now);
  std::vector<StoreAction> Actions;
  collect(Now, true, Actions);
  collect(Now, false, Actions);
  return Actions;
}

void LeaseManager::considerHandover(MonotonicTime Now) {
  for (Entry &Current : m_Entries) {
    if (Current.m_Rank == 0 || !Current.m_Lease.isHeld(Now)) {
      Current.m_NotFirstSince = MonotonicTime::max();
      continue;
    }
    if (Current.m_NotFirstSince == MonotonicTime::max())
      Current.m_NotFirstSince = Now;
    if (Now - Current.m_NotFirstSince >= m_Settings.m_HandoverAfter)
      Current.m_Lease.handOver();
  }
}

void LeaseManager::collect(MonotonicTime Now, bool Owners,
                           std::vector<StoreAction> &Actions) {
  // Challenges start at another shard each time, so that none of them starves
  // while the bound on calls is reached.
  const std::size_t Start = Owners ? 0 : m_NextChallenge++;
  for (std::size_t Step = 0; Step < m_Entries.size(); ++Step) {
    if (m_InFlight.size() >= m_Settings.m_MaxCallsInFlight)
      return;
    const std::size_t Index = (Start + Step) % m_Entries.size();
    ShardLease &Lease = m_Entries[Index].m_Lease;
    if (Lease.isOwner() != Owners)
      continue;
    std::optional<StoreAction> Call = Lease.nextCall(Now, m_NextId);
    if (!Call)
      continue;
    m_InFlight[m_NextId++] = Index;
    Actions.push_back(std::move(*Call));
  }
}

ShardLease *LeaseManager::take(StoreCallId Id) {
  const auto Found = m_InFlight.find(Id);
  if (Found == m_InFlight.end())
    return nullptr;
  const std::size_t Index = Found->second;
  m_InFlight.erase(Found);
  return &m_Entries[Index].m_Lease;
}

std::vector<StoreAction> LeaseManager::onGetCompleted(const GetCompleted &Event,
                                                      MonotonicTime Now) {
  ShardLease *Lease = take(Event.m_Id);
  if (Lease == nullptr)
    return {};
  Lease->onGetCompleted(Event, Now);
  return tick(Now);
}

std::vector<StoreAction> LeaseManager::onPutCompleted(const PutCompleted &Event,
                                                      MonotonicTime Now) {
  ShardLease *Lease = take(Event.m_Id);
  if (Lease == nullptr)
    return {};
  Lease->onPutCompleted(Event, Now);
  return tick(Now);
}

void LeaseManager::stop() {
  for (Entry &Current : m_Entries)
    Current.m_Lease.stop();
}

bool LeaseManager::isStopped(MonotonicTime Now) const {
  return std::all_of(
      m_Entries.begin(), m_Entries.end(),
      [Now](const Entry &Current) { return Current.m_Lease.isStopped(Now); });
}

const LeaseManager::Entry *LeaseManager::find(std::string_view Shard) const {
  for (const Entry &Current : m_Entries)
    if (Current.m_Lease.shard() == Shard)
      return &Current;
  return nullptr;
}

bool LeaseManager::isHeld(std::string_view Shard, MonotonicTime Now) const {
  const Entry *Found = find(Shard);
  return Found != nullptr && Found->m_Lease.isHeld(Now);
}

std::uint64_t LeaseManager::epoch(std::string_view Shard) const {
  const Entry *Found = find(Shard);
  return Found != nullptr ? Found->m_Lease.epoch() : 0;
}

MonotonicTime LeaseManager::heldUntil(std::string_view Shard) const {
  const Entry *Found = find(Shard);
  return Found ? Found->m_Lease.heldUntil() : MonotonicTime{};
}

std::vector<std::string> LeaseManager::heldShards(MonotonicTime Now) const {
  std::vector<std::string> Shards;
  for (const Entry &Current : m_Entries)
    if (Current.m_Lease.isHeld(Now))
      Shards.push_back(Current.m_Lease.shard());
  return Shards;
}

std::string LeaseManager::shardOfDomain(std::string_view Domain) const {
  const std::uint64_t Hash = XXH3_64bits(Domain.data(), Domain.size());
  return fmt::format("{}.{}", m_Region, Hash % m_Entries.size());
}

} // namespace fulmarwinch
