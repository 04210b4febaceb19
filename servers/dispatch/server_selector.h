#ifndef FULMARWINCH_SERVERS_DISPATCH_SERVER_SELECTOR_H
#define FULMARWINCH_SERVERS_DISPATCH_SERVER_SELECTOR_H

#include "core/enum_names.h"
#include "servers/dispatch/eligible_servers.h"
#include "servers/dispatch/held_tokens.h"
#include "servers/dispatch/peer_load.h"
#include "servers/dispatch/placement_estimate.h"
#include "servers/dispatch/prefill_backlog.h"
#include "servers/dispatch/server_availability.h"
#include "servers/dispatch/server_speed.h"
#include "servers/fleet/fleet_view.h"
#include "servers/routes/traffic_configuration.h"

#include "absl/container/flat_hash_map.h"

#include <array>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Reason why no backend server was chosen: no eligible one exists, all
/// eligible ones asked for a pause, this node has used its share of the rate
/// limits of the others, they have too few free slots, or they are cold and at
/// their rate limit.
enum class NoServerReason {
  None,
  NoneEligible,
  AllPaused,
  AllRateLimited,
  AllFull,
  AllCold
};

inline constexpr std::array<EnumName<NoServerReason>, 6> NoServerReasonNames{{
    {NoServerReason::None, "none"},
    {NoServerReason::NoneEligible, "none_alive"},
    {NoServerReason::AllPaused, "all_paused"},
    {NoServerReason::AllRateLimited, "all_rate_limited"},
    {NoServerReason::AllFull, "all_full"},
    {NoServerReason::AllCold, "all_cold"},
}};

/// Requirements of one request on the backend server.
struct ServerQuery {
  const ServiceSpec *m_Service = nullptr;
  /// Requested model; empty for services without replica groups.
  std::string m_Model;
  /// IDs of backend servers to which this request was already sent.
  std::set<std::string> m_TriedServers;
  PlacementRequest m_Request;
  /// Random number, uniform in [0, 1), so that nodes with the same view do not
  /// all choose the same server.
  double m_RandomDraw = 0.0;
  /// Estimated in-flight requests per slot from which a server is too full for
  /// this request, if that is less than SelectorSettings::m_MaxSlotUsage.
  double m_MaxSlotUsage = std::numeric_limits<double>::infinity();
  MonotonicTime m_Now{};
};

/// Groups of one model that accept requests, or the servers of a service
/// without groups.
struct GroupSupply {
  std::size_t m_Groups = 0;
  /// Mean of the estimated in-flight requests per slot.
  double m_MeanSlotUsage = 0.0;
  /// Share of the known nodes whose requests the estimate includes.
  double m_CountedNodeShare = 1.0;
};

/// Limits and timeouts of the server selection.
struct SelectorSettings {
  /// Estimated in-flight requests per slot from which a server receives no
  /// more. In a full batch each new request waits for a slot; the remaining
  /// tenth of the slots covers requests that peers sent since their last load
  /// report.
  double m_MaxSlotUsage = 0.9;
  /// Rate in requests per second at which one node may send to a cold server.
  /// Only so many nodes may send to it that the sum stays within the rate of
  /// the server.
  double m_ColdRequestsPerSecondPerNode = 2.0;
  /// Time for which a node without a load report is assumed to have as many
  /// requests in flight as this one. After this time its clients are assumed to
  /// use the other nodes.
  Duration m_MissingReportGrace = std::chrono::seconds(3);
  /// Placements whose costs differ by no more than this are treated as equal.
  /// Prompts that are too short to be announced to peers cause differences of
  /// this size.
  Duration m_CostTolerance = std::chrono::milliseconds(20);
  /// Estimates the effect of each placement. Otherwise the prefill backlog and
  /// the slot usage alone decide.
  bool m_EstimatesPlacement = true;
  /// Share of the choices that ignore the slowness of servers, so that a server
  /// that has recovered is noticed.
  double m_ProbeShare = 0.1;
};

/// Chooses the backend server for a request, based on this node's view of the
/// fleet, its own in-flight requests and those that its peers reported.
class ServerSelector {
public:
  explicit ServerSelector(const SelectorSettings &Settings = {},
                          const AvailabilitySettings &Availability = {});

  bool estimatesPlacement() const { return m_Settings.m_EstimatesPlacement; }
  /// Returns a backend server for the request, or nothing if no server may
  /// receive it; noServerReason() then tells why.
  std::optional<ChosenServer> choose(const FleetView &Fleet,
                                     const ServerQuery &Query);
  /// Returns the groups that could receive the request if all had free slots.
  GroupSupply groupSupply(const FleetView &Fleet,
                          const ServerQuery &Query) const;
  /// Reason why the last choose() returned nothing; None if it returned a
  /// server.
  NoServerReason noServerReason() const { return m_NoServerReason; }
  /// Time from which the first server may be sent requests again, if the last
  /// choose() found AllPaused or AllRateLimited; the maximum if this node has
  /// no share of any limit.
  MonotonicTime nextRequestAt() const { return m_NextRequestAt; }

  /// Estimate for the server that the last choose() returned.
  const PlacementEstimate &chosenEstimate() const { return m_ChosenEstimate; }
  /// Servers that the last choose() passed over although they serve what the
  /// request asks for, as "REASON:COUNT" separated by spaces. The reason is an
  /// Unavailability, or "tokens" if the KV cache would be too full.
  std::string passedOver() const;

