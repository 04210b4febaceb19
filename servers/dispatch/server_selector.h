#ifndef FULMARWINCH_SERVERS_DISPATCH_SERVER_SELECTOR_H
#define FULMARWINCH_SERVERS_DISPATCH_SERVER_SELECTOR_H

#include "core/enum_names.h"
#include "servers/dispatch/reading_backlog.h"
#include "servers/fleet/fleet_view.h"
#include "servers/routes/traffic_configuration.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Why no backend server was chosen.
enum class NoServerReason { None, NoneAlive, AllFull, AllCold };

inline constexpr std::array<EnumName<NoServerReason>, 4> NoServerReasonNames{{
    {NoServerReason::None, "none"},
    {NoServerReason::NoneAlive, "none_alive"},
    {NoServerReason::AllFull, "all_full"},
    {NoServerReason::AllCold, "all_cold"},
}};

/// Identity and address of a backend server at the time of a dispatch.
struct ChosenServer {
  std::string m_Id;
  std::int64_t m_StartedAtMs = 0;
  Endpoint m_Endpoint;
  std::string m_Zone;
  std::optional<GroupKey> m_Group;
};

/// What a request needs of a backend server.
struct ServerQuery {
  const ServiceSpec *m_Service = nullptr;
  /// Empty for plain services.
  std::string m_Model;
  /// Backend servers that this request has already been sent to.
  std::set<std::string> m_Tried;
  /// Uniform in [0, 1); breaks ties, so that nodes with the same view do not
  /// all choose the same server.
  double m_Draw = 0.0;
  MonotonicTime m_Now{};
};

/// Limits of the choice.
struct SelectorSettings {
  /// Estimated requests per place beyond which a server gets no more. A full
  /// batch makes every newcomer wait for a place; the tenth that is left covers
  /// what peers have sent since they last said so.
  double m_MaxFill = 0.9;
  /// A server that refused for want of places is avoided for this time, about
  /// the lag of its load.
  Duration m_FullPause = std::chrono::milliseconds(150);
  /// A server that failed or stalled is avoided for this time unless its entry
  /// shows a change.
  Duration m_SuspectPause = std::chrono::milliseconds(6500);
  /// Pause after a connection that could not be made; doubled per failure.
  Duration m_UnreachablePause = std::chrono::milliseconds(300);
  /// Requests per second that one node may send to a cold server. The nodes
  /// that may send to it are few enough for their sum to fit.
  double m_ColdPerNode = 2.0;
  /// A node that is not heard from counts as loaded as this one for this time.
  /// Its clients have turned to the other nodes by then.
  Duration m_UnheardCounts = std::chrono::seconds(3);
  /// Queues of unread prompts that differ by less count as equal. Prompts that
  /// are too short to be announced make a difference of this size.
  Duration m_SameBacklog = std::chrono::milliseconds(20);
};

/// Chooses the backend server for a request from what this node believes,
/// what it has in progress itself and what its peers said they have.
class ServerSelector {
public:
  explicit ServerSelector(const SelectorSettings &Settings = {});

  std::optional<ChosenServer> choose(const FleetView &Fleet,
                                     const ServerQuery &Query);
  /// Why the last choose() returned nothing.
  NoServerReason reason() const { return m_Reason; }

  void onDispatched(const std::string &Server, MonotonicTime Now);
  void onEnded(const std::string &Server);
  /// This node or a peer sent a prompt that takes \p Work to read.
  void onPromptSent(const std::string &Server, Duration Work,
                    MonotonicTime Now) {
    m_Backlog.add(Server, Work, Now);
  }
  void onFull(const std::string &Server, MonotonicTime Now);
  void onUnreachable(const std::string &Server, MonotonicTime Now);
  /// The server, or the group that it leads in \p Group, does no work.
  void onSuspected(const std::string &Server,
                   const std::optional<GroupKey> &Group, MonotonicTime Now);
  void onAnswered(const std::string &Server);

  /// Requests that a peer has in progress, by server.
  void setPeerLoad(const std::string &Peer,
                   std::map<std::string, unsigned> Load);
  void forgetPeer(const std::string &Peer, MonotonicTime Now);
  /// Names this node and all nodes. Unheard nodes are assumed to be as loaded
  /// as this one for a while.
  void setNodes(std::string Own, std::vector<std::string> All,
                MonotonicTime Now);

  bool isSuspected(const BackendServer &Server, MonotonicTime Now) const;
  /// The same for the formation that \p Server led when it was chosen.
  bool isSuspected(const ChosenServer &Server, MonotonicTime Now) const;
  unsigned ownLoad(const std::string &Server) const;
  const std::map<std::string, unsigned> &ownLoads() const { return m_Own; }

private:
  struct Suspicion {
    std::optional<GroupKey> m_Group;
    MonotonicTime m_Until{};
  };
  struct Rating {
    const BackendServer *m_Server = nullptr;
    double m_Fill = 0.0;
    Duration m_Backlog{0};
  };

  bool isSuspected(const std::string &Server,
                   const std::optional<GroupKey> &Group,
                   MonotonicTime Now) const;
  bool fits(const FleetView &Fleet, const ServerQuery &Query,
            const BackendServer &Server) const;
  void keepShortestBacklogs(std::vector<Rating> &Rated) const;
  double fill(const BackendServer &Server, const ServerQuery &Query) const;
  bool mayTakeCold(const FleetView &Fleet, const ServerQuery &Query,
                   const BackendServer &Server) const;

  SelectorSettings m_Settings;
  NoServerReason m_Reason = NoServerReason::None;
  ReadingBacklog m_Backlog;
  std::map<std::string, unsigned> m_Own;
  std::map<std::string, std::map<std::string, unsigned>> m_PeerLoads;
  std::string m_Node;
  std::vector<std::string> m_Nodes;
  /// Since when each node that is not heard from has been silent.
  std::map<std::string, MonotonicTime> m_UnheardSince;
  std::map<std::string, Suspicion> m_Suspicions;
  std::map<std::string, MonotonicTime> m_PausedUntil;
  std::map<std::string, unsigned> m_ConnectFailures;
  std::map<std::string, MonotonicTime> m_LastDispatch;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_SERVER_SELECTOR_H
