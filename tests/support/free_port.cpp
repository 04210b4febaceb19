#include "tests/support/free_port.h"

#include "asio.hpp"

#include <unistd.h>

namespace fulmarwinch {

namespace {

/// Below the range from which the kernel takes the ports of outgoing
/// connections; a port from there may be taken again before it is bound.
constexpr unsigned FirstPort = 12000;
constexpr unsigned Blocks = 400;
constexpr unsigned PortsPerBlock = 50;

bool isFree(std::uint16_t Port) {
  asio::io_context Loop;
  asio::ip::tcp::acceptor Probe(Loop);
  asio::error_code Error;
  const asio::ip::tcp::endpoint Address(asio::ip::address_v4::loopback(), Port);
  Probe.open(Address.protocol(), Error);
  if (!Error)
    Probe.bind(Address, Error);
  return !Error;
}

} // namespace

std::uint16_t freePort() {
  // Processes that run side by side have neighbouring IDs and so different
  // blocks.
  static unsigned Next = 0;
  const unsigned Block = static_cast<unsigned>(getpid()) % Blocks;
  for (unsigned Tries = 0; Tries < Blocks * PortsPerBlock; ++Tries) {
    const unsigned Offset =
        (Block * PortsPerBlock + Next++) % (Blocks * PortsPerBlock);
    const auto Port = static_cast<std::uint16_t>(FirstPort + Offset);
    if (isFree(Port))
      return Port;
  }
  return 0;
}

} // namespace fulmarwinch
