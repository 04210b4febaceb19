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

/// Kinds of failures whose return times differ.
enum class FailureKind { Unreachable, Unlisted, EngineFailed, DomainDark };

inline constexpr std::array<EnumName<FailureKind>, 4> FailureKindNames{{
    {FailureKind::Unreachable, "unreachable"},
    {FailureKind::Unlisted, "unlisted"},
    {FailureKind::EngineFailed, "engine_failed"},
    {FailureKind::DomainDark, "domain_dark"},
}};

/// Presence of the VMs of one domain: who is missing since when, how long
/// failures of each kind lasted, and the hold times of flapping members.
class MemberHealth {
public:
  /// Records that \p Vm is present or missing at \p Now.
  void observe(const std::string &Vm, bool Present, FailureKind Kind,
               MonotonicTime Now);
  /// Forgets a VM that is no longer listed or assigned.
  void forget(const std::string &Vm) { m_Vms.erase(Vm); }

  /// True if \p Vm is present and not held for flapping.
  bool isUsable(const std::string &Vm, MonotonicTime Now) const;
  /// Expected time until \p Vm is usable again: the median of the observed
  /// failures of this kind that lasted longer than this one has, less the
  /// time passed, and at least the remaining hold time.
  Duration expectedReturn(const std::string &Vm, MonotonicTime Now) const;

private:
  struct Presence {
    bool m_Present = true;
    FailureKind m_Kind = FailureKind::Unreachable;
    MonotonicTime m_Since{};
    MonotonicTime m_HeldUntil = MonotonicTime::min();
    std::deque<MonotonicTime> m_Failures;
  };

  static void startHold(Presence &Vm, MonotonicTime Now);

  std::map<std::string, Presence> m_Vms;
  std::map<FailureKind, std::deque<Duration>> m_ReturnTimes;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_GROUPS_MEMBER_HEALTH_H
