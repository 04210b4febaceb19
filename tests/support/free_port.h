#ifndef FULMARWINCH_TESTS_SUPPORT_FREE_PORT_H
#define FULMARWINCH_TESTS_SUPPORT_FREE_PORT_H

#include <cstdint>

namespace fulmarwinch {

/// Returns a loopback TCP port that nothing listens on, so that test programs
/// can run side by side.
std::uint16_t freePort();

} // namespace fulmarwinch

#endif // FULMARWINCH_TESTS_SUPPORT_FREE_PORT_H
