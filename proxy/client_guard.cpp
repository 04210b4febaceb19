#include "proxy/client_guard.h"
#include "core/text.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

/// Period in which it is checked whether the clients read while memory is
/// scarce.
constexpr Duration SamplePeriod = std::chrono::milliseconds(200);
/// Minimum time between two searches for unused connections, each of which
/// looks at all connections.
constexpr Duration EvictionPeriod = std::chrono::milliseconds(20);
/// Share of the connections that one search closes at most, so that a flood of
/// connections needs few searches.
constexpr std::size_t EvictionDivisor = 32;

} // namespace

ClientGuard::ClientGuard(ClientGuardOptions Options, Metrics &Registry)
    : m_Options(std::move(Options)), m_Metrics(Registry) {}

std::size_t ClientGuard::descriptorsInUse() const {
  return (m_Listener ? m_Listener->connectionCount() : 0) +
         m_Options.m_CountCalls();
}

bool ClientGuard::hasSpareDescriptor() const {
  return descriptorsInUse() < m_Options.m_MaxDescriptors;
}

void ClientGuard::tick(MonotonicTime Now) {
  if (!m_Listener || Now < m_NextSampleAt || !m_Options.m_Memory->isScarce())
    return;
  m_NextSampleAt = Now + SamplePeriod;
  const auto Connections = m_Listener->openConnections();
  std::vector<ConnectionState> States;
  States.reserve(Connections.size());
  for (const auto &Connection : Connections)
    States.push_back(Connection->sampleState(Now));
  const std::size_t Excess = m_Options.m_Memory->excess();
  if (Excess > 0)
    closeConnections(Connections, States, chooseByMemory(States, Excess, Now),
                     "memory", Now);
}

bool ClientGuard::mayAccept() {
  return hasSpareDescriptor() || freeDescriptors(1);
}

std::string_view ClientGuard::findShortage() {
  if (m_Options.m_Memory->isFull())
    return "no_memory";
  // The connection to the server needs a descriptor as well.
  if (descriptorsInUse() > m_Options.m_MaxDescriptors && !freeDescriptors(0))
    return "no_descriptors";
  return {};
}

bool ClientGuard::freeDescriptors(std::size_t Count) {
  const MonotonicTime Now = monotonicNow();
  if (!m_Listener || Now < m_NextEvictionAt)
    return false;
  m_NextEvictionAt = Now + EvictionPeriod;
  const auto Connections = m_Listener->openConnections();
  std::vector<ConnectionState> States;
  States.reserve(Connections.size());
  for (const auto &Connection : Connections)
    States.push_back(Connection->sampleState(Now));
  const std::size_t Excess =
      descriptorsInUse() + Count -
      std::min(descriptorsInUse() + Count, m_Options.m_MaxDescriptors);
  closeConnections(
      Connections, States,
      chooseByIdleness(
          States, Excess + m_Options.m_MaxDescriptors / EvictionDivisor, Now),
      "descriptors", Now);
  return descriptorsInUse() + Count <= m_Options.m_MaxDescriptors;
}

void ClientGuard::closeConnections(
    const std::vector<std::shared_ptr<ClientConnection>> &Connections,
    const std::vector<ConnectionState> &States,
    const std::vector<std::size_t> &Chosen, std::string_view Cause,
    MonotonicTime Now) {
  if (Chosen.empty())
    return;
  const ConnectionState First = States[Chosen.front()];
  std::size_t Released = 0;
  for (const std::size_t Index : Chosen) {
    Released += States[Index].m_HeldBytes;
    Connections[Index]->shed();
  }
  m_Metrics.increment(
      concat("client_connections_closed_total{cause=\"", Cause, "\"}"),
      Chosen.size());
  ClosedClients Closed;
  Closed.m_Cause = Cause;
  Closed.m_Count = Chosen.size();
  Closed.m_ReleasedBytes = Released;
  Closed.m_HeldBytes = m_Options.m_Memory->budget()->used();
  Closed.m_ByteLimit = m_Options.m_Memory->budget()->limit();
  Closed.m_Descriptors = descriptorsInUse();
  Closed.m_FirstSince = Now - First.m_Since;
  m_Options.m_OnClosed(Closed);
}

void ClientGuard::setGauges() {
  const auto Set = [this](const char *Name, std::size_t Value) {
    m_Metrics.setGauge(Name, static_cast<double>(Value));
  };
  Set("client_memory_bytes", m_Options.m_Memory->budget()->used());
  Set("client_memory_bytes_limit", m_Options.m_Memory->budget()->limit());
  Set("client_descriptors", descriptorsInUse());
  Set("client_descriptors_limit", m_Options.m_MaxDescriptors);
}

} // namespace fulmarwinch
