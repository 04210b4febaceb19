#include "servers/groups/repair_policy.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

double toSeconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

/// Returns the cost of one group that does not serve for \p Downtime while
/// \p StrandedVms of its VMs are idle for \p IdleTime.
double outageCost(double DowntimeWeight, Duration Downtime,
                  double StrandedWeight, std::size_t StrandedVms,
                  Duration IdleTime) {
  return DowntimeWeight * toSeconds(Downtime) +
         StrandedWeight * static_cast<double>(StrandedVms) *
             toSeconds(IdleTime);
}

double donorCost(const Donor &Candidate, const RepairSituation &Situation) {
  const std::size_t RemainingVms =
      Candidate.m_UsableVms > Situation.m_MissingMembers
          ? Candidate.m_UsableVms - Situation.m_MissingMembers
          : 0;
  const Duration OwnReturn = Situation.m_ExpectedRecoveryTime;
  if (!Candidate.m_IsBroken)
    return outageCost(Candidate.m_DowntimeWeight,
                      OwnReturn + Situation.m_ReloadTime,
                      Candidate.m_StrandedWeight, RemainingVms, OwnReturn);
  // Without the repair, the donor waits for its own missing members only. With
  // the repair, it waits for the missing members of both groups. The cost is
  // the difference.
  const Duration LastReturn =
      std::max(OwnReturn, Candidate.m_ExpectedRecoveryTime);
  return outageCost(Candidate.m_DowntimeWeight, LastReturn,
                    Candidate.m_StrandedWeight, RemainingVms, LastReturn) -
         outageCost(Candidate.m_DowntimeWeight,
                    Candidate.m_ExpectedRecoveryTime,
                    Candidate.m_StrandedWeight, Candidate.m_UsableVms,
                    Candidate.m_ExpectedRecoveryTime);
}

/// A repair is chosen only if its cost is below this fraction of the cost of
/// waiting, so that small changes of the estimates do not cause reloads.
constexpr double MaxCostRatioToWaiting = 0.9;

} // namespace

RepairDecision
CostRepairPolicy::chooseRepair(const RepairSituation &Situation) const {
  const auto OwnOutageCost = [&Situation](Duration IncompleteTime) {
    return outageCost(
        Situation.m_DowntimeWeight, IncompleteTime + Situation.m_ReloadTime,
        Situation.m_StrandedWeight, Situation.m_PresentMembers, IncompleteTime);
  };
  const double WaitCost = OwnOutageCost(Situation.m_ExpectedRecoveryTime);
  RepairDecision Best{RepairChoice::Wait, "", WaitCost};
  const auto ConsiderRepair = [&Best, WaitCost](RepairDecision Repair) {
    const double MaxCost = Best.m_Choice == RepairChoice::Wait
                               ? WaitCost * MaxCostRatioToWaiting
                               : Best.m_Cost;
    if (Repair.m_Cost < MaxCost)
      Best = std::move(Repair);
  };
  if (Situation.m_SpareVms >= Situation.m_MissingMembers) {
    ConsiderRepair({RepairChoice::Spare, "", OwnOutageCost(Duration::zero())});
    return Best;
  }
  for (const Donor &Candidate : Situation.m_Donors) {
    if (Candidate.m_UsableVms + Situation.m_SpareVms <
        Situation.m_MissingMembers)
      continue;
    if (!Candidate.m_IsBroken && Candidate.m_Priority >= Situation.m_Priority)
      continue;
    if (Candidate.m_IsBroken && Candidate.m_Priority > Situation.m_Priority)
      continue;
    ConsiderRepair(
        {Candidate.m_IsBroken ? RepairChoice::Combine : RepairChoice::Preempt,
         Candidate.m_Group,
         OwnOutageCost(Situation.m_ReleaseTime) +
             donorCost(Candidate, Situation)});
  }
  return Best;
}

} // namespace fulmarwinch
