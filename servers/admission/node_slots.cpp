#include "servers/admission/node_slots.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {
/// Number of replaced start IDs that are stored per backend server. Responses
/// from even older starts are assumed not to arrive any more.
constexpr std::size_t MaxOldStartIds = 8;
/// Number of unanswered slot requests that are stored per backend server.
constexpr std::size_t MaxPendingRequests = 16;
} // namespace

NodeSlots::NodeSlots(std::string Node) : m_Node(std::move(Node)) {}

SlotRequest NodeSlots::makeRequest(const std::string &Server,
                                   std::size_t DesiredInFlight,
                                   MonotonicTime Now) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  ServerState &State = m_Servers[Server];
  SlotRequest Request;
  Request.m_Node = m_Node;
  Request.m_Server = Server;
  Request.m_RequestId = ++m_LastRequestId;
  Request.m_StartId = State.m_StartId;
  Request.m_InFlight = State.m_InFlight;
  Request.m_UsableSlots = Now < State.m_Expiry ? State.m_Slots : 0;
  Request.m_LastAnsweredRequestId = State.m_LastAnsweredId;
  Request.m_DesiredInFlight = DesiredInFlight;
  Request.m_Failures = std::exchange(State.m_Failures, 0);
  Request.m_LostConnections = State.m_LostConnections;
  State.m_PendingRequests.emplace(Request.m_RequestId, Now);
  if (State.m_PendingRequests.size() > MaxPendingRequests)
    State.m_PendingRequests.erase(State.m_PendingRequests.begin());
  return Request;
}

bool NodeSlots::onGrant(const SlotGrant &Grant, MonotonicTime Now) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Found = m_Servers.find(Grant.m_Server);
  if (Found == m_Servers.end() || Grant.m_Node != m_Node)
    return false;
  ServerState &State = Found->second;
  const auto Pending = State.m_PendingRequests.find(Grant.m_RequestId);
  if (Pending == State.m_PendingRequests.end())
    return false;
  const MonotonicTime Expiry =
      Pending->second + shortenByClockDrift(Grant.m_Lifetime);
  State.m_PendingRequests.erase(State.m_PendingRequests.begin(),
                                std::next(Pending));
  State.m_LastAnsweredId = std::max(State.m_LastAnsweredId, Grant.m_RequestId);
  if (Grant.m_RequestId <= State.m_IgnoreAnswersUpTo || Expiry <= Now)
    return false;
  if (Grant.m_StartId != State.m_StartId &&
      !adoptStartId(State, Grant.m_StartId))
    return false;
  State.m_Slots = Grant.m_Slots;
  State.m_Expiry = Expiry;
  State.m_AppliedRequestId = Grant.m_RequestId;
  return true;
}

bool NodeSlots::tryAcquire(const std::string &Server, MonotonicTime Now) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Found = m_Servers.find(Server);
  if (Found == m_Servers.end() || Now >= Found->second.m_Expiry ||
      Found->second.m_InFlight >= Found->second.m_Slots)
    return false;
  ++Found->second.m_InFlight;
  return true;
}

bool NodeSlots::hasSlot(const std::string &Server, MonotonicTime Now) const {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Found = m_Servers.find(Server);
  return Found != m_Servers.end() && Now < Found->second.m_Expiry &&
         Found->second.m_InFlight < Found->second.m_Slots;
}

void NodeSlots::release(const std::string &Server) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Found = m_Servers.find(Server);
  if (Found != m_Servers.end() && Found->second.m_InFlight > 0)
    --Found->second.m_InFlight;
}

bool NodeSlots::onStartId(const std::string &Server,
                          const std::string &StartId) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  ServerState &State = m_Servers[Server];
  if (StartId == State.m_StartId || !adoptStartId(State, StartId))
    return false;
  discardSlots(State);
  return true;
}

void NodeSlots::onConnectionLost(const std::string &Server) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  ServerState &State = m_Servers[Server];
  ++State.m_Failures;
  ++State.m_LostConnections;
  discardSlots(State);
}

void NodeSlots::onFailure(const std::string &Server) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Servers[Server].m_Failures;
}

bool NodeSlots::hasWorkToReport(const std::string &Server) const {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Found = m_Servers.find(Server);
  return Found != m_Servers.end() &&
         (Found->second.m_InFlight > 0 || Found->second.m_Failures > 0);
}

std::size_t NodeSlots::inFlight(const std::string &Server) const {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Found = m_Servers.find(Server);
  return Found == m_Servers.end() ? 0 : Found->second.m_InFlight;
}

std::uint64_t NodeSlots::appliedRequestId(const std::string &Server) const {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Found = m_Servers.find(Server);
  return Found == m_Servers.end() ? 0 : Found->second.m_AppliedRequestId;
}

void NodeSlots::discardSlots(ServerState &State) const {
  State.m_Slots = 0;
  State.m_Expiry = MonotonicTime{};
  State.m_AppliedRequestId = 0;
  // Answers to the requests sent so far may still grant slots for the earlier
  // start.
  State.m_IgnoreAnswersUpTo = m_LastRequestId;
}

bool NodeSlots::adoptStartId(ServerState &State,
                             const std::string &StartId) const {
  auto &OldStartIds = State.m_OldStartIds;
  if (std::find(OldStartIds.begin(), OldStartIds.end(), StartId) !=
      OldStartIds.end())
    return false;
  if (!State.m_StartId.empty())
    OldStartIds.push_back(State.m_StartId);
  if (OldStartIds.size() > MaxOldStartIds)
    OldStartIds.pop_front();
  State.m_StartId = StartId;
  return true;
}

} // namespace fulmarwinch
