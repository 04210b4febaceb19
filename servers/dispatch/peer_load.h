#ifndef FULMARWINCH_SERVERS_DISPATCH_PEER_LOAD_H
#define FULMARWINCH_SERVERS_DISPATCH_PEER_LOAD_H

#include "absl/container/flat_hash_map.h"

#include <map>
#include <string>

namespace fulmarwinch {

/// Requests that the peers of this node have in flight, as they last reported.
/// Keeps the sum over all peers by server: a request looks up every candidate,
/// much more often than a report arrives.
class PeerLoad {
public:
  /// Number of in-flight requests by server.
  using Report = std::map<std::string, unsigned>;

  /// Replaces the report of \p Peer. Returns true if it had none.
  bool setReport(const std::string &Peer, Report Load);
  void removeReport(const std::string &Peer);
  bool hasReport(const std::string &Peer) const {
    return m_Reports.count(Peer) != 0;
  }
  std::size_t reportCount() const { return m_Reports.size(); }
  /// Number of in-flight requests of all peers on \p Server.
  unsigned inFlight(const std::string &Server) const;

private:
  void subtract(const Report &Load);

  std::map<std::string, Report> m_Reports;
  /// Sum of the reports; servers without requests are absent.
  absl::flat_hash_map<std::string, unsigned> m_InFlight;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_PEER_LOAD_H
