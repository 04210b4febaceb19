#include "servers/dispatch/server_availability.h"
#include "core/text.h"

#include <algorithm>
#include <cmath>

namespace fulmarwinch {

namespace {

/// Longest pause that a server may ask for, so that a wrong value does not take
/// it out for good.
constexpr Duration MaxRequestedPause = std::chrono::minutes(2);
/// Greatest extension of a requested pause, as a share of it and in total.
constexpr double MaxPauseExtensionShare = 0.25;
constexpr Duration MaxPauseExtension = std::chrono::seconds(1);
/// Time after its end for which a pause is remembered. A server that has
/// answered nothing until then has got no requests or has ended.
constexpr Duration MaxResumingTime = std::chrono::minutes(1);

} // namespace

std::optional<Duration> parseRequestedPause(std::string_view Value) {
  double Seconds = 0.0;
  if (!absl::SimpleAtod(toAbslView(Value), &Seconds) ||
      !std::isfinite(Seconds) || Seconds <= 0.0)
    return std::nullopt;
  const std::chrono::duration<double> Max = MaxRequestedPause;
  return std::chrono::duration_cast<Duration>(
      std::min(Max, std::chrono::duration<double>(Seconds)));
}

ServerAvailability::ServerAvailability(const AvailabilitySettings &Settings)
    : m_Settings(Settings),
      m_Random(static_cast<std::minstd_rand::result_type>(
          Settings.m_RandomSeed ? *Settings.m_RandomSeed
                                : std::random_device()())) {}

Unavailability ServerAvailability::check(const FleetView &Fleet,
                                         const BackendServer &Server,
                                         MonotonicTime Now) const {
  if (Server.m_Draining)
    return Unavailability::Draining;
  if (Fleet.isEvacuated(Server.m_Zone))
    return Unavailability::Evacuated;
  const GroupKey *Group =
      Server.m_Membership ? &Server.m_Membership->m_Group : nullptr;
  if (isSuspected(Server.m_Id, Group, Now))
    return Unavailability::Suspected;
  if (const RequestedPause *Pause = findPause(Server)) {
    if (Pause->m_Until > Now)
      return Unavailability::PauseRequested;
    if (Now - Pause->m_LastDispatchAt < m_Settings.m_ResumingInterval)
      return Unavailability::Resuming;
  }
  if (m_RateLimits.nextRequestAt(Server.m_Id, Server.m_StartedAtMs, Now) > Now)
    return Unavailability::RateLimited;
  if (isBackedOff(Server.m_Id, Now))
    return Unavailability::BackedOff;
  return Unavailability::None;
}

MonotonicTime ServerAvailability::nextRequestAt(const BackendServer &Server,
                                                MonotonicTime Now) const {
  const RequestedPause *Pause = findPause(Server);
  return std::max(
      Pause ? Pause->m_Until : MonotonicTime{},
      m_RateLimits.nextRequestAt(Server.m_Id, Server.m_StartedAtMs, Now));
}

void ServerAvailability::onDispatched(const std::string &Server,
                                      MonotonicTime Now) {
  const auto Pause = m_RequestedPauses.find(Server);
  if (Pause != m_RequestedPauses.end())
    Pause->second.m_LastDispatchAt = Now;
}

void ServerAvailability::onOutput(const std::string &Server,
                                  MonotonicTime Now) {
  const auto Pause = m_RequestedPauses.find(Server);
  if (Pause != m_RequestedPauses.end() && Pause->second.m_Until <= Now)
    m_RequestedPauses.erase(Pause);
}

void ServerAvailability::onNoFreeSlot(const std::string &Server,
                                      MonotonicTime Now) {
  m_BackedOffUntil[Server] = Now + m_Settings.m_NoFreeSlotPause;
}

bool ServerAvailability::onPauseRequested(const ChosenServer &Server,
                                          Duration Pause, MonotonicTime Now) {
  std::uniform_real_distribution<double> Share(0.0, MaxPauseExtensionShare);
  const Duration Extension =
      std::chrono::duration_cast<Duration>(Pause * Share(m_Random));
  removeEndedPauses(Now);
  RequestedPause &Active = m_RequestedPauses[Server.m_Id];
  const bool IsNew =
      Active.m_StartedAtMs != Server.m_StartedAtMs || Active.m_Until <= Now;
  if (Active.m_StartedAtMs != Server.m_StartedAtMs)
    Active = {Server.m_StartedAtMs, {}, {}};
  Active.m_Until = std::max(
      Active.m_Until, Now + Pause + std::min(Extension, MaxPauseExtension));
  return IsNew;
}

bool ServerAvailability::tryAcquire(const FleetView &Fleet,
                                    const ChosenServer &Server,
                                    MonotonicTime Now) {
  const BackendServer *Entry = Fleet.find(Server.m_Id);
  if (!Entry || Entry->m_StartedAtMs != Server.m_StartedAtMs)
    return false;
  const Unavailability Reason = check(Fleet, *Entry, Now);
  // This request is the last one to a server that is resuming.
  const bool IsAvailable = Reason == Unavailability::None ||
                           Reason == Unavailability::BackedOff ||
                           Reason == Unavailability::Resuming;
  return IsAvailable &&
         m_RateLimits.tryAcquire(Server.m_Id, Server.m_StartedAtMs, Now);
}

void ServerAvailability::removeEndedPauses(MonotonicTime Now) {
  for (auto Entry = m_RequestedPauses.begin();
       Entry != m_RequestedPauses.end();)
    Entry = Now - Entry->second.m_Until > MaxResumingTime
                ? m_RequestedPauses.erase(Entry)
                : std::next(Entry);
}

void ServerAvailability::onConnectFailed(const std::string &Server,
                                         MonotonicTime Now) {
  constexpr unsigned MaxDoublings = 4;
  const unsigned FailureCount =
      std::min(MaxDoublings, m_ConnectFailures[Server]++);
  m_BackedOffUntil[Server] =
      Now + m_Settings.m_ConnectFailureBackoff * (1U << FailureCount);
}

void ServerAvailability::onSuspected(const std::string &Server,
                                     const std::optional<GroupKey> &Group,
                                     MonotonicTime Now) {
  m_Suspicions[Server] = {Group, Now + m_Settings.m_SuspicionTime};
}

void ServerAvailability::onResponseReceived(const std::string &Server) {
  m_ConnectFailures.erase(Server);
  m_Suspicions.erase(Server);
}

bool ServerAvailability::isSuspected(const ChosenServer &Server,
                                     MonotonicTime Now) const {
  return isSuspected(Server.m_Id, Server.m_Group ? &*Server.m_Group : nullptr,
                     Now);
}

bool ServerAvailability::isSuspected(const std::string &Server,
                                     const GroupKey *Group,
                                     MonotonicTime Now) const {
  const auto Entry = m_Suspicions.find(Server);
  if (Entry == m_Suspicions.end() || Entry->second.m_Until <= Now)
    return false;
  // A suspicion does not apply to a new group with the same head.
  const std::optional<GroupKey> &SuspectedGroup = Entry->second.m_Group;
  return !SuspectedGroup || !Group || *Group == *SuspectedGroup;
}

const ServerAvailability::RequestedPause *
ServerAvailability::findPause(const BackendServer &Server) const {
  const auto Found = m_RequestedPauses.find(Server.m_Id);
  return Found != m_RequestedPauses.end() &&
                 Found->second.m_StartedAtMs == Server.m_StartedAtMs
             ? &Found->second
             : nullptr;
}

bool ServerAvailability::isBackedOff(const std::string &Server,
                                     MonotonicTime Now) const {
  const auto Until = m_BackedOffUntil.find(Server);
  return Until != m_BackedOffUntil.end() && Until->second > Now;
}

} // namespace fulmarwinch
