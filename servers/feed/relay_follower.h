#ifndef FULMARWINCH_SERVERS_FEED_RELAY_FOLLOWER_H
#define FULMARWINCH_SERVERS_FEED_RELAY_FOLLOWER_H

#include "core/enum_names.h"
#include "core/store_position.h"
#include "core/time.h"

#include <array>
#include <cstdint>

namespace fulmarwinch {

/// Reason for a call to the platform's store.
enum class StoreCallReason {
  /// The first listing after the start of the process.
  Start,
  /// The store has discarded the changes since the known revision.
  HistoryGone,
  /// No other node forwards the changes.
  Direct,
  /// A forwarded change did not arrive.
  Gap,
  /// The forwarded state is too old.
  Outdated,
  /// The store has returned from a copy, or another node has named a later era
  /// of it.
  Restored,
};

inline constexpr std::array<EnumName<StoreCallReason>, 6> StoreCallReasonNames{{
    {StoreCallReason::Start, "start"},
    {StoreCallReason::HistoryGone, "history_gone"},
    {StoreCallReason::Direct, "direct"},
    {StoreCallReason::Gap, "gap"},
    {StoreCallReason::Outdated, "outdated"},
    {StoreCallReason::Restored, "restored"},
}};

/// Decides whether a node queries the platform's store for the changes of one
/// kind of entry, or relies on another node that forwards the changes: the
/// relay of its zone or, for a relay, the source. The node relies on that node
/// only while its messages are recent and without a gap, so a partitioned relay
/// costs each of its followers one store call and has no other effect.
class RelayFollower {
public:
  /// \p MaxStaleness is the maximum age of a state that was received from
  /// another node.
  explicit RelayFollower(Duration MaxStaleness)
      : m_MaxStaleness(MaxStaleness) {}

  /// Sets whether another node currently forwards the changes to this one.
  void setFollowing(bool Following) { m_Following = Following; }
  void setMaxStaleness(Duration MaxStaleness) { m_MaxStaleness = MaxStaleness; }

  /// Must be called when the store has returned all changes up to \p Position.
  /// \p HadChanges is true if any of them is of the kind that this object
  /// follows. \p CurrentAt is a time at which the store was at that position or
  /// later.
  void onStoreResponse(StorePosition Position, bool HadChanges,
                       MonotonicTime CurrentAt);
  /// Must be called when the relay has forwarded all changes after \p From up
  /// to \p To. Returns true if they follow the known position without a gap and
  /// are new.
  bool onRelayedChanges(StorePosition From, StorePosition To);
  /// Must be called when the relay has confirmed that it read the store up to
  /// \p Position, at a time \p Age ago, and that no entry of the followed kind
  /// changed after \p LastChange. The revision of the store increases with
  /// changes of all kinds.
  void onRelayConfirmation(StorePosition LastChange, StorePosition Position,
                           Duration Age, MonotonicTime Now);

  /// True if no store call is needed now, since the state from the relay is
  /// complete and recent.
  bool needsNoStoreCall(MonotonicTime Now) const;
  /// Reason why a store call is needed; meaningless if needsNoStoreCall().
  StoreCallReason storeCallReason() const;

  /// Position up to which all changes of the followed kind are known.
  StorePosition position() const { return m_Position; }
  /// Position of the last known change of the followed kind.
  StorePosition lastChange() const { return m_LastChange; }
  /// Latest time at which the known state was current in the store.
  MonotonicTime lastCurrentAt() const { return m_LastCurrentAt; }

private:
  /// Must be called with each position that another node names. Returns true if
  /// changes up to it are missing here.
  bool isBehind(StorePosition Named);

  Duration m_MaxStaleness;
  bool m_Following = false;
  /// The relay announced changes that have not arrived here.
  bool m_HasGap = false;
  /// Another node has named an era of the store that is not known here.
  bool m_HasMissedEra = false;
  StorePosition m_Position;
  StorePosition m_LastChange;
  MonotonicTime m_LastCurrentAt{};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_FEED_RELAY_FOLLOWER_H
