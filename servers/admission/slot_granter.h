#ifndef FULMARWINCH_SERVERS_ADMISSION_SLOT_GRANTER_H
#define FULMARWINCH_SERVERS_ADMISSION_SLOT_GRANTER_H

#include "servers/admission/slot_messages.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace fulmarwinch {

/// Settings of the slot granter.
struct SlotGranterSettings {
  Duration m_SlotLifetime = std::chrono::seconds(1);
  /// Minimum lifetime of a grant; a shorter one would expire before it reaches
  /// the node.
  Duration m_MinSlotLifetime = std::chrono::milliseconds(200);
  /// Duration of one step of the ramp, after which the allowed requests in
  /// flight double.
  Duration m_RampStepDuration = std::chrono::milliseconds(250);
  /// No slots are granted if the newest report is older than this.
  Duration m_MaxReportAge = std::chrono::milliseconds(1000);
  /// Maximum time from the dispatch of a request by a node until the backend
  /// server counts it. Drivers enforce it with TCP_USER_TIMEOUT.
  Duration m_MaxTransitTime = std::chrono::seconds(2);
  /// Maximum time until every node has learnt that a formerly warm backend
  /// server is cold. Until then nodes may send to it without slots.
  Duration m_MaxColdNoticeDelay = std::chrono::seconds(2);
  /// The slots are shared by the nodes that requested slots within this time.
  Duration m_SharingWindow = std::chrono::seconds(2);
};

/// Grants nodes slots on cold backend servers. Runs on the lease holder of a
/// control shard. While a backend server warms up, its requests in flight stay
/// within a limit, the ramp, that doubles step by step: before a slot is
/// granted, all unexpired slots and all requests that may still be in flight
/// from earlier slots are counted. Not safe for concurrent use.
class SlotGranter {
public:
  explicit SlotGranter(const SlotGranterSettings &Settings = {});

  /// Must be called when the shard's lease was acquired or renewed with
  /// \p Epoch. A new epoch clears all state about earlier slots.
  void onLease(std::uint64_t Epoch, MonotonicTime ValidUntil,
               MonotonicTime Now);
  void onLeaseLost();

  /// Processes a state report of a backend server. \p RequestedAt is the time
  /// before the poll was sent, so the report is not older than that.
  void onReport(const ServerReport &Report, MonotonicTime RequestedAt,
                MonotonicTime Now);

  /// Returns a grant for the slot request of a node, or why there is none.
  std::variant<SlotGrant, SlotRefusal> onRequest(const SlotRequest &Request,
                                                 MonotonicTime Now);

  /// Returns the requests in flight that the ramp allows now; 0 for an unknown
  /// backend server.
  std::size_t rampLevel(const std::string &Server) const;

  /// Returns the start ID of the backend server if its ramp has reached the
  /// warm capacity, else nothing. Serving views then mark this start as warm,
  /// which means that nodes need no slots for it.
  std::optional<std::string> warmStartId(const std::string &Server) const;

private:
  /// Slots of one grant, counted as in use until the grant expires.
  struct SlotCharge {
    std::size_t m_Slots = 0;
    MonotonicTime m_ExpiresAt{};
  };

  /// Slots and requests in flight of one node on one backend server.
  struct NodeState {
    std::vector<SlotCharge> m_Charges;
    /// Requests that may still be in flight from expired slots.
    std::size_t m_ResidualInFlight = 0;
    /// Request ID of the newest grant to the node.
    std::uint64_t m_LastGrantedId = 0;
    MonotonicTime m_LastRequestAt{};
    /// Slots that the node may still use.
    std::size_t chargedSlots() const;
    /// Upper bound of the node's requests in flight.
    std::size_t maxInFlight() const;
  };

  struct ServerState {
    ServerReport m_Report;
    MonotonicTime m_ReportRequestedAt{};
    MonotonicTime m_ReportReceivedAt{};
    /// Requests in flight that the ramp allows now.
    std::size_t m_RampLevel = 0;
    /// Start of the current step of the ramp; unset while the backend server
    /// reports that it is cold.
    std::optional<MonotonicTime> m_StepStartedAt;
    /// Nodes may still treat this start as warm and send without slots.
    bool m_MayBeWarm = true;
    /// The requests in flight that no charge of this lease holder covers have
    /// been counted from a report.
    bool m_InFlightCounted = false;
    /// Only reports requested at or after this time show all requests in flight
    /// that no charge of this lease holder covers.
    MonotonicTime m_CountableFrom{};
    /// Requests that may still be in flight from slots of earlier lease holders
    /// and from the time when the backend server was warm.
    std::size_t m_InheritedInFlight = 0;
    std::map<std::string, NodeState> m_Nodes;
    /// Start IDs that nodes named and no report has shown yet, with the time
    /// of the first slot request that named each.
    std::map<std::string, MonotonicTime> m_UnconfirmedStartIds;
    /// Number of lost connections that each node has reported.
    std::map<std::string, std::uint64_t> m_LostConnections;
    /// Time of the newest report of a lost connection. The backend server may
    /// have restarted before that time.
    std::optional<MonotonicTime> m_LossReportedAt;
  };

  /// Advances the ramp by one step if it is due, or resets it after a restart.
  void updateRamp(ServerState &State, const ServerReport &Report,
                  bool FirstReport, MonotonicTime RequestedAt,
                  MonotonicTime Now) const;
  /// Removes charges whose last requests must be in a report that was requested
  /// at \p RequestedAt, and limits residual requests to the reported ones.
  void retireExpiredCharges(ServerState &State,
                            MonotonicTime RequestedAt) const;
  /// Returns why no slots may be granted to the request, or nothing.
  std::optional<SlotRefusal> checkRequest(ServerState &State,
                                          const SlotRequest &Request,
                                          MonotonicTime Now) const;
  /// Upper bound of the requests in flight of all nodes except \p Node.
  std::size_t maxInFlightOfOthers(const ServerState &State,
                                  const std::string &Node) const;
  /// Slots that the ramp allows per node, shared by the nodes that requested
  /// slots within m_SharingWindow.
  std::size_t fairShare(const ServerState &State, MonotonicTime Now) const;

  SlotGranterSettings m_Settings;
  bool m_HasLease = false;
  std::uint64_t m_Epoch = 0;
  MonotonicTime m_AcquiredAt{};
  MonotonicTime m_ValidUntil{};
  std::map<std::string, ServerState> m_Servers;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ADMISSION_SLOT_GRANTER_H
