#ifndef FULMARWINCH_SERVERS_GROUPS_REPAIR_POLICY_H
#define FULMARWINCH_SERVERS_GROUPS_REPAIR_POLICY_H

#include "core/enum_names.h"
#include "core/time.h"

#include <array>
#include <string>
#include <vector>

namespace fulmarwinch {

/// How a broken group is repaired: wait for its missing members, replace them
/// by spare VMs, or replace them by the VMs of another group that is broken as
/// well (Combine) or serves with a lower priority (Preempt).
enum class RepairChoice { Wait, Spare, Combine, Preempt };

inline constexpr std::array<EnumName<RepairChoice>, 4> RepairChoiceNames{{
    {RepairChoice::Wait, "wait"},
    {RepairChoice::Spare, "spare"},
    {RepairChoice::Combine, "combine"},
    {RepairChoice::Preempt, "preempt"},
}};

/// Another group of the same domain that could be drained to release its VMs
/// for the repair.
struct Donor {
  std::string m_Group;
  bool m_IsBroken = false;
  int m_Priority = 0;
  /// See DeploymentSpec::m_DowntimeWeight and DeploymentSpec::m_StrandedWeight.
  double m_DowntimeWeight = 1.0;
  double m_StrandedWeight = 0.1;
  /// Number of usable members, which the drain would release.
  std::size_t m_UsableVms = 0;
  /// Expected time until the last missing member of the donor is usable again;
  /// zero if none is missing.
  Duration m_ExpectedRecoveryTime{};
};

/// Inputs of the repair decision for one broken group.
struct RepairSituation {
  int m_Priority = 0;
  /// See DeploymentSpec::m_DowntimeWeight and DeploymentSpec::m_StrandedWeight.
  double m_DowntimeWeight = 1.0;
  double m_StrandedWeight = 0.1;
  std::size_t m_MissingMembers = 0;
  std::size_t m_PresentMembers = 0;
  /// Expected time until the last missing member is usable again.
  Duration m_ExpectedRecoveryTime{};
  /// Time to load the weights of all members from the weight store.
  Duration m_ReloadTime{};
  /// Time from the drain of a donor until its VMs are free.
  Duration m_ReleaseTime = std::chrono::seconds(2);
  std::size_t m_SpareVms = 0;
  std::vector<Donor> m_Donors;
};

/// Chosen repair with its expected cost.
struct RepairDecision {
  RepairChoice m_Choice = RepairChoice::Wait;
  /// ID of the donor group; empty unless m_Choice is Combine or Preempt.
  std::string m_DonorGroup;
  double m_Cost = 0;
};

/// Decides how a broken group is repaired, and whether the number of groups
/// that load at the same time is limited.
class RepairPolicy {
public:
  RepairPolicy() = default;
  RepairPolicy(const RepairPolicy &) = delete;
  RepairPolicy &operator=(const RepairPolicy &) = delete;
  virtual ~RepairPolicy() = default;

  /// Returns the repair for the broken group that \p Situation describes.
  virtual RepairDecision
  chooseRepair(const RepairSituation &Situation) const = 0;
  /// True if groups wait in the load queue for throughput of the weight store;
  /// false if all groups load at the same time.
  virtual bool limitsConcurrentLoads() const = 0;
};

/// Chooses the repair with the lowest expected cost.
class CostRepairPolicy : public RepairPolicy {
public:
  RepairDecision chooseRepair(const RepairSituation &Situation) const override;
  bool limitsConcurrentLoads() const override { return true; }
};

/// Baseline for comparisons: first-fit placement without repair. A broken group
/// waits until its members are usable again.
class FirstFitPolicy : public RepairPolicy {
public:
  RepairDecision chooseRepair(const RepairSituation &) const override {
    return {};
  }
  bool limitsConcurrentLoads() const override { return false; }
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_REPAIR_POLICY_H
