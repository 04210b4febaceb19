#include "servers/groups/domain_controller.h"
#include "core/log.h"
#include "servers/groups/assignment_codec.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

/// A domain counts as dark if more than half of at least this many VMs are
/// missing at once.
constexpr std::size_t DarkDomainVms = 4;

bool isPresent(const std::string &Vm,
               const std::map<std::string, ListedVm> &Listed,
               const EngineReports &Reports,
               const std::set<std::string> &Overdue, Duration MaxAge,
               MonotonicTime Now) {
  const auto Report = Reports.find(Vm);
  return Listed.count(Vm) != 0 && Report != Reports.end() &&
         Report->second.m_Reachable && Now - Report->second.m_At <= MaxAge &&
         Report->second.m_State != EngineState::Failed &&
         Overdue.count(Vm) == 0;
}

FailureKind kindOf(const std::string &Vm,
                   const std::map<std::string, ListedVm> &Listed,
                   const EngineReports &Reports, bool Dark) {
  if (Dark)
    return FailureKind::DomainDark;
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

void DomainController::setLease(bool Held, std::uint64_t Epoch) {
  m_Held = Held;
  if (!Held || Epoch == m_Epoch)
    return;
  m_Epoch = Epoch;
  m_MustRead = true;
  m_HasStored = false;
  m_Reconciler.reset();
  m_Transitions = GroupTransitions();
  m_LoadTimer = LoadTimer();
}

bool DomainController::isTakenOver() const {
  return m_HasStored && m_Stored.m_Writer == m_Writer &&
         m_Stored.m_LeaseEpoch == m_Epoch;
}

void DomainController::observe(const std::map<std::string, ListedVm> &Listed,
                               const EngineReports &Reports,
                               MonotonicTime Now) {
  std::set<std::string> Names;
  for (const auto &[Name, Vm] : Listed)
    Names.insert(Name);
  if (m_HasStored)
    for (const auto &[Name, Vm] : m_Stored.m_Vms)
      Names.insert(Name);
  m_LoadTimer.observe(Reports, m_Settings, Now);
  std::set<std::string> Present;
  for (const std::string &Name : Names)
    if (isPresent(Name, Listed, Reports, m_LoadTimer.overdue(),
                  m_Settings.m_ReportAge, Now))
      Present.insert(Name);
  const std::size_t Missing = Names.size() - Present.size();
  const bool Dark = Names.size() >= DarkDomainVms && Missing * 2 > Names.size();
  for (const std::string &Name : Names)
    m_Health.observe(Name, Present.count(Name) != 0,
                     kindOf(Name, Listed, Reports, Dark), Now);
}

std::optional<StoreAction> DomainController::nextCall(DomainView &View,
                                                      StoreCallId Id) {
  if (!m_Held || m_Phase != Phase::Idle || View.m_Now < m_NextCallAt)
    return std::nullopt;
  if (!m_MustRead)
    return nextWrite(View, Id);
  m_Phase = Phase::Reading;
  m_CallId = Id;
  return GetObject{Id, assignmentKey(m_Domain)};
}

std::optional<StoreAction> DomainController::nextWrite(DomainView &View,
                                                       StoreCallId Id) {
  Assignment Next = m_Stored;
  View.m_NextGeneration =
      std::max(m_Stored.m_Generation, m_Reconciler.refusedBelow()) + 1;
  View.m_FencedEmpty = m_Reconciler.fencedEmpty(View.m_Reports);
  const bool TakenOver = isTakenOver();
  if (TakenOver)
    m_Transitions.apply(Next, View);
  // Before the take-over is stored, nothing is known that could be decided.
  Next.m_Domain = m_Domain;
  const bool Bump = !TakenOver || m_MustFence ||
                    m_Reconciler.refusedBelow() > m_Stored.m_Generation;
  if (!Bump && Next.m_Vms == m_Stored.m_Vms &&
      Next.m_Groups == m_Stored.m_Groups)
    return std::nullopt;
  Next.m_Generation = View.m_NextGeneration;
  Next.m_LeaseEpoch = m_Epoch;
  Next.m_Writer = m_Writer;
  Next.m_Sequence = ++m_Sequence;
  if (const absl::Status Status = validateAssignment(Next); !Status.ok()) {
    logLine(LogLevel::Error, "groups", std::string(Status.message()));
    retryLater(View.m_Now);
    return std::nullopt;
  }
  m_Pending = std::move(Next);
  m_Phase = Phase::Writing;
  m_CallId = Id;
  return PutObject{Id, assignmentKey(m_Domain), m_Version,
                   serialiseAssignment(m_Pending)};
}

std::vector<EngineOrder> DomainController::nextOrders(DomainView &View) {
  // While a write is in flight or its outcome unknown, the stored state and
  // with it the token are not known.
  if (!m_Held || m_Phase != Phase::Idle || m_MustRead || m_MustFence ||
      !isTakenOver())
    return {};
  return m_Reconciler.reconcile(m_Stored, View);
}

void DomainController::onGetCompleted(const GetCompleted &Event,
                                      MonotonicTime Now) {
  if (m_Phase != Phase::Reading || Event.m_Id != m_CallId)
    return;
  m_Phase = Phase::Idle;
  if (Event.m_Outcome == StoreOutcome::NotFound) {
    Assignment Fresh;
    Fresh.m_Domain = m_Domain;
    adopt(std::move(Fresh), 0);
    return;
  }
  if (Event.m_Outcome != StoreOutcome::Applied) {
    retryLater(Now);
    return;
  }
  absl::StatusOr<Assignment> Value = parseAssignment(Event.m_Value);
  if (!Value.ok()) {
    logLine(LogLevel::Error, "groups", std::string(Value.status().message()));
    retryLater(Now);
    return;
  }
  if (Value->m_LeaseEpoch > m_Epoch) {
    // A later holder has written; this lease is over.
    retryLater(Now);
    return;
  }
  adopt(*std::move(Value), Event.m_Version);
}

void DomainController::adopt(Assignment Value, ObjectVersion Version) {
  const bool OwnWrite =
      Value.m_Writer == m_Writer && Value.m_Sequence == m_Pending.m_Sequence;
  // A changed version shows that the unresolved write took effect or can no
  // longer do so.
  if (m_Unresolved)
    m_MustFence = !OwnWrite && Version == m_Version;
  m_Unresolved = false;
  m_MustRead = false;
  m_Stored = std::move(Value);
  m_Version = Version;
  m_HasStored = true;
  m_Backoff = Duration::zero();
}

void DomainController::onPutCompleted(const PutCompleted &Event,
                                      MonotonicTime Now) {
  if (m_Phase != Phase::Writing || Event.m_Id != m_CallId)
    return;
  m_Phase = Phase::Idle;
  switch (Event.m_Outcome) {
  case StoreOutcome::Applied:
    m_Unresolved = false;
    m_MustFence = false;
    m_Reconciler.clearRefusal();
    // The lease may have changed while the write was in flight.
    if (m_Pending.m_LeaseEpoch == m_Epoch && !m_MustRead)
      adopt(m_Pending, Event.m_Version);
    return;
  case StoreOutcome::Conflict:
  case StoreOutcome::NotFound:
    m_MustFence = false;
    m_MustRead = true;
    return;
  case StoreOutcome::Unavailable:
    retryLater(Now);
    return;
  case StoreOutcome::Unknown:
    m_Unresolved = true;
    m_MustRead = true;
    retryLater(Now);
    return;
  }
}

void DomainController::onOrderCompleted(const OrderCompleted &Event,
                                        MonotonicTime Now) {
  m_Reconciler.onOrderCompleted(Event, Now);
}

void DomainController::retryLater(MonotonicTime Now) {
  m_Backoff = std::clamp(m_Backoff * 2, m_Settings.m_StoreRetry,
                         m_Settings.m_StoreRetryMax);
  m_NextCallAt = Now + m_Backoff;
}

} // namespace fulmarwinch
