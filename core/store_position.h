#ifndef FULMARWINCH_CORE_STORE_POSITION_H
#define FULMARWINCH_CORE_STORE_POSITION_H

#include <cstdint>
#include <ostream>
#include <tuple>

namespace fulmarwinch {

/// Number of a history of the platform's store. The store starts a new era when
/// it returns from a copy: what it had acknowledged since the copy was made is
/// lost, and its revisions are given out again. 0 for a store that does not
/// name its era.
using StoreEra = std::uint64_t;

/// Position in the history of the platform's store. All positions of an era
/// follow those of the eras before, so a revision is never compared with one of
/// another era.
struct StorePosition {
  StorePosition() = default;
  /// A position in a store that does not name its era.
  // NOLINTNEXTLINE(google-explicit-constructor): such stores name revisions
  // only.
  StorePosition(std::uint64_t Revision) : m_Revision(Revision) {}
  StorePosition(StoreEra Era, std::uint64_t Revision)
      : m_Era(Era), m_Revision(Revision) {}

  /// False for a default-constructed position, which stands for an object that
  /// does not exist.
  bool exists() const { return m_Revision != 0; }

  /// Position of the next change.
  StorePosition next() const { return {m_Era, m_Revision + 1}; }

  StoreEra m_Era = 0;
  std::uint64_t m_Revision = 0;

  friend bool operator==(const StorePosition &Left,
                         const StorePosition &Right) {
    return Left.m_Era == Right.m_Era && Left.m_Revision == Right.m_Revision;
  }
  friend bool operator!=(const StorePosition &Left,
                         const StorePosition &Right) {
    return !(Left == Right);
  }
  friend bool operator<(const StorePosition &Left, const StorePosition &Right) {
    return std::tie(Left.m_Era, Left.m_Revision) <
           std::tie(Right.m_Era, Right.m_Revision);
  }
  friend bool operator>(const StorePosition &Left, const StorePosition &Right) {
    return Right < Left;
  }
  friend bool operator<=(const StorePosition &Left,
                         const StorePosition &Right) {
    return !(Right < Left);
  }
  friend bool operator>=(const StorePosition &Left,
                         const StorePosition &Right) {
    return !(Left < Right);
  }
  friend std::ostream &operator<<(std::ostream &Stream,
                                  const StorePosition &Position) {
    return Stream << Position.m_Era << ':' << Position.m_Revision;
  }
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CORE_STORE_POSITION_H
