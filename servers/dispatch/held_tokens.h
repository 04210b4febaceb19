#ifndef FULMARWINCH_SERVERS_DISPATCH_HELD_TOKENS_H
#define FULMARWINCH_SERVERS_DISPATCH_HELD_TOKENS_H

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <map>
#include <string>

namespace fulmarwinch {

/// Requests on one server that other nodes have sent.
struct OtherRequests {
  /// Requests in flight that the peers have reported.
  double m_Reported = 0.0;
  /// Nodes without a report, which are assumed to hold as much as this one.
  double m_UnknownNodes = 0.0;
};

/// Counts the tokens of this node's requests at each server, and estimates
/// those of all nodes. A server crashes if its requests exceed its KV cache.
class HeldTokens {
public:
  /// Share of the KV cache that requests may fill. The rest covers requests
  /// that peers have sent since their last load report.
  static constexpr double MaxShare = 0.9;

  /// Must be called when a request whose prompt and output have \p Tokens was
  /// sent to \p Server.
  void onDispatched(const std::string &Server, const std::string &Model,
                    std::uint64_t Tokens);
  /// Must be called with the same tokens when the request has ended.
  void onEnded(const std::string &Server, std::uint64_t Tokens);

  /// Tokens of this node's requests at \p Server.
  std::uint64_t own(const std::string &Server) const;
  /// Tokens of this node's requests at all servers.
  std::uint64_t ownTotal() const { return m_OwnTotal; }
  /// Estimates the tokens that \p Server holds. The requests of the peers count
  /// with the mean size of this node's recent requests of \p Model, or with \p
  /// RequestTokens if there was none.
  double total(const std::string &Server, const std::string &Model,
               const OtherRequests &Others, std::uint64_t RequestTokens) const;
  /// True if \p Server with a KV cache of \p Capacity can hold a request with
  /// \p RequestTokens as well. There is no limit if \p Capacity is 0.
  bool fits(std::uint64_t Capacity, const std::string &Server,
            const std::string &Model, const OtherRequests &Others,
            std::uint64_t RequestTokens) const;

private:
  double meanTokens(const std::string &Model,
                    std::uint64_t RequestTokens) const;

  /// Servers without tokens are absent.
  absl::flat_hash_map<std::string, std::uint64_t> m_OwnByServer;
  std::uint64_t m_OwnTotal = 0;
  /// Exponential average of the tokens of a request, by model.
  std::map<std::string, double> m_MeanByModel;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_HELD_TOKENS_H
