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
  for (std::size_t Index = 0; Index < Settings.m_ShardCount; ++Index)
    m_Entries.push_back(
        {ShardLease(Settings, fmt::format("{}.{}", m_Region, Index), Writer)});
  setLiveNodes({m_Node});
}

void LeaseManager::setLiveNodes(std::vector<std::string> Nodes) {
  if (std::find(Nodes.begin(), Nodes.end(), m_Node) == Nodes.end())
    Nodes.push_back(m_Node);
  for (ShardEntry &Entry : m_Entries) {
    Entry.m_Rank = rendezvousRank(Entry.m_Lease.shard(), Nodes, m_Node);
    Entry.m_Lease.setRank(Entry.m_Rank, Nodes.size());
  }
}

std::vector<StoreAction> LeaseManager::tick(MonotonicTime Now) {
  handOverToPreferredNodes(Now);
  std::vector<StoreAction> Actions;
  collectCalls(Now, true, Actions);
  collectCalls(Now, false, Actions);
  return Actions;
}

void LeaseManager::handOverToPreferredNodes(MonotonicTime Now) {
  for (ShardEntry &Entry : m_Entries) {
    if (Entry.m_Rank == 0 || !Entry.m_Lease.isHeld(Now)) {
      Entry.m_NotPreferredSince = MonotonicTime::max();
      continue;
    }
    if (Entry.m_NotPreferredSince == MonotonicTime::max())
      Entry.m_NotPreferredSince = Now;
    if (Now - Entry.m_NotPreferredSince >= m_Settings.m_HandoverDelay)
      Entry.m_Lease.releaseForHandover();
  }
}

void LeaseManager::collectCalls(MonotonicTime Now, bool ForOwnedLeases,
                                std::vector<StoreAction> &Actions) {
  // The search for due challenges starts at a different shard each time, so
  // that no shard is skipped permanently while the limit on calls in flight is
  // reached.
  const std::size_t FirstIndex = ForOwnedLeases ? 0 : m_NextChallengeStart++;
  for (std::size_t Offset = 0; Offset < m_Entries.size(); ++Offset) {
    if (m_CallsInFlight.size() >= m_Settings.m_MaxCallsInFlight)
      return;
    const std::size_t Index = (FirstIndex + Offset) % m_Entries.size();
    ShardLease &Lease = m_Entries[Index].m_Lease;
    if (Lease.ownsLease() != ForOwnedLeases)
      continue;
    std::optional<StoreAction> Call = Lease.nextCall(Now, m_NextCallId);
    if (!Call)
      continue;
    m_CallsInFlight[m_NextCallId++] = Index;
    Actions.push_back(std::move(*Call));
  }
}

ShardLease *LeaseManager::endCall(StoreCallId Id) {
  const auto Found = m_CallsInFlight.find(Id);
  if (Found == m_CallsInFlight.end())
    return nullptr;
  const std::size_t Index = Found->second;
  m_CallsInFlight.erase(Found);
  return &m_Entries[Index].m_Lease;
}

std::vector<StoreAction> LeaseManager::onGetCompleted(const GetCompleted &Event,
                                                      MonotonicTime Now) {
  ShardLease *Lease = endCall(Event.m_Id);
  if (Lease == nullptr)
    return {};
  Lease->onGetCompleted(Event, Now);
  return tick(Now);
}

std::vector<StoreAction>
LeaseManager::onWriteCompleted(const WriteCompleted &Event, MonotonicTime Now) {
  ShardLease *Lease = endCall(Event.m_Id);
  if (Lease == nullptr)
    return {};
  Lease->onWriteCompleted(Event, Now);
  return tick(Now);
}

void LeaseManager::stop() {
  for (ShardEntry &Entry : m_Entries)
    Entry.m_Lease.stop();
}

bool LeaseManager::isStopped(MonotonicTime Now) const {
  return std::all_of(
      m_Entries.begin(), m_Entries.end(),
      [Now](const ShardEntry &Entry) { return Entry.m_Lease.isStopped(Now); });
}

const LeaseManager::ShardEntry *
LeaseManager::find(std::string_view Shard) const {
  for (const ShardEntry &Entry : m_Entries)
    if (Entry.m_Lease.shard() == Shard)
      return &Entry;
  return nullptr;
}

bool LeaseManager::isHeld(std::string_view Shard, MonotonicTime Now) const {
  const ShardEntry *Found = find(Shard);
  return Found != nullptr && Found->m_Lease.isHeld(Now);
}

std::uint64_t LeaseManager::epoch(std::string_view Shard) const {
  const ShardEntry *Found = find(Shard);
  return Found != nullptr ? Found->m_Lease.epoch() : 0;
}

MonotonicTime LeaseManager::heldUntil(std::string_view Shard) const {
  const ShardEntry *Found = find(Shard);
  return Found ? Found->m_Lease.heldUntil() : MonotonicTime{};
}

std::vector<std::string> LeaseManager::heldShards(MonotonicTime Now) const {
  std::vector<std::string> Shards;
  for (const ShardEntry &Entry : m_Entries)
    if (Entry.m_Lease.isHeld(Now))
      Shards.push_back(Entry.m_Lease.shard());
  return Shards;
}

std::string LeaseManager::shardOfDomain(std::string_view Domain) const {
  const std::uint64_t Hash = XXH3_64bits(Domain.data(), Domain.size());
  return fmt::format("{}.{}", m_Region, Hash % m_Entries.size());
}

} // namespace fulmarwinch
