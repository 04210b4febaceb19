#include "servers/groups/domain_controller.h"
#include "core/log.h"
#include "servers/groups/assignment_codec.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

/// Failures are classified as a domain outage if the domain has at least this
/// many VMs and more than half of them are missing at once.
constexpr std::size_t MinVmsForDomainOutage = 4;

bool isPresent(const std::string &Vm,
               const std::map<std::string, ListedVm> &Listed,
               const EngineReports &Reports,
               const std::set<std::string> &OverdueLoads, Duration MaxReportAge,
               MonotonicTime Now) {
  const auto Report = Reports.find(Vm);
  return Listed.count(Vm) != 0 && Report != Reports.end() &&
         Report->second.m_Reachable &&
         Now - Report->second.m_PolledAt <= MaxReportAge &&
         Report->second.m_State != EngineState::Failed &&
         OverdueLoads.count(Vm) == 0;
}

FailureKind classifyFailure(const std::string &Vm,
                            const std::map<std::string, ListedVm> &Listed,
                            const EngineReports &Reports, bool IsDomainOutage) {
  if (IsDomainOutage)
    return FailureKind::DomainOutage;
  if (Listed.count(Vm) == 0)
    return FailureKind::Unlisted;
  const auto Report = Reports.find(Vm);
  return Report != Reports.end() && Report->second.m_Reachable
             ? FailureKind::EngineFailed
             : FailureKind::Unreachable;
}

} // namespace

DomainController::DomainController(std::string Domain, std::string Writer,
                                   GroupSettings Settings)
    : m_Domain(std::move(Domain)), m_Writer(std::move(Writer)),
      m_Settings(Settings) {}

void DomainController::setLease(bool IsLeaseHolder, std::uint64_t LeaseEpoch) {
  m_IsLeaseHolder = IsLeaseHolder;
  if (!IsLeaseHolder || LeaseEpoch == m_LeaseEpoch)
    return;
  m_LeaseEpoch = LeaseEpoch;
  m_MustRead = true;
  m_HasStoredAssignment = false;
  m_Reconciler.reset();
  m_Transitions = GroupTransitions();
  m_LoadTimer = LoadTimer();
}

bool DomainController::hasClaimedAssignment() const {
  return m_HasStoredAssignment && m_StoredAssignment.m_Writer == m_Writer &&
         m_StoredAssignment.m_LeaseEpoch == m_LeaseEpoch;
}

void DomainController::updateVmHealth(
    const std::map<std::string, ListedVm> &Listed, const EngineReports &Reports,
    MonotonicTime Now) {
  std::set<std::string> Names;
  for (const auto &[Name, Vm] : Listed)
    Names.insert(Name);
  if (m_HasStoredAssignment)
    for (const auto &[Name, Vm] : m_StoredAssignment.m_Vms)
      Names.insert(Name);
  m_LoadTimer.update(Reports, m_Settings, Now);
  std::set<std::string> Present;
  for (const std::string &Name : Names)
    if (isPresent(Name, Listed, Reports, m_LoadTimer.overdueVms(),
                  m_Settings.m_MaxReportAge, Now))
      Present.insert(Name);
  const std::size_t MissingCount = Names.size() - Present.size();
  const bool IsDomainOutage =
      Names.size() >= MinVmsForDomainOutage && MissingCount * 2 > Names.size();
  for (const std::string &Name : Names)
    m_Health.recordPresence(
        Name, Present.count(Name) != 0,
        classifyFailure(Name, Listed, Reports, IsDomainOutage), Now);
}

std::optional<StoreAction> DomainController::nextStoreCall(DomainView &View,
                                                           StoreCallId Id) {
  if (!m_IsLeaseHolder || m_CallPhase != CallPhase::Idle ||
      View.m_Now < m_NextCallAt)
    return std::nullopt;
  if (!m_MustRead)
    return nextStoreWrite(View, Id);
  m_CallPhase = CallPhase::Reading;
  m_StoreCallId = Id;
  return GetObject{Id, assignmentKey(m_Domain)};
}

std::optional<StoreAction> DomainController::nextStoreWrite(DomainView &View,
                                                            StoreCallId Id) {
  Assignment Next = m_StoredAssignment;
  View.m_NextGeneration = std::max(m_StoredAssignment.m_Generation,
                                   m_Reconciler.highestTokenOfRefusals()) +
                          1;
  View.m_FencedEmptyVms = m_Reconciler.fencedEmptyVms(View.m_Reports);
  const bool HasClaimed = hasClaimedAssignment();
  if (HasClaimed)
    m_Transitions.applyDueTransitions(Next, View);
  // State transitions start only after this node has written the assignment
  // under its own lease epoch: an earlier lease holder might still write until
  // then.
  Next.m_Domain = m_Domain;
  const bool MustWrite =
      !HasClaimed || m_MustInvalidateWrite ||
      m_Reconciler.highestTokenOfRefusals() > m_StoredAssignment.m_Generation;
  if (!MustWrite && Next.m_Vms == m_StoredAssignment.m_Vms &&
      Next.m_Groups == m_StoredAssignment.m_Groups)
    return std::nullopt;
  Next.m_Generation = View.m_NextGeneration;
  Next.m_LeaseEpoch = m_LeaseEpoch;
  Next.m_Writer = m_Writer;
  Next.m_WriteSequence = ++m_WriteSequence;
  if (const absl::Status Status = validateAssignment(Next); !Status.ok()) {
    logLine(LogLevel::Error, "groups", std::string(Status.message()));
    scheduleRetry(View.m_Now);
    return std::nullopt;
  }
  m_PendingWrite = std::move(Next);
  m_CallPhase = CallPhase::Writing;
  m_StoreCallId = Id;
  return PutObject{Id, assignmentKey(m_Domain), m_StoredVersion,
                   serialiseAssignment(m_PendingWrite)};
}

