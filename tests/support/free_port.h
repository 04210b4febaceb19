#ifndef FULMARWINCH_TESTS_SUPPORT_FREE_PORT_H
#define FULMARWINCH_TESTS_SUPPORT_FREE_PORT_H

#include <cstdint>

namespace fulmarwinch {

/// Returns a loopback TCP port that no socket is bound to, or 0 if there is
/// none. The port is not reserved; test programs that run at the same time
/// search different ranges first.
std::uint16_t findFreePort();

} // namespace fulmarwinch

#endif // FULMARWINCH_TESTS_SUPPORT_FREE_PORT_H
