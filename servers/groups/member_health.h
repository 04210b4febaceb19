#ifndef FULMARWINCH_SERVERS_GROUPS_MEMBER_HEALTH_H
#define FULMARWINCH_SERVERS_GROUPS_MEMBER_HEALTH_H

#include "core/enum_names.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace fulmarwinch {

/// Kinds of failures of a VM. Recovery times are recorded per kind, because
/// they differ between the kinds. Unlisted: the platform's VM list does not
/// contain the VM. Unreachable: the VM is listed, but its engine has sent no
/// report or did not respond to the last poll. EngineFailed: the engine
/// responded to the last poll, but it has failed, its load is overdue or that
/// report is too old. DomainOutage: more than half of the VMs of the fabric
/// domain are missing.
enum class FailureKind { Unreachable, Unlisted, EngineFailed, DomainOutage };

inline constexpr std::array<EnumName<FailureKind>, 4> FailureKindNames{{
    {FailureKind::Unreachable, "unreachable"},
    {FailureKind::Unlisted, "unlisted"},
    {FailureKind::EngineFailed, "engine_failed"},
    {FailureKind::DomainOutage, "domain_dark"},
}};

/// Health records of the VMs of one fabric domain: which VMs are missing and
/// since when, how long failures of each kind lasted, and the hold-down times
/// of flapping VMs.
class MemberHealth {
public:
  /// Records whether \p Vm is present at \p Now; \p Kind is the kind of failure
  /// if it is missing.
  void recordPresence(const std::string &Vm, bool Present, FailureKind Kind,
                      MonotonicTime Now);
  /// Removes the record of a VM that is no longer listed or assigned.
  void remove(const std::string &Vm) { m_Records.erase(Vm); }

  /// True if \p Vm is present and not in hold-down after flapping.
  bool isUsable(const std::string &Vm, MonotonicTime Now) const;
  /// Returns the expected time until \p Vm is usable again: the median duration
  /// of the recorded failures of this kind that lasted longer than the present
  /// failure has lasted so far, less the duration of the present failure so
  /// far, but at least the remaining hold-down time.
  Duration expectedRecoveryTime(const std::string &Vm, MonotonicTime Now) const;

private:
  /// Health record of one VM.
  struct HealthRecord {
    bool m_Present = true;
    FailureKind m_Kind = FailureKind::Unreachable;
    MonotonicTime m_MissingSince{};
    MonotonicTime m_HoldDownUntil = MonotonicTime::min();
    /// Start times of the last failures.
    std::deque<MonotonicTime> m_FailureTimes;
  };

  /// Starts the hold-down of a VM that is present again, if it is flapping.
  static void startHoldDown(HealthRecord &Record, MonotonicTime Now);

  std::map<std::string, HealthRecord> m_Records;
  std::map<FailureKind, std::deque<Duration>> m_RecoveryTimes;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_MEMBER_HEALTH_H
