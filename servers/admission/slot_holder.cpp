#include "servers/admission/slot_holder.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {
/// A response older than this many restarts of one backend server is assumed
/// not to arrive any more.
constexpr std::size_t RememberedStartIds = 8;
constexpr std::size_t RememberedRequests = 16;
} // namespace

SlotHolder::SlotHolder(std::string Node) : m_Node(std::move(Node)) {}

SlotRequest SlotHolder::makeRequest(const std::string &Server,
                                    std::size_t Wanted, MonotonicTime Now) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  ServerState &State = m_Servers[Server];
  SlotRequest Request;
  Request.m_Node = m_Node;
  Request.m_Server = Server;
  Request.m_RequestId = ++m_LastRequestId;
  Request.m_StartId = State.m_StartId;
  Request.m_InFlight = State.m_InFlight;
  Request.m_HeldSlots = Now < State.m_Expiry ? State.m_Slots : 0;
  Request.m_LastAnsweredId = State.m_LastAnsweredId;
  Request.m_Wanted = Wanted;
  Request.m_Failures = std::exchange(State.m_Failures, 0);
  Request.m_LostConnections = State.m_LostConnections;
  State.m_SentAt.emplace(Request.m_RequestId, Now);
  if (State.m_SentAt.size() > RememberedRequests)
    State.m_SentAt.erase(State.m_SentAt.begin());
  return Request;
}

bool SlotHolder::onGrant(const SlotGrant &Grant, MonotonicTime Now) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Found = m_Servers.find(Grant.m_Server);
  if (Found == m_Servers.end() || Grant.m_Node != m_Node)
    return false;
  ServerState &State = Found->second;
  const auto Sent = State.m_SentAt.find(Grant.m_RequestId);
  if (Sent == State.m_SentAt.end())
    return false;
  const MonotonicTime Expiry =
      Sent->second + shortenByClockError(Grant.m_Lifetime);
  State.m_SentAt.erase(State.m_SentAt.begin(), std::next(Sent));
  State.m_LastAnsweredId = std::max(State.m_LastAnsweredId, Grant.m_RequestId);
  if (Grant.m_RequestId <= State.m_VoidUpTo || Expiry <= Now)
    return false;
  if (Grant.m_StartId != State.m_StartId &&
      !adoptStartId(State, Grant.m_StartId))
    return false;
  State.m_Slots = Grant.m_Slots;
  State.m_Expiry = Expiry;
  State.m_AppliedId = Grant.m_RequestId;
  return true;
}

bool SlotHolder::tryAcquire(const std::string &Server, MonotonicTime Now) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Found = m_Servers.find(Server);
  if (Found == m_Servers.end() || Now >= Found->second.m_Expiry ||
      Found->second.m_InFlight >= Found->second.m_Slots)
    return false;
  ++Found->second.m_InFlight;
  return true;
}

bool SlotHolder::hasSlot(const std::string &Server, MonotonicTime Now) const {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Found = m_Servers.find(Server);
  return Found != m_Servers.end() && Now < Found->second.m_Expiry &&
         Found->second.m_InFlight < Found->second.m_Slots;
}

void SlotHolder::release(const std::string &Server) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Found = m_Servers.find(Server);
  if (Found != m_Servers.end() && Found->second.m_InFlight > 0)
    --Found->second.m_InFlight;
}

bool SlotHolder::onStartId(const std::string &Server,
                           const std::string &StartId) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  ServerState &State = m_Servers[Server];
  if (StartId == State.m_StartId || !adoptStartId(State, StartId))
    return false;
  drop(State);
  return true;
}

void SlotHolder::onConnectionLost(const std::string &Server) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  ServerState &State = m_Servers[Server];
  ++State.m_Failures;
  ++State.m_LostConnections;
  drop(State);
}

void SlotHolder::onFailure(const std::string &Server) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Servers[Server].m_Failures;
}

bool SlotHolder::isActive(const std::string &Server) const {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Found = m_Servers.find(Server);
  return Found != m_Servers.end() &&
         (Found->second.m_InFlight > 0 || Found->second.m_Failures > 0);
}

std::size_t SlotHolder::inFlight(const std::string &Server) const {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Found = m_Servers.find(Server);
  return Found == m_Servers.end() ? 0 : Found->second.m_InFlight;
}

std::uint64_t SlotHolder::appliedRequest(const std::string &Server) const {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const auto Found = m_Servers.find(Server);
  return Found == m_Servers.end() ? 0 : Found->second.m_AppliedId;
}

void SlotHolder::drop(ServerState &State) const {
  State.m_Slots = 0;
  State.m_Expiry = MonotonicTime{};
  State.m_AppliedId = 0;
  // Answers that are under way were decided for the earlier start.
  State.m_VoidUpTo = m_LastRequestId;
}

bool SlotHolder::adoptStartId(ServerState &State,
                              const std::string &StartId) const {
  auto &Old = State.m_OldStartIds;
  if (std::find(Old.begin(), Old.end(), StartId) != Old.end())
    return false;
  if (!State.m_StartId.empty())
    Old.push_back(State.m_StartId);
  if (Old.size() > RememberedStartIds)
    Old.pop_front();
  State.m_StartId = StartId;
  return true;
}

} // namespace fulmarwinch
