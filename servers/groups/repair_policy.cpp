#include "servers/groups/repair_policy.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

double secondsOf(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

/// Cost of one group that is down for \p Down while \p Stranded of its VMs
/// idle for \p Idle.
double costOf(double DowntimeWeight, Duration Down, double StrandedWeight,
              std::size_t Stranded, Duration Idle) {
  return DowntimeWeight * secondsOf(Down) +
         StrandedWeight * static_cast<double>(Stranded) * secondsOf(Idle);
}

double donorCost(const Donor &From, const RepairSituation &Situation) {
  const std::size_t Left = From.m_UsableVms > Situation.m_Missing
                               ? From.m_UsableVms - Situation.m_Missing
                               : 0;
  const Duration Ours = Situation.m_ExpectedReturn;
  if (!From.m_Broken)
    return costOf(From.m_DowntimeWeight, Ours + Situation.m_ReloadTime,
                  From.m_StrandedWeight, Left, Ours);
  // Both groups wait for their members today; afterwards the donor needs the
  // members of both.
  const Duration Later = std::max(Ours, From.m_ExpectedReturn);
  return costOf(From.m_DowntimeWeight, Later, From.m_StrandedWeight, Left,
                Later) -
         costOf(From.m_DowntimeWeight, From.m_ExpectedReturn,
                From.m_StrandedWeight, From.m_UsableVms, From.m_ExpectedReturn);
}

/// A change must be better than waiting by this factor, so that small changes
/// of the estimates don't lead to reloads.
constexpr double ChangeFactor = 0.9;

} // namespace

RepairDecision
CostRepairPolicy::choose(const RepairSituation &Situation) const {
  const auto OwnCost = [&Situation](Duration Incomplete) {
    return costOf(Situation.m_DowntimeWeight,
                  Incomplete + Situation.m_ReloadTime,
                  Situation.m_StrandedWeight, Situation.m_Present, Incomplete);
  };
  const double Wait = OwnCost(Situation.m_ExpectedReturn);
  RepairDecision Best{RepairChoice::Wait, "", Wait};
  const auto Consider = [&Best, Wait](RepairDecision Candidate) {
    const double Limit =
        Best.m_Choice == RepairChoice::Wait ? Wait * ChangeFactor : Best.m_Cost;
    if (Candidate.m_Cost < Limit)
      Best = std::move(Candidate);
  };
  if (Situation.m_Spares >= Situation.m_Missing) {
    Consider({RepairChoice::Spare, "", OwnCost(Duration::zero())});
    return Best;
  }
  for (const Donor &From : Situation.m_Donors) {
    if (From.m_UsableVms + Situation.m_Spares < Situation.m_Missing)
      continue;
    if (!From.m_Broken && From.m_Priority >= Situation.m_Priority)
      continue;
    if (From.m_Broken && From.m_Priority > Situation.m_Priority)
      continue;
    Consider({From.m_Broken ? RepairChoice::Combine : RepairChoice::Preempt,
              From.m_Group,
              OwnCost(Situation.m_ReleaseTime) + donorCost(From, Situation)});
  }
  return Best;
}

} // namespace fulmarwinch
