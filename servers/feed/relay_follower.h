#ifndef FULMARWINCH_SERVERS_FEED_RELAY_FOLLOWER_H
#define FULMARWINCH_SERVERS_FEED_RELAY_FOLLOWER_H

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Decides whether a node queries the platform's store for the changes of one
/// kind of entry, or relies on a relay: another node of its zone that forwards
/// the changes. The node relies on the relay only while its messages are recent
/// and without a gap, so a partitioned relay costs each of its followers one
/// store call and has no other effect.
class RelayFollower {
public:
  /// \p MaxStaleness is the maximum age of a state that was received from a
  /// relay.
  explicit RelayFollower(Duration MaxStaleness)
      : m_MaxStaleness(MaxStaleness) {}

  /// Sets whether another node is currently the relay of this one.
  void setFollowing(bool Following) { m_Following = Following; }
  bool isFollowing() const { return m_Following; }

  /// Must be called when the store has returned all changes up to \p Revision.
  /// \p HadChanges is true if any of them is of the kind that this object
  /// follows.
  void onStoreResponse(std::uint64_t Revision, bool HadChanges,
                       MonotonicTime Now);
  /// Must be called when the relay has forwarded all changes after revision \p
  /// From up to \p To. Returns true if they follow the known revision without a
  /// gap and are new.
  bool onRelayedChanges(std::uint64_t From, std::uint64_t To);
  /// Must be called when the relay has confirmed that it read the store up to
  /// \p Revision, at a time \p Age ago, and that no entry of the followed kind
  /// changed after revision \p LastChange. The revision of the store increases
  /// with changes of all kinds.
  void onRelayConfirmation(std::uint64_t LastChange, std::uint64_t Revision,
                           Duration Age, MonotonicTime Now);

  /// True if no store call is needed now, since the state from the relay is
  /// complete and recent.
  bool needsNoStoreCall(MonotonicTime Now) const;

  /// Revision up to which all changes of the followed kind are known.
  std::uint64_t revision() const { return m_Revision; }
  /// Revision of the last known change of the followed kind.
  std::uint64_t lastChangeRevision() const { return m_LastChangeRevision; }
  /// Latest time at which the known state was current in the store.
  MonotonicTime lastCurrentAt() const { return m_LastCurrentAt; }

private:
  Duration m_MaxStaleness;
  bool m_Following = false;
  /// The relay announced changes that have not arrived here.
  bool m_HasGap = false;
  std::uint64_t m_Revision = 0;
  std::uint64_t m_LastChangeRevision = 0;
  MonotonicTime m_LastCurrentAt{};
};

/// Returns the node that is the relay of \p Zone, or nothing if the zone has
/// fewer than two nodes. All nodes with the same view of the zone choose the
/// same relay, in any order of \p ZoneNodes.
std::optional<std::string>
relayForZone(const std::string &Zone,
             const std::vector<std::string> &ZoneNodes);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_FEED_RELAY_FOLLOWER_H
