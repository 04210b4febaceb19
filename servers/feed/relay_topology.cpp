#include "servers/feed/relay_topology.h"
#include "core/rendezvous.h"
#include "core/text.h"

#include <algorithm>
#include <tuple>

namespace fulmarwinch {

namespace {

/// Link bandwidth that is assumed for a node that does not state its own.
constexpr double DefaultLinkMbps = 20.0;
/// Time for which forwarding one batch may occupy the link of the sender.
constexpr double MaxForwardingSeconds = 0.15;
/// Upper bound of a forwarded batch, whatever the link carries: the receiver's
/// socket buffer has to hold it.
constexpr double MaxBatchBytes = 160000.0;
constexpr double BytesPerSecondPerMbps = 125000.0;

double effectiveLink(const RelayCandidate &Node) {
  return Node.m_LinkMbps > 0.0 ? Node.m_LinkMbps : DefaultLinkMbps;
}

} // namespace

std::map<std::string, std::string>
relayByZone(const std::vector<RelayCandidate> &Nodes) {
  struct Election {
    std::size_t m_Nodes = 0;
    const RelayCandidate *m_Relay = nullptr;
    std::uint64_t m_Weight = 0;
  };
  std::map<std::string, Election> Elections;
  for (const RelayCandidate &Node : Nodes) {
    Election &Zone = Elections[Node.m_Zone];
    ++Zone.m_Nodes;
    const std::uint64_t Weight =
        rendezvousWeight(concat("relay/", Node.m_Zone), Node.m_Name);
    if (Zone.m_Relay &&
        std::make_tuple(effectiveLink(Node), Weight, Node.m_Name) <=
            std::make_tuple(effectiveLink(*Zone.m_Relay), Zone.m_Weight,
                            Zone.m_Relay->m_Name))
      continue;
    Zone.m_Relay = &Node;
    Zone.m_Weight = Weight;
  }
  std::map<std::string, std::string> Relays;
  for (const auto &[Zone, Result] : Elections)
    if (Result.m_Nodes >= 2)
      Relays[Zone] = Result.m_Relay->m_Name;
  return Relays;
}

FeedPlan planFeed(const RelayCandidate &Own,
                  const std::vector<RelayCandidate> &Nodes,
                  bool IsLeaseHolder) {
  const std::map<std::string, std::string> Relays = relayByZone(Nodes);
  FeedPlan Plan;
  const auto OwnRelay = Relays.find(Own.m_Zone);
  if (OwnRelay != Relays.end())
    Plan.m_ZoneRelay = OwnRelay->second;
  const bool IsRelay = Plan.m_ZoneRelay == Own.m_Name;
  if (IsRelay)
    for (const RelayCandidate &Node : Nodes)
      if (Node.m_Zone == Own.m_Zone && Node.m_Name != Own.m_Name)
        Plan.m_Receivers.push_back(Node.m_Name);
  if (IsLeaseHolder)
    for (const auto &[Zone, Relay] : Relays)
      if (Relay != Own.m_Name)
        Plan.m_Receivers.push_back(Relay);
  if (IsLeaseHolder)
    Plan.m_Role = FeedRole::Source;
  else if (IsRelay)
    Plan.m_Role = FeedRole::Relay;
  else if (!Plan.m_ZoneRelay.empty())
    Plan.m_Role = FeedRole::Follower;
  return Plan;
}

std::size_t maxForwardedBytes(double LinkMbps, std::size_t ReceiverCount) {
  const double BytesPerSecond =
      (LinkMbps > 0.0 ? LinkMbps : DefaultLinkMbps) * BytesPerSecondPerMbps;
  return static_cast<std::size_t>(std::min(
      MaxBatchBytes,
      BytesPerSecond * MaxForwardingSeconds /
          static_cast<double>(std::max<std::size_t>(1, ReceiverCount))));
}

} // namespace fulmarwinch
