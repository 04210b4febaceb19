#ifndef FULMARWINCH_PROXY_SOCKET_OPTIONS_H
#define FULMARWINCH_PROXY_SOCKET_OPTIONS_H

#include "asio.hpp"

#include <cstddef>
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

/// Limits the bytes that the kernel receives on a socket before they are read.
/// It accepts up to three halves of \p Bytes.
inline void setReceiveBuffer(int Socket, std::size_t Bytes) {
  const int Option = static_cast<int>(Bytes);
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &Option, sizeof(Option));
}

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_SOCKET_OPTIONS_H