  /// Must be called when this node has sent a request to \p Server. The request
  /// counts as in flight, and its prompt and output as \p Tokens that the
  /// server holds, until onRequestEnded() is called with the same tokens.
  void onDispatched(const std::string &Server, MonotonicTime Now,
                    const std::string &Model = {}, std::uint64_t Tokens = 0);
  void onRequestEnded(const std::string &Server, std::uint64_t Tokens = 0);
  /// Must be called when this node or a peer has sent a prompt whose prefill
  /// takes \p PrefillTime.
  void onPromptSent(const std::string &Server, Duration PrefillTime,
                    MonotonicTime Now) {
    m_Backlog.addPrompt(Server, PrefillTime, Now);
  }
  /// Tokens of this node's requests at the servers.
  const HeldTokens &heldTokens() const { return m_HeldTokens; }
  /// What this node has seen of the servers.
  ServerAvailability &availability() { return m_Availability; }
  /// Speed of the servers, as this node and its peers have seen it.
  ServerSpeed &speed() { return m_Speed; }
  const ServerAvailability &availability() const { return m_Availability; }

  /// Replaces the in-flight requests reported by a peer, by server.
  void setPeerInFlight(const std::string &Peer, PeerLoad::Report Load);
  /// Must be called when the load reports of \p Peer have stopped.
  void onPeerReportsStopped(const std::string &Peer, MonotonicTime Now);
  /// Sets the names of this node and of all nodes. A node without a load report
  /// is assumed to be as loaded as this one for m_MissingReportGrace.
  void setNodes(std::string OwnName, std::vector<std::string> AllNames,
                MonotonicTime Now);

  /// Number of in-flight requests of this node on \p Server.
  unsigned ownInFlight(const std::string &Server) const;
  /// Number of in-flight requests of this node, by server.
  PeerLoad::Report ownInFlightByServer() const {
    return {m_OwnInFlight.begin(), m_OwnInFlight.end()};
  }

private:
  struct Candidate {
    const BackendServer *m_Server = nullptr;
    double m_SlotUsage = 0.0;
    /// Usage once the request runs there, times the slowness of the server.
    double m_Fullness = 0.0;
    PlacementEstimate m_Estimate;
  };

  /// Returns the servers that may receive the request, and records why others
  /// may not.
  std::vector<Candidate> findCandidates(const FleetView &Fleet,
                                        const ServerQuery &Query);
  /// Records that \p Server asked for a pause, or that its rate limit is used.
  void recordHeldBack(const BackendServer &Server, Unavailability Reason,
                      MonotonicTime Now);
  /// Returns the median of the slowness of \p Servers if most of them are slow,
  /// otherwise 1. What they have in common is a load, and no fault of a server.
  double commonSlowness(const std::vector<const BackendServer *> &Servers,
                        MonotonicTime Now);
  /// Slowness of \p Server beyond that of most servers; 1 unless placements are
  /// estimated.
  double relativeSlowness(const BackendServer &Server,
                          double CommonSlowness) const;
  /// True if the request leaves room in the KV cache of \p Server, or if
  /// placements are not estimated.
  bool fitsTokens(const BackendServer &Server, const ServerQuery &Query,
                  const OtherRequests &Others) const;
  /// Expected effect of the request on \p Server, whose cost is the prefill
  /// backlog alone unless placements are estimated.
  PlacementEstimate estimate(const PlacementEstimator &Estimator,
                             const std::string &Server, double InFlight,
                             double Slowness, MonotonicTime Now) const;
  /// Removes the candidates with a higher cost than the least one.
  void keepLowestCosts(std::vector<Candidate> &Candidates) const;
  /// Tells the rate limits which nodes are alive.
  void updateLiveNodes();
  /// Number of nodes without a load report that are assumed to be as loaded as
  /// this one.
  double nodesWithoutReport(MonotonicTime Now) const;
  double inFlight(const BackendServer &Server,
                  const OtherRequests &Others) const;
  static unsigned slotsOf(const BackendServer &Server,
                          const ServiceSpec &Service);
  bool allowsColdRequest(const FleetView &Fleet, const ServerQuery &Query,
                         const BackendServer &Server) const;

  SelectorSettings m_Settings;
  ServerAvailability m_Availability;
  NoServerReason m_NoServerReason = NoServerReason::None;
  MonotonicTime m_NextRequestAt{};
  PlacementEstimate m_ChosenEstimate;
  /// Number of servers that the last choose() passed over, by reason.
  std::array<unsigned, UnavailabilityNames.size()> m_PassedOver{};
  /// Servers that the last choose() passed over because of their KV cache.
  unsigned m_PassedOverForTokens = 0;
  /// A cache, so that the supply can be read from a const selector.
  mutable EligibleServers m_EligibleServers;
  PrefillBacklog m_Backlog;
  ServerSpeed m_Speed;
  HeldTokens m_HeldTokens;
  absl::flat_hash_map<std::string, unsigned> m_OwnInFlight;
  PeerLoad m_PeerLoad;
  std::string m_OwnNode;
  std::vector<std::string> m_Nodes;
  /// Start of the time without a load report, by node.
  std::map<std::string, MonotonicTime> m_NoReportSince;
  std::map<std::string, MonotonicTime> m_LastDispatch;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_SERVER_SELECTOR_H
