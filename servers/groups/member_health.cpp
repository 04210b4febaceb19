#include "servers/groups/member_health.h"

#include <algorithm>
#include <vector>

namespace fulmarwinch {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/// Recovery time assumed before any failure of the kind has been recorded:
/// about the duration of one restart.
constexpr Duration DefaultRecoveryTime = seconds(60);
/// Maximum number of recorded failures per kind; the median is computed from
/// the latest ones.
constexpr std::size_t MaxRecoveryTimeSamples = 64;
/// Two or more failures of a VM within this time count as flapping.
constexpr Duration FlapWindow = minutes(10);
constexpr Duration MinHoldDown = seconds(10);
constexpr Duration MaxHoldDown = minutes(10);

} // namespace

void MemberHealth::recordPresence(const std::string &Vm, bool Present,
                                  FailureKind Kind, MonotonicTime Now) {
  const auto [Found, IsNew] = m_Records.try_emplace(Vm);
  HealthRecord &Record = Found->second;
  if (!IsNew && Record.m_Present == Present) {
    if (!Present)
      Record.m_Kind = Kind;
    return;
  }
  Record.m_Present = Present;
  if (!Present) {
    Record.m_Kind = Kind;
    Record.m_MissingSince = Now;
    if (!IsNew)
      Record.m_FailureTimes.push_back(Now);
    return;
  }
  if (IsNew)
    return;
  std::deque<Duration> &Samples = m_RecoveryTimes[Record.m_Kind];
  Samples.push_back(Now - Record.m_MissingSince);
  if (Samples.size() > MaxRecoveryTimeSamples)
    Samples.pop_front();
  startHoldDown(Record, Now);
}

void MemberHealth::startHoldDown(HealthRecord &Record, MonotonicTime Now) {
  while (!Record.m_FailureTimes.empty() &&
         Now - Record.m_FailureTimes.front() > FlapWindow)
    Record.m_FailureTimes.pop_front();
  // A single failure is not flapping. The hold-down starts with the second
  // failure and doubles with each further one.
  if (Record.m_FailureTimes.size() < 2)
    return;
  const std::size_t Doublings =
      std::min<std::size_t>(Record.m_FailureTimes.size() - 2, 6);
  Record.m_HoldDownUntil =
      Now + std::min(MaxHoldDown,
                     MinHoldDown * static_cast<std::int64_t>(1U << Doublings));
}

bool MemberHealth::isUsable(const std::string &Vm, MonotonicTime Now) const {
  const auto Found = m_Records.find(Vm);
  return Found != m_Records.end() && Found->second.m_Present &&
         Now >= Found->second.m_HoldDownUntil;
}

Duration MemberHealth::expectedRecoveryTime(const std::string &Vm,
                                            MonotonicTime Now) const {
  const auto Found = m_Records.find(Vm);
  if (Found == m_Records.end())
    return DefaultRecoveryTime;
  const HealthRecord &Record = Found->second;
  const Duration RemainingHoldDown =
      std::max(Duration::zero(), Record.m_HoldDownUntil <= Now
                                     ? Duration::zero()
                                     : Record.m_HoldDownUntil - Now);
  if (Record.m_Present)
    return RemainingHoldDown;
  const Duration MissingTime = Now - Record.m_MissingSince;
  std::vector<Duration> LongerSamples;
  if (const auto Samples = m_RecoveryTimes.find(Record.m_Kind);
      Samples != m_RecoveryTimes.end())
    std::copy_if(
        Samples->second.begin(), Samples->second.end(),
        std::back_inserter(LongerSamples),
        [MissingTime](Duration Sample) { return Sample > MissingTime; });
  // A failure that has already lasted longer than all recorded ones is expected
  // to last for the same time again.
  if (LongerSamples.empty())
    return std::max(
        {RemainingHoldDown, MissingTime, DefaultRecoveryTime - MissingTime});
  const auto Median = LongerSamples.begin() +
                      static_cast<std::ptrdiff_t>(LongerSamples.size() / 2);
  std::nth_element(LongerSamples.begin(), Median, LongerSamples.end());
  return std::max(RemainingHoldDown, *Median - MissingTime);
}

} // namespace fulmarwinch
