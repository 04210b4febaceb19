#include "servers/membership/neighbour_selector.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

using Candidate = std::pair<std::uint64_t, const MemberRecord *>;

/// Moves the first candidate that satisfies \p Matches to \p Selected.
template <typename Predicate>
void selectFirst(std::vector<Candidate> &Candidates,
                 std::vector<std::string> &Selected, Predicate Matches) {
  const auto Found = std::find_if(
      Candidates.begin(), Candidates.end(),
      [&](const Candidate &Entry) { return Matches(*Entry.second); });
  if (Found == Candidates.end())
    return;
  Selected.push_back(Found->second->m_NodeId);
  Candidates.erase(Found);
}

} // namespace

std::vector<std::string> NeighbourSelector::select(const MemberTable &Table) {
  const MemberRecord &Self = Table.self();
  std::vector<Candidate> Candidates;
  for (const auto &[Id, Record] : Table.members())
    if (Id != Self.m_NodeId && Record.isReachable())
      Candidates.emplace_back(rendezvousWeight(Self.m_NodeId, Id), &Record);
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return std::tie(Left.first, Left.second->m_NodeId) >
                     std::tie(Right.first, Right.second->m_NodeId);
            });
  std::vector<std::string> Selected;
  selectFirst(Candidates, Selected, [&](const MemberRecord &Other) {
    return Other.m_Region != Self.m_Region;
  });
  selectFirst(Candidates, Selected, [&](const MemberRecord &Other) {
    return Other.m_Region == Self.m_Region && Other.m_Zone != Self.m_Zone;
  });
  while (Selected.size() < NeighbourCount && !Candidates.empty()) {
    const std::size_t CountBefore = Selected.size();
    selectFirst(Candidates, Selected, [&](const MemberRecord &Other) {
      return Other.m_Region == Self.m_Region && Other.m_Zone == Self.m_Zone;
    });
    if (Selected.size() == CountBefore)
      selectFirst(Candidates, Selected,
                  [](const MemberRecord &) { return true; });
  }
  return Selected;
}

} // namespace fulmarwinch
