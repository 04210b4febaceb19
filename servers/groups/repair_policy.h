#ifndef FULMARWINCH_SERVERS_GROUPS_REPAIR_POLICY_H
#define FULMARWINCH_SERVERS_GROUPS_REPAIR_POLICY_H

#include "core/enum_names.h"
#include "core/time.h"

#include <array>
#include <string>
#include <vector>

namespace fulmarwinch {

enum class RepairChoice { Wait, Spare, Combine, Preempt };

inline constexpr std::array<EnumName<RepairChoice>, 4> RepairChoiceNames{{
    {RepairChoice::Wait, "wait"},
    {RepairChoice::Spare, "spare"},
    {RepairChoice::Combine, "combine"},
    {RepairChoice::Preempt, "preempt"},
}};

/// Another group of the domain that could give up its VMs.
struct Donor {
  std::string m_Group;
  bool m_Broken = false;
  int m_Priority = 0;
  double m_DowntimeWeight = 1.0;
  double m_StrandedWeight = 0.1;
  /// Usable members that would become free.
  std::size_t m_UsableVms = 0;
  /// For a broken group, when its own missing members are expected back.
  Duration m_ExpectedReturn{};
};

/// All that the choice for one broken group depends on.
struct RepairSituation {
  int m_Priority = 0;
  double m_DowntimeWeight = 1.0;
  double m_StrandedWeight = 0.1;
  std::size_t m_Missing = 0;
  std::size_t m_Present = 0;
  /// Until the last missing member is usable again.
  Duration m_ExpectedReturn{};
  /// Time to load a whole group from the weight store.
  Duration m_ReloadTime{};
  /// Time until a VM that leaves another group is free.
  Duration m_ReleaseTime = std::chrono::seconds(2);
  std::size_t m_Spares = 0;
  std::vector<Donor> m_Donors;
};

struct RepairDecision {
  RepairChoice m_Choice = RepairChoice::Wait;
  /// Donor of Combine and Preempt.
  std::string m_Donor;
  double m_Cost = 0;
};

/// Chooses how a broken group is repaired and how many groups may load at the
/// same time.
class RepairPolicy {
public:
  RepairPolicy() = default;
  RepairPolicy(const RepairPolicy &) = delete;
  RepairPolicy &operator=(const RepairPolicy &) = delete;
  virtual ~RepairPolicy() = default;

  virtual RepairDecision choose(const RepairSituation &Situation) const = 0;
  /// False if all groups load at once.
  virtual bool ordersLoading() const = 0;
};

/// Takes the choice with the lowest expected cost.
class CostRepairPolicy : public RepairPolicy {
public:
  RepairDecision choose(const RepairSituation &Situation) const override;
  bool ordersLoading() const override { return true; }
};

/// Baseline: first fit without repair. A broken group waits for its members.
class FirstFitPolicy : public RepairPolicy {
public:
  RepairDecision choose(const RepairSituation &) const override { return {}; }
  bool ordersLoading() const override { return false; }
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_REPAIR_POLICY_H
