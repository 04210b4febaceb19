#include "tests/support/free_port.h"

#include "asio.hpp"

#include <unistd.h>

namespace fulmarwinch {

namespace {

/// First port of the range to search. The range is below the kernel's ephemeral
/// ports, since the kernel could assign such a port to an outgoing connection
/// before the caller binds it.
constexpr unsigned FirstPort = 12000;
constexpr unsigned BlockCount = 400;
constexpr unsigned PortsPerBlock = 50;

/// Returns true if a socket can be bound to the port at present.
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

std::uint16_t findFreePort() {
  // The process ID selects the block to start in. Test processes that run at
  // the same time usually have neighbouring IDs and thus different blocks.
  static unsigned NextOffset = 0;
  const unsigned Block = static_cast<unsigned>(getpid()) % BlockCount;
  for (unsigned Attempt = 0; Attempt < BlockCount * PortsPerBlock; ++Attempt) {
    const unsigned Offset =
        (Block * PortsPerBlock + NextOffset++) % (BlockCount * PortsPerBlock);
    const auto Port = static_cast<std::uint16_t>(FirstPort + Offset);
    if (isFree(Port))
      return Port;
  }
  return 0;
}

} // namespace fulmarwinch
