#ifndef FULMARWINCH_SERVERS_FEED_FOLLOW_STATE_H
#define FULMARWINCH_SERVERS_FEED_FOLLOW_STATE_H

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Decides whether a node asks the platform's store for the changes of one
/// kind, or relies on another node of its zone that passes them on. It relies
/// on that node only while what it hears is recent and without a gap, so a
/// relay that is cut off costs its followers a call each and nothing else.
class FollowState {
public:
  /// \p Limit bounds the age of a belief that came through a peer.
  explicit FollowState(Duration Limit) : m_Limit(Limit) {}

  /// Tells whether another node relays for this one at present.
  void setFollowing(bool Following) { m_Following = Following; }
  bool isFollowing() const { return m_Following; }

  /// The store itself answered with everything up to \p Revision.
  void onStoreAnswer(std::uint64_t Revision, bool HadChanges,
                     MonotonicTime Now);
  /// A relay passed on all changes after \p From up to \p To. Returns whether
  /// they continue what is known and bring something new.
  bool onChanges(std::uint64_t From, std::uint64_t To);
  /// A relay had everything up to \p Revision from the store \p Age ago, and
  /// nothing of the kind changed after \p LastChange. The store's revision
  /// grows with changes of all kinds.
  void onVouch(std::uint64_t LastChange, std::uint64_t Revision, Duration Age,
               MonotonicTime Now);

  /// True if the store need not be asked now.
  bool mayIdle(MonotonicTime Now) const;

  std::uint64_t revision() const { return m_Revision; }
  /// No change of the kind is known after this revision.
  std::uint64_t lastChange() const { return m_LastChange; }
  /// Time up to which the store's state is known.
  MonotonicTime knownUntil() const { return m_KnownUntil; }

private:
  Duration m_Limit;
  bool m_Following = false;
  /// A relay knows of changes that did not arrive here.
  bool m_HasGap = false;
  std::uint64_t m_Revision = 0;
  std::uint64_t m_LastChange = 0;
  MonotonicTime m_KnownUntil{};
};

/// Returns the node that passes changes on in its zone, or nothing if there
/// is no other node to do it for. All nodes with the same view agree.
std::optional<std::string> relayOf(const std::string &Zone,
                                   const std::vector<std::string> &ZoneNodes);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_FEED_FOLLOW_STATE_H
