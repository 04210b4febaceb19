#ifndef FULMARWINCH_SERVERS_ADMISSION_SLOT_GRANTER_H
#define FULMARWINCH_SERVERS_ADMISSION_SLOT_GRANTER_H

#include "servers/admission/slot_messages.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace fulmarwinch {

/// Limits of the slot granter.
struct SlotGranterSettings {
  Duration m_SlotLifetime = std::chrono::seconds(1);
  /// Shorter grants would expire on the way to the node.
  Duration m_ShortestLifetime = std::chrono::milliseconds(200);
  /// Length of one step of the ramp.
  Duration m_ReportInterval = std::chrono::milliseconds(250);
  Duration m_OldestReport = std::chrono::milliseconds(1000);
  /// Longest time from the moment a node starts to send a request until the
  /// backend server counts it. Drivers enforce it with TCP_USER_TIMEOUT.
  Duration m_TransitBound = std::chrono::seconds(2);
  /// Longest time until every node has learnt that a backend server that was
  /// warm is cold. Until then nodes may send to it without slots.
  Duration m_WarmNoticeBound = std::chrono::seconds(2);
  /// Nodes that asked within this time share the slots.
  Duration m_SharingWindow = std::chrono::seconds(2);
};

/// Grants slots for cold backend servers on the holder of a control shard's
/// lease. The requests in flight on a backend server stay within its ramp:
/// all slots that may still be used and all work that may still be in flight
/// from earlier slots are counted before a new slot is granted. The caller
/// serialises access.
class SlotGranter {
public:
  explicit SlotGranter(const SlotGranterSettings &Settings = {});

  /// The shard's lease was acquired or renewed with \p Epoch. A new epoch
  /// starts without knowledge about earlier slots.
  void onLease(std::uint64_t Epoch, MonotonicTime ValidUntil,
               MonotonicTime Now);
  void onLeaseLost();

  /// Takes the backend server's own report. \p RequestedAt is the moment
  /// before the poll was sent, so the report is at least that new.
  void onReport(const ServerReport &Report, MonotonicTime RequestedAt,
                MonotonicTime Now);

  std::variant<SlotGrant, SlotRefusal> onRequest(const SlotRequest &Request,
                                                 MonotonicTime Now);

  /// Requests in flight that the ramp allows now; 0 if nothing is known.
  std::size_t rampLevel(const std::string &Server) const;

  /// The ramp has reached the warm capacity for the returned start ID, so
  /// serving views may tell nodes that this start needs no slots.
  std::optional<std::string> warmStartId(const std::string &Server) const;

private:
  struct Charge {
    std::size_t m_Slots = 0;
    MonotonicTime m_Until{};
  };

  /// Work that one node may have in flight.
  struct NodeState {
    std::vector<Charge> m_Charges;
    /// In-flight work that may remain from charges that were retired.
    std::size_t m_Residual = 0;
    std::uint64_t m_LastIssuedId = 0;
    MonotonicTime m_LastRequest{};
    std::size_t chargedSlots() const;
    std::size_t bound() const;
  };

  struct ServerState {
    ServerReport m_Report;
    MonotonicTime m_ReportRequestedAt{};
    MonotonicTime m_ReportReceivedAt{};
    std::size_t m_Level = 0;
    /// Start of the current step of the ramp; none while the backend server
    /// reports that it is cold.
    std::optional<MonotonicTime> m_StepSince;
    /// Nodes may treat this start as warm and send without slots.
    bool m_MayBeWarm = true;
    /// In-flight work that no charge of this holder covers has been counted.
    bool m_Counted = false;
    /// Reports that were requested before this time cannot show all of it.
    MonotonicTime m_CountFrom{};
    /// In-flight work that may remain from earlier holders' slots and from
    /// the time when the backend server was warm.
    std::size_t m_Inherited = 0;
    std::map<std::string, NodeState> m_Nodes;
    /// Start IDs that nodes named and no report has shown yet, with the time
    /// of the first such request.
    std::map<std::string, MonotonicTime> m_ClaimedStartIds;
    /// Lost connections that each node has told, and when the newest was
    /// told. The backend server may have restarted before that time.
    std::map<std::string, std::uint64_t> m_LostConnections;
    std::optional<MonotonicTime> m_LossTold;
  };

  void updateRamp(ServerState &State, const ServerReport &Report,
                  bool FirstReport, MonotonicTime RequestedAt,
                  MonotonicTime Now) const;
  void settle(ServerState &State, MonotonicTime RequestedAt) const;
  std::optional<SlotRefusal> checkRequest(ServerState &State,
                                          const SlotRequest &Request,
                                          MonotonicTime Now) const;
  std::size_t boundOfOthers(const ServerState &State,
                            const std::string &Node) const;
  std::size_t shareOf(const ServerState &State, MonotonicTime Now) const;

  SlotGranterSettings m_Settings;
  bool m_HasLease = false;
  std::uint64_t m_Epoch = 0;
  MonotonicTime m_AcquiredAt{};
  MonotonicTime m_ValidUntil{};
  std::map<std::string, ServerState> m_Servers;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ADMISSION_SLOT_GRANTER_H
