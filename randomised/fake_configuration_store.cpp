#include "randomised/fake_configuration_store.h"

#include "xxhash.h"

#include <algorithm>
#include <stdexcept>

namespace fulmarwinch {

namespace {

bool drawWithProbability(double Probability, std::mt19937_64 &Random) {
  return Probability > 0 && std::bernoulli_distribution(Probability)(Random);
}

} // namespace

GetCompleted FakeConfigurationStore::get(const GetObject &Call,
                                         std::mt19937_64 &Random) {
  ++m_ReadCount;
  if (m_IsUnavailable)
    return {Call.m_Id, StoreOutcome::Unavailable, 0, ""};
  const auto Object = m_Objects.find(Call.m_Key);
  if (Object == m_Objects.end())
    return {Call.m_Id, StoreOutcome::NotFound, 0, ""};
  const std::vector<StoredVersion> &Versions = Object->second;
  std::size_t Index = Versions.size() - 1;
  if (drawWithProbability(m_StaleReadProbability, Random))
    Index -= std::min<std::size_t>(Index, 1 + Random() % 3);
  return {Call.m_Id, StoreOutcome::Succeeded, Versions[Index].m_Version,
          Versions[Index].m_Value};
}

ObjectVersion FakeConfigurationStore::versionOf(const std::string &Key) const {
  const auto Object = m_Objects.find(Key);
  return Object == m_Objects.end() ? ObjectVersion()
                                   : Object->second.back().m_Version;
}

std::string FakeConfigurationStore::valueOf(const std::string &Key) const {
  const auto Object = m_Objects.find(Key);
  return Object == m_Objects.end() ? "" : Object->second.back().m_Value;
}

ObjectVersion
FakeConfigurationStore::headVersionIfChangedSince(StorePosition Since) const {
  const auto Object = m_Objects.find(ConfigurationHeadKey);
  if (Object == m_Objects.end() ||
      Object->second.back().m_StorePosition <= Since)
    return 0;
  return Object->second.back().m_Version;
}

bool FakeConfigurationStore::applyWrite(const PutObject &Call,
                                        MonotonicTime Now) {
  if (versionOf(Call.m_Key) != Call.m_ExpectedVersion)
    return false;
  m_Objects[Call.m_Key].push_back(
      {Call.m_ExpectedVersion.next(), ++m_Revision, Call.m_Value});
  if (Call.m_Key == ConfigurationHeadKey)
    recordAcceptedHead(Call.m_Value, Now);
  return true;
}

/// Throws unless the head's snapshot and changes result in the same content as
/// all accepted changes in order, so that no change was lost or replaced.
void FakeConfigurationStore::requireHeadMatchesHistory(
    const ConfigurationHead &Head) const {
  ConfigurationView::Pointer View = ConfigurationView::makeEmpty();
  if (Head.m_SnapshotRevision > 0) {
    const auto Snapshot = ConfigurationView::decode(
        valueOf(snapshotKey(Head.m_SnapshotRevision)));
    if (!Snapshot.ok())
      throw std::logic_error(
          "the head refers to a snapshot that is not stored");
    View = *Snapshot;
  }
  for (const ConfigurationChange &Change : Head.m_Changes) {
    const auto NextView = View->withChange(Change);
    if (!NextView.ok())
      throw std::logic_error(
          "a change of the head cannot be applied to its snapshot");
    View = *NextView;
  }
  if (View->encode() != m_AcceptedView->encode())
    throw std::logic_error("the head lost or replaced an accepted change");
}

void FakeConfigurationStore::requireBaseRevisions(
    const ConfigurationChange &Change) const {
  if (m_AcceptedView->revisionOfPlan(Change.m_PlanId))
    throw std::logic_error("plan " + Change.m_PlanId + " was applied twice");
  const auto Request = m_RequestsByPlan.find(Change.m_PlanId);
  if (Request == m_RequestsByPlan.end())
    return;
  for (const ProposedEntry &Entry : Request->second.m_Entries)
    if (m_AcceptedView->revisionOf(Entry.m_Id) != Entry.m_BaseRevision)
      throw std::logic_error("plan " + Change.m_PlanId +
                             " replaced a change that it had not seen");
}

void FakeConfigurationStore::recordAcceptedHead(const std::string &Value,
                                                MonotonicTime Now) {
  const auto Head = decodeHead(Value);
  if (!Head.ok())
    throw std::logic_error("a writer stored a head that cannot be decoded");
  if (Head->m_Revision < m_AcceptedView->revision())
    throw std::logic_error("the accepted revision decreased");
  if (Head->m_Revision == m_AcceptedView->revision())
    return;
  const auto NextView = m_AcceptedView->withChange(Head->m_Changes.back());
  if (!NextView.ok())
    throw std::logic_error("an accepted change was replaced");
  requireBaseRevisions(Head->m_Changes.back());
  m_AcceptedView = *NextView;
  requireHeadMatchesHistory(*Head);
  const std::string Content = m_AcceptedView->encode();
  m_History.push_back({Now, Head->m_Changes.back(),
                       XXH3_64bits(Content.data(), Content.size())});
}

WriteCompleted FakeConfigurationStore::put(const PutObject &Call,
                                           MonotonicTime Now,
                                           std::mt19937_64 &Random) {
  ++m_WriteCount;
  // Each write first applies all delayed writes, with a probability of 1/2.
  std::vector<PutObject> DelayedWrites;
  if (Random() % 2 == 0)
    DelayedWrites.swap(m_DelayedWrites);
  for (const PutObject &Write : DelayedWrites)
    applyWrite(Write, Now);
  if (m_IsUnavailable)
    return {Call.m_Id, StoreOutcome::Unavailable, 0};
  if (drawWithProbability(m_DelayedWriteProbability, Random)) {
    m_DelayedWrites.push_back(Call);
    return {Call.m_Id, StoreOutcome::Unknown, 0};
  }
  const bool Applied = applyWrite(Call, Now);
  if (drawWithProbability(m_LostWriteResponseProbability, Random))
    return {Call.m_Id, StoreOutcome::Unknown, 0};
  return {Call.m_Id, Applied ? StoreOutcome::Succeeded : StoreOutcome::Conflict,
          versionOf(Call.m_Key)};
}

} // namespace fulmarwinch