std::vector<EngineOrder> DomainController::dueOrders(DomainView &View) {
  // While a write is in flight or its outcome is unknown, neither the stored
  // assignment nor its generation, the fencing token, is known.
  if (!m_IsLeaseHolder || m_CallPhase != CallPhase::Idle || m_MustRead ||
      m_MustInvalidateWrite || !hasClaimedAssignment())
    return {};
  return m_Reconciler.reconcile(m_StoredAssignment, View);
}

void DomainController::onGetCompleted(const GetCompleted &Event,
                                      MonotonicTime Now) {
  if (m_CallPhase != CallPhase::Reading || Event.m_Id != m_StoreCallId)
    return;
  m_CallPhase = CallPhase::Idle;
  if (Event.m_Outcome == StoreOutcome::NotFound) {
    Assignment NewAssignment;
    NewAssignment.m_Domain = m_Domain;
    setStoredAssignment(std::move(NewAssignment), 0);
    return;
  }
  if (Event.m_Outcome != StoreOutcome::Succeeded) {
    scheduleRetry(Now);
    return;
  }
  absl::StatusOr<Assignment> Parsed = parseAssignment(Event.m_Value);
  if (!Parsed.ok()) {
    logLine(LogLevel::Error, "groups", std::string(Parsed.status().message()));
    scheduleRetry(Now);
    return;
  }
  if (Parsed->m_LeaseEpoch > m_LeaseEpoch) {
    // The object was written under a later lease epoch, so this node is no
    // longer the lease holder.
    scheduleRetry(Now);
    return;
  }
  setStoredAssignment(*std::move(Parsed), Event.m_Version);
}

void DomainController::setStoredAssignment(Assignment Content,
                                           ObjectVersion Version) {
  const bool IsPendingWrite =
      Content.m_Writer == m_Writer &&
      Content.m_WriteSequence == m_PendingWrite.m_WriteSequence;
  // A changed object version shows that the write of unknown outcome was
  // applied or can no longer be applied.
  if (m_WriteOutcomeUnknown)
    m_MustInvalidateWrite = !IsPendingWrite && Version == m_StoredVersion;
  m_WriteOutcomeUnknown = false;
  m_MustRead = false;
  m_StoredAssignment = std::move(Content);
  m_StoredVersion = Version;
  m_HasStoredAssignment = true;
  m_Backoff = Duration::zero();
}

void DomainController::onWriteCompleted(const WriteCompleted &Event,
                                        MonotonicTime Now) {
  if (m_CallPhase != CallPhase::Writing || Event.m_Id != m_StoreCallId)
    return;
  m_CallPhase = CallPhase::Idle;
  switch (Event.m_Outcome) {
  case StoreOutcome::Succeeded:
    m_WriteOutcomeUnknown = false;
    m_MustInvalidateWrite = false;
    m_Reconciler.clearTokenOfRefusals();
    // If the lease epoch changed while the write was in flight, its content is
    // not recorded, and the object is read again.
    if (m_PendingWrite.m_LeaseEpoch == m_LeaseEpoch && !m_MustRead)
      setStoredAssignment(m_PendingWrite, Event.m_Version);
    return;
  case StoreOutcome::Conflict:
  case StoreOutcome::NotFound:
    m_MustInvalidateWrite = false;
    m_MustRead = true;
    return;
  case StoreOutcome::Unavailable:
    scheduleRetry(Now);
    return;
  case StoreOutcome::Unknown:
    m_WriteOutcomeUnknown = true;
    m_MustRead = true;
    scheduleRetry(Now);
    return;
  }
}

void DomainController::onOrderCompleted(const OrderCompleted &Event,
                                        MonotonicTime Now) {
  m_Reconciler.onOrderCompleted(Event, Now);
}

void DomainController::scheduleRetry(MonotonicTime Now) {
  m_Backoff = std::clamp(m_Backoff * 2, m_Settings.m_MinStoreBackoff,
                         m_Settings.m_MaxStoreBackoff);
  m_NextCallAt = Now + m_Backoff;
}

} // namespace fulmarwinch
