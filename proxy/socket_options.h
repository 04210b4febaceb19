#ifndef FULMARWINCH_PROXY_SOCKET_OPTIONS_H
#define FULMARWINCH_PROXY_SOCKET_OPTIONS_H

#include "asio.hpp"

#include <sys/socket.h>

namespace fulmarwinch {

/// Lets a connection end with a reset, whatever closes it, also the end of the
/// process. Asio would undo its own option of this kind in the destructor of
/// the socket.
inline void setResetOnClose(asio::ip::tcp::socket &Socket, bool ResetsOnClose) {
  const ::linger Option{ResetsOnClose ? 1 : 0, 0};
  ::setsockopt(Socket.native_handle(), SOL_SOCKET, SO_LINGER, &Option,
               sizeof(Option));
}

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_SOCKET_OPTIONS_H
