#include "servers/groups/member_health.h"

#include <algorithm>
#include <vector>

namespace fulmarwinch {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/// Return time assumed before any was observed: about one restart.
constexpr Duration DefaultReturnTime = seconds(60);
/// The quantile runs over this many failures of a kind.
constexpr std::size_t ReturnTimeSamples = 64;
/// Failures within this time count as flapping.
constexpr Duration FlapWindow = minutes(10);
constexpr Duration FirstHold = seconds(10);
constexpr Duration LongestHold = minutes(10);

} // namespace

void MemberHealth::observe(const std::string &Vm, bool Present,
                           FailureKind Kind, MonotonicTime Now) {
  const auto [Found, IsNew] = m_Vms.try_emplace(Vm);
  Presence &Entry = Found->second;
  if (!IsNew && Entry.m_Present == Present) {
    if (!Present)
      Entry.m_Kind = Kind;
    return;
  }
  Entry.m_Present = Present;
  if (!Present) {
    Entry.m_Kind = Kind;
    Entry.m_Since = Now;
    if (!IsNew)
      Entry.m_Failures.push_back(Now);
    return;
  }
  if (IsNew)
    return;
  std::deque<Duration> &Samples = m_ReturnTimes[Entry.m_Kind];
  Samples.push_back(Now - Entry.m_Since);
  if (Samples.size() > ReturnTimeSamples)
    Samples.pop_front();
  startHold(Entry, Now);
}

void MemberHealth::startHold(Presence &Vm, MonotonicTime Now) {
  while (!Vm.m_Failures.empty() && Now - Vm.m_Failures.front() > FlapWindow)
    Vm.m_Failures.pop_front();
  // One failure is no flapping; from the second on the hold time doubles.
  if (Vm.m_Failures.size() < 2)
    return;
  const std::size_t Doublings =
      std::min<std::size_t>(Vm.m_Failures.size() - 2, 6);
  Vm.m_HeldUntil =
      Now + std::min(LongestHold,
                     FirstHold * static_cast<std::int64_t>(1U << Doublings));
}

bool MemberHealth::isUsable(const std::string &Vm, MonotonicTime Now) const {
  const auto Found = m_Vms.find(Vm);
  return Found != m_Vms.end() && Found->second.m_Present &&
         Now >= Found->second.m_HeldUntil;
}

Duration MemberHealth::expectedReturn(const std::string &Vm,
                                      MonotonicTime Now) const {
  const auto Found = m_Vms.find(Vm);
  if (Found == m_Vms.end())
    return DefaultReturnTime;
  const Presence &Entry = Found->second;
  const Duration Hold = std::max(
      Duration::zero(),
      Entry.m_HeldUntil <= Now ? Duration::zero() : Entry.m_HeldUntil - Now);
  if (Entry.m_Present)
    return Hold;
  const Duration Missing = Now - Entry.m_Since;
  std::vector<Duration> Longer;
  if (const auto Samples = m_ReturnTimes.find(Entry.m_Kind);
      Samples != m_ReturnTimes.end())
    std::copy_if(Samples->second.begin(), Samples->second.end(),
                 std::back_inserter(Longer),
                 [Missing](Duration Sample) { return Sample > Missing; });
  // A failure that outlasts all observed ones is expected to last as long
  // again as it has lasted.
  if (Longer.empty())
    return std::max({Hold, Missing, DefaultReturnTime - Missing});
  const auto Middle =
      Longer.begin() + static_cast<std::ptrdiff_t>(Longer.size() / 2);
  std::nth_element(Longer.begin(), Middle, Longer.end());
  return std::max(Hold, *Middle - Missing);
}

} // namespace fulmarwinch
