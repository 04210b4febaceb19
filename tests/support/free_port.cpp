#include "tests/support/free_port.h"

#include "asio.hpp"

namespace fulmarwinch {

std::uint16_t freePort() {
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor(
      Context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return Acceptor.local_endpoint().port();
}

} // namespace fulmarwinch
