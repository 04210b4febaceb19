#include "proxy/management_port.h"

#include <utility>

namespace fulmarwinch {

namespace {

/// Such clients send their request at once.
constexpr Duration FirstRequestTime = std::chrono::milliseconds(50);

ClientGuardOptions guardOptions(std::shared_ptr<ClientMemory> Memory) {
  ClientGuardOptions Options;
  Options.m_MaxDescriptors = ManagementPort::MaxConnections;
  Options.m_Memory = std::move(Memory);
  return Options;
}

} // namespace

ManagementPort::ManagementPort(asio::io_context &Loop, const Endpoint &Address,
                               Metrics &Registry, Handler Handle)
    : m_Guard(guardOptions(m_Memory), Registry),
      m_Listener(Loop, Address, hooks(std::move(Handle))) {
  m_Memory->setLimits(MaxBytes, 0);
  m_Guard.setListener(m_Listener);
}

ConnectionHooks ManagementPort::hooks(Handler Handle) {
  ConnectionHooks Hooks;
  Hooks.m_GetLimits = [] {
    ClientLimits Limits;
    Limits.m_MaxBodyBytes = 0;
    return Limits;
  };
  Hooks.m_IsDraining = [] { return false; };
  Hooks.m_FirstRequestTime = FirstRequestTime;
  Hooks.m_Memory = m_Memory;
  Hooks.m_MayAccept = [this] { return m_Guard.mayAccept(); };
  Hooks.m_OnRequest = [Handle = std::move(Handle)](
                          const std::shared_ptr<ClientConnection> &Client,
                          const ClientRequest &Request) {
    Handle(*Client, Request);
  };
  return Hooks;
}

} // namespace fulmarwinch
