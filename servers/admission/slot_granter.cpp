#include "servers/admission/slot_granter.h"

#include <algorithm>

namespace fulmarwinch {

namespace {
constexpr std::size_t MostClaimedStartIds = 16;
} // namespace

std::size_t SlotGranter::NodeState::chargedSlots() const {
  std::size_t Most = 0;
  for (const Charge &Entry : m_Charges)
    Most = std::max(Most, Entry.m_Slots);
  return Most;
}

std::size_t SlotGranter::NodeState::bound() const {
  // A grant allows a total in flight, so grants of one node do not add up.
  return std::max(chargedSlots(), m_Residual);
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
  // A report from before the takeover cannot show all work of old slots.
  if (!m_HasLease || RequestedAt < m_AcquiredAt)
    return;
  const auto [Found, FirstReport] = m_Servers.try_emplace(Report.m_Server);
  ServerState &State = Found->second;
  // Of two polls that overlap it is unknown which one shows the newer state; a
  // completed counter that seems to decrease would reset the ramp.
  if (!FirstReport && RequestedAt < State.m_ReportReceivedAt)
    return;
  // All slots of earlier holders had expired when the lease was acquired.
  if (FirstReport)
    State.m_CountFrom = m_AcquiredAt + m_Settings.m_TransitBound;
  updateRamp(State, Report, FirstReport, RequestedAt, Now);
  State.m_Report = Report;
  State.m_ReportRequestedAt = RequestedAt;
  State.m_ReportReceivedAt = Now;
  const std::size_t InFlight = Report.m_Running + Report.m_Waiting;
  if (RequestedAt >= State.m_CountFrom) {
    State.m_Inherited =
        State.m_Counted ? std::min(State.m_Inherited, InFlight) : InFlight;
    State.m_Counted = true;
  }
  settle(State, RequestedAt);
}

void SlotGranter::updateRamp(ServerState &State, const ServerReport &Report,
                             bool FirstReport, MonotonicTime RequestedAt,
                             MonotonicTime Now) const {
  const bool Restarted = FirstReport ||
                         Report.m_StartId != State.m_Report.m_StartId ||
                         Report.m_Completed < State.m_Report.m_Completed;
  if (Restarted || Report.m_Cold) {
    State.m_Level = std::min(Report.m_ColdCapacity, Report.m_WarmCapacity);
    State.m_StepSince.reset();
    // Requests that nodes send without slots, because they still take the
    // backend server for warm, are covered by no charge.
    if (State.m_MayBeWarm && (!FirstReport || Report.m_Cold)) {
      State.m_Counted = false;
      State.m_CountFrom =
          Now + m_Settings.m_WarmNoticeBound + m_Settings.m_TransitBound;
    }
    // After a takeover a backend server that is not cold may be known as warm.
    State.m_MayBeWarm = FirstReport && !Report.m_Cold;
  }
  if (Report.m_Cold)
    return;
  if (!State.m_StepSince) {
    State.m_StepSince = Now;
    return;
  }
  if (RequestedAt < *State.m_StepSince + m_Settings.m_ReportInterval)
    return;
  State.m_Level = std::min(State.m_Level * 2, Report.m_WarmCapacity);
  State.m_StepSince = Now;
  State.m_MayBeWarm =
      State.m_MayBeWarm || State.m_Level == Report.m_WarmCapacity;
}

void SlotGranter::settle(ServerState &State, MonotonicTime RequestedAt) const {
  const std::size_t InFlight =
      State.m_Report.m_Running + State.m_Report.m_Waiting;
  for (auto Entry = State.m_Nodes.begin(); Entry != State.m_Nodes.end();) {
    NodeState &Node = Entry->second;
    std::size_t Retired = 0;
    const auto IsSettled = [&](const Charge &Item) {
      if (Item.m_Until + m_Settings.m_TransitBound > RequestedAt)
        return false;
      Retired = std::max(Retired, Item.m_Slots);
      return true;
    };
    Node.m_Charges.erase(
        std::remove_if(Node.m_Charges.begin(), Node.m_Charges.end(), IsSettled),
        Node.m_Charges.end());
    // Work of a retired charge that is not in this report has ended.
    Node.m_Residual = std::min(std::max(Node.m_Residual, Retired), InFlight);
    const bool Idle = Node.m_Charges.empty() && Node.m_Residual == 0;
    Entry = Idle ? State.m_Nodes.erase(Entry) : std::next(Entry);
  }
}

std::variant<SlotGrant, SlotRefusal>
SlotGranter::onRequest(const SlotRequest &Request, MonotonicTime Now) {
  const Duration Lifetime =
      m_HasLease ? std::min(m_Settings.m_SlotLifetime, m_ValidUntil - Now)
                 : Duration::zero();
  if (Lifetime < m_Settings.m_ShortestLifetime)
    return SlotRefusal::NoLease;
  const auto Found = m_Servers.find(Request.m_Server);
  if (Found == m_Servers.end())
    return SlotRefusal::InFlightNotCounted;
  ServerState &State = Found->second;
  if (Request.m_Failures > 0 && State.m_StepSince)
    State.m_StepSince = Now;
  std::uint64_t &Lost = State.m_LostConnections[Request.m_Node];
  if (Request.m_LostConnections > Lost) {
    Lost = Request.m_LostConnections;
    State.m_LossTold = Now;
    // The backend server may go on with the attempts that the node has given
    // up, and the node no longer counts them. A warm one needs no slots.
    if (!State.m_MayBeWarm) {
      State.m_Counted = false;
      State.m_CountFrom = std::max(State.m_CountFrom, Now);
    }
  }
  if (const auto Refusal = checkRequest(State, Request, Now))
    return *Refusal;

  NodeState &Node = State.m_Nodes[Request.m_Node];
  Node.m_LastRequest = Now;
  // The node's own count is exact only if no answer to it is under way.
  if (Request.m_LastAnsweredId >= Node.m_LastIssuedId)
    Node.m_Residual = std::min(
        Node.m_Residual, std::max(Request.m_InFlight, Request.m_HeldSlots));
  const std::size_t Others = boundOfOthers(State, Request.m_Node);
  const std::size_t Free = State.m_Level > Others ? State.m_Level - Others : 0;
  const std::size_t Slots =
      std::min({Request.m_Wanted, Free, shareOf(State, Now)});
  if (Slots == 0)
    return SlotRefusal::NoSlotFree;
  Node.m_LastIssuedId = std::max(Node.m_LastIssuedId, Request.m_RequestId);
  Node.m_Charges.push_back({Slots, Now + prolongByClockError(Lifetime)});
  return SlotGrant{
      Request.m_Node, Request.m_Server,         Request.m_RequestId,
      m_Epoch,        State.m_Report.m_StartId, Slots,
      Lifetime};
}

std::optional<SlotRefusal> SlotGranter::checkRequest(ServerState &State,
                                                     const SlotRequest &Request,
                                                     MonotonicTime Now) const {
  if (State.m_LossTold && State.m_ReportRequestedAt <= *State.m_LossTold)
    return SlotRefusal::ReportTooOld;
  if (!State.m_Counted)
    return SlotRefusal::InFlightNotCounted;
  if (Now - State.m_ReportRequestedAt > m_Settings.m_OldestReport)
    return SlotRefusal::ReportTooOld;
  if (Request.m_StartId.empty() ||
      Request.m_StartId == State.m_Report.m_StartId)
    return std::nullopt;
  // The node may know a newer start or an older one. A report that was
  // requested after the node named its start ID decides.
  if (State.m_ClaimedStartIds.size() > MostClaimedStartIds)
    State.m_ClaimedStartIds.clear();
  const auto Claimed =
      State.m_ClaimedStartIds.try_emplace(Request.m_StartId, Now).first;
  if (State.m_ReportRequestedAt <= Claimed->second)
    return SlotRefusal::StartIdDiffers;
  return std::nullopt;
}

std::size_t SlotGranter::boundOfOthers(const ServerState &State,
                                       const std::string &Node) const {
  std::size_t ByNode = State.m_Inherited;
  std::size_t ByReport = State.m_Report.m_Running + State.m_Report.m_Waiting;
  for (const auto &[Name, Other] : State.m_Nodes) {
    if (Name == Node)
      continue;
    ByNode += Other.bound();
    ByReport += Other.chargedSlots();
  }
  // Both are upper bounds: what each node may have in flight, and what the
  // report showed plus what may have been started since.
  return std::min(ByNode, ByReport);
}

std::size_t SlotGranter::shareOf(const ServerState &State,
                                 MonotonicTime Now) const {
  std::size_t Sharing = 0;
  for (const auto &[Name, Node] : State.m_Nodes)
    Sharing += Now - Node.m_LastRequest <= m_Settings.m_SharingWindow ? 1 : 0;
  return std::max<std::size_t>(1, State.m_Level /
                                      std::max<std::size_t>(1, Sharing));
}

std::size_t SlotGranter::rampLevel(const std::string &Server) const {
  const auto Found = m_Servers.find(Server);
  return Found == m_Servers.end() ? 0 : Found->second.m_Level;
}

std::optional<std::string>
SlotGranter::warmStartId(const std::string &Server) const {
  const auto Found = m_Servers.find(Server);
  if (Found == m_Servers.end() || !Found->second.m_Counted ||
      Found->second.m_Report.m_Cold ||
      Found->second.m_Level < Found->second.m_Report.m_WarmCapacity)
    return std::nullopt;
  return Found->second.m_Report.m_StartId;
}

} // namespace fulmarwinch
