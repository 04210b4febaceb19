#include "servers/admission/slot_granter.h"

#include <algorithm>

namespace fulmarwinch {

namespace {
/// Bounds the memory for start IDs that nodes sent and that no server report
/// has contained yet.
constexpr std::size_t MaxUnconfirmedStartIds = 16;
} // namespace

std::size_t SlotGranter::NodeState::chargedSlots() const {
  std::size_t MaxSlots = 0;
  for (const SlotCharge &Entry : m_Charges)
    MaxSlots = std::max(MaxSlots, Entry.m_Slots);
  return MaxSlots;
}

std::size_t SlotGranter::NodeState::maxInFlight() const {
  // A grant limits the total of the node's requests in flight, so the grants of
  // one node do not add up.
  return std::max(chargedSlots(), m_ResidualInFlight);
}

SlotGranter::SlotGranter(const SlotGranterSettings &Settings)
    : m_Settings(Settings) {}

void SlotGranter::onLease(std::uint64_t Epoch, MonotonicTime ValidUntil,
                          MonotonicTime Now) {
  if (!m_HasLease || Epoch != m_Epoch) {
    m_Servers.clear();
    m_AcquiredAt = Now;
  }
  m_HasLease = true;
  m_Epoch = Epoch;
  m_ValidUntil = ValidUntil;
}

void SlotGranter::onLeaseLost() {
  m_HasLease = false;
  m_Servers.clear();
}

void SlotGranter::onReport(const ServerReport &Report,
                           MonotonicTime RequestedAt, MonotonicTime Now) {
  // A report requested before this node acquired the lease may miss requests
  // that were sent later with slots of the earlier lease holder.
  if (!m_HasLease || RequestedAt < m_AcquiredAt)
    return;
  const auto [Found, FirstReport] = m_Servers.try_emplace(Report.m_Server);
  ServerState &State = Found->second;
  // If two polls overlap, it is unknown which report is newer. Applied in the
  // wrong order, the completed counter would seem to decrease, which resets the
  // ramp.
  if (!FirstReport && RequestedAt < State.m_ReportReceivedAt)
    return;
  // The slots of earlier lease holders had expired when this lease was
  // acquired, so the last requests sent with them reach the backend server
  // within the maximum transit time.
  if (FirstReport)
    State.m_CountableFrom = m_AcquiredAt + m_Settings.m_MaxTransitTime;
  updateRamp(State, Report, FirstReport, RequestedAt, Now);
  State.m_Report = Report;
  State.m_ReportRequestedAt = RequestedAt;
  State.m_ReportReceivedAt = Now;
  const std::size_t InFlight = Report.m_Running + Report.m_Waiting;
  if (RequestedAt >= State.m_CountableFrom) {
    State.m_InheritedInFlight =
        State.m_InFlightCounted ? std::min(State.m_InheritedInFlight, InFlight)
                                : InFlight;
    State.m_InFlightCounted = true;
  }
  retireExpiredCharges(State, RequestedAt);
}

void SlotGranter::updateRamp(ServerState &State, const ServerReport &Report,
                             bool FirstReport, MonotonicTime RequestedAt,
                             MonotonicTime Now) const {
  const bool Restarted = FirstReport ||
                         Report.m_StartId != State.m_Report.m_StartId ||
                         Report.m_Completed < State.m_Report.m_Completed;
  if (Restarted || Report.m_Cold) {
    State.m_RampLevel = std::min(Report.m_ColdCapacity, Report.m_WarmCapacity);
    State.m_StepStartedAt.reset();
    // Nodes that have not learnt of the cold state yet send requests without
    // slots. No charge covers these requests.
    if (State.m_MayBeWarm && (!FirstReport || Report.m_Cold)) {
      State.m_InFlightCounted = false;
      State.m_CountableFrom =
          Now + m_Settings.m_MaxColdNoticeDelay + m_Settings.m_MaxTransitTime;
    }
    // After a change of the lease holder, nodes may treat a backend server that
    // is not cold as warm.
    State.m_MayBeWarm = FirstReport && !Report.m_Cold;
  }
  if (Report.m_Cold)
    return;
  if (!State.m_StepStartedAt) {
    State.m_StepStartedAt = Now;
    return;
  }
  if (RequestedAt < *State.m_StepStartedAt + m_Settings.m_RampStepDuration)
    return;
  State.m_RampLevel = std::min(State.m_RampLevel * 2, Report.m_WarmCapacity);
  State.m_StepStartedAt = Now;
  State.m_MayBeWarm =
      State.m_MayBeWarm || State.m_RampLevel == Report.m_WarmCapacity;
}

void SlotGranter::retireExpiredCharges(ServerState &State,
                                       MonotonicTime RequestedAt) const {
  const std::size_t InFlight =
      State.m_Report.m_Running + State.m_Report.m_Waiting;
  for (auto Entry = State.m_Nodes.begin(); Entry != State.m_Nodes.end();) {
    NodeState &Node = Entry->second;
    std::size_t RetiredSlots = 0;
    const auto IsRetired = [&](const SlotCharge &Charge) {
      if (Charge.m_ExpiresAt + m_Settings.m_MaxTransitTime > RequestedAt)
        return false;
      RetiredSlots = std::max(RetiredSlots, Charge.m_Slots);
      return true;
    };
    Node.m_Charges.erase(
        std::remove_if(Node.m_Charges.begin(), Node.m_Charges.end(), IsRetired),
        Node.m_Charges.end());
    // Requests of a retired charge that are not in this report have ended.
    Node.m_ResidualInFlight =
        std::min(std::max(Node.m_ResidualInFlight, RetiredSlots), InFlight);
    const bool Idle = Node.m_Charges.empty() && Node.m_ResidualInFlight == 0;
    Entry = Idle ? State.m_Nodes.erase(Entry) : std::next(Entry);
  }
}

std::variant<SlotGrant, SlotRefusal>
SlotGranter::onRequest(const SlotRequest &Request, MonotonicTime Now) {
  const Duration Lifetime =
      m_HasLease ? std::min(m_Settings.m_SlotLifetime, m_ValidUntil - Now)
                 : Duration::zero();
  if (Lifetime < m_Settings.m_MinSlotLifetime)
    return SlotRefusal::NoLease;
  const auto Found = m_Servers.find(Request.m_Server);
  if (Found == m_Servers.end())
    return SlotRefusal::InFlightNotCounted;
  ServerState &State = Found->second;
  if (Request.m_Failures > 0 && State.m_StepStartedAt)
    State.m_StepStartedAt = Now;
  std::uint64_t &KnownLosses = State.m_LostConnections[Request.m_Node];
  if (Request.m_LostConnections > KnownLosses) {
    KnownLosses = Request.m_LostConnections;
    State.m_LossReportedAt = Now;
    // The backend server may still run attempts that the node abandoned and no
    // longer counts, so its requests in flight must be counted again. A warm
    // backend server needs no slots.
    if (!State.m_MayBeWarm) {
      State.m_InFlightCounted = false;
      State.m_CountableFrom = std::max(State.m_CountableFrom, Now);
    }
  }
  if (const auto Refusal = checkRequest(State, Request, Now))
    return *Refusal;

  NodeState &Node = State.m_Nodes[Request.m_Node];
  Node.m_LastRequestAt = Now;
  // The node's count of its requests in flight is exact only if it has received
  // all answers to its slot requests.
  if (Request.m_LastAnsweredRequestId >= Node.m_LastGrantedId)
    Node.m_ResidualInFlight =
        std::min(Node.m_ResidualInFlight,
                 std::max(Request.m_InFlight, Request.m_UsableSlots));
  const std::size_t OtherInFlight = maxInFlightOfOthers(State, Request.m_Node);
  const std::size_t Free =
      State.m_RampLevel > OtherInFlight ? State.m_RampLevel - OtherInFlight : 0;
  const std::size_t Slots =
      std::min({Request.m_DesiredInFlight, Free, fairShare(State, Now)});
  if (Slots == 0)
    return SlotRefusal::NoSlotFree;
  Node.m_LastGrantedId = std::max(Node.m_LastGrantedId, Request.m_RequestId);
  Node.m_Charges.push_back({Slots, Now + extendByClockDrift(Lifetime)});
  return SlotGrant{
      Request.m_Node, Request.m_Server,         Request.m_RequestId,
      m_Epoch,        State.m_Report.m_StartId, Slots,
      Lifetime};
}

std::optional<SlotRefusal> SlotGranter::checkRequest(ServerState &State,
                                                     const SlotRequest &Request,
                                                     MonotonicTime Now) const {
  if (State.m_LossReportedAt &&
      State.m_ReportRequestedAt <= *State.m_LossReportedAt)
    return SlotRefusal::ReportTooOld;
  if (!State.m_InFlightCounted)
    return SlotRefusal::InFlightNotCounted;
  if (Now - State.m_ReportRequestedAt > m_Settings.m_MaxReportAge)
    return SlotRefusal::ReportTooOld;
  if (Request.m_StartId.empty() ||
      Request.m_StartId == State.m_Report.m_StartId)
    return std::nullopt;
  // The node may know a newer start ID or an older one. A report that is
  // requested after the node first named its start ID shows which is current.
  if (State.m_UnconfirmedStartIds.size() > MaxUnconfirmedStartIds)
    State.m_UnconfirmedStartIds.clear();
  const auto FirstClaim =
      State.m_UnconfirmedStartIds.try_emplace(Request.m_StartId, Now).first;
  if (State.m_ReportRequestedAt <= FirstClaim->second)
    return SlotRefusal::StartIdDiffers;
  return std::nullopt;
}

std::size_t SlotGranter::maxInFlightOfOthers(const ServerState &State,
                                             const std::string &Node) const {
  std::size_t MaxByNode = State.m_InheritedInFlight;
  std::size_t MaxByReport = State.m_Report.m_Running + State.m_Report.m_Waiting;
  for (const auto &[Name, Other] : State.m_Nodes) {
    if (Name == Node)
      continue;
    MaxByNode += Other.maxInFlight();
    MaxByReport += Other.chargedSlots();
  }
  // Both are upper bounds: the sum of what each node may have in flight, and
  // the reported requests in flight plus those that may have started since.
  return std::min(MaxByNode, MaxByReport);
}

std::size_t SlotGranter::fairShare(const ServerState &State,
                                   MonotonicTime Now) const {
  std::size_t ActiveNodes = 0;
  for (const auto &[Name, Node] : State.m_Nodes)
    ActiveNodes +=
        Now - Node.m_LastRequestAt <= m_Settings.m_SharingWindow ? 1 : 0;
  return std::max<std::size_t>(1, State.m_RampLevel /
                                      std::max<std::size_t>(1, ActiveNodes));
}

std::size_t SlotGranter::rampLevel(const std::string &Server) const {
  const auto Found = m_Servers.find(Server);
  return Found == m_Servers.end() ? 0 : Found->second.m_RampLevel;
}

std::optional<std::string>
SlotGranter::warmStartId(const std::string &Server) const {
  const auto Found = m_Servers.find(Server);
  if (Found == m_Servers.end() || !Found->second.m_InFlightCounted ||
      Found->second.m_Report.m_Cold ||
      Found->second.m_RampLevel < Found->second.m_Report.m_WarmCapacity)
    return std::nullopt;
  return Found->second.m_Report.m_StartId;
}

} // namespace fulmarwinch
