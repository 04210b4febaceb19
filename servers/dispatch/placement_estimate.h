#ifndef FULMARWINCH_SERVERS_DISPATCH_PLACEMENT_ESTIMATE_H
#define FULMARWINCH_SERVERS_DISPATCH_PLACEMENT_ESTIMATE_H

#include "core/time.h"
#include "servers/routes/traffic_configuration.h"

#include <cstdint>
#include <string>

namespace fulmarwinch {

/// Size and objectives of a request that is to be placed.
struct PlacementRequest {
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_OutputTokens = 0;
  /// Objectives for the first event and for the time between two events.
  Duration m_FirstEventObjective{0};
  Duration m_EventGapObjective{0};

  /// Tokens that a server holds for the request until it ends.
  std::uint64_t tokens() const { return m_PromptTokens + m_OutputTokens; }
};

/// What is known of the server or group that may receive a request.
struct PlacementLoad {
  /// Estimated requests in flight from all nodes.
  double m_InFlight = 0.0;
  /// Time for which it is busy with the prompts that it has received.
  Duration m_PrefillBacklog{0};
  /// How many times slower than usual it is.
  double m_Slowness = 1.0;
};

/// Expected effect of a request on one server or group.
struct PlacementEstimate {
  /// Time to the first event of the request at normal speed.
  Duration m_FirstEvent{0};
  /// Longest pause between two events of the streams that run there, and their
  /// number.
  Duration m_LongestPause{0};
  double m_PausedStreams = 0.0;
  /// Slowness that the pause contains.
  double m_Slowness = 1.0;
  /// Delay by which placements are compared: the prefill backlog, and a part of
  /// the objective for the first event that grows with the share of the slots
  /// whose streams the prompt delays beyond their objective.
  Duration m_Cost{0};
};

/// Estimates, from the published figures of an engine, the time to the first
/// event of a request and the pause that its prompt causes for running streams.
/// A pass makes several decode steps, each of which may also prefill one chunk
/// of a prompt; all streams of the group wait for the end of the pass. For
/// services without a model engine all times are zero.
class PlacementEstimator {
public:
  PlacementEstimator(const ServiceSpec &Service, const std::string &Model,
                     const PlacementRequest &Request);

  PlacementEstimate estimate(const PlacementLoad &Load) const;

private:
  bool m_HasEngine = false;
  double m_PromptTokens = 0.0;
  double m_OutputPasses = 0.0;
  double m_Slots = 1.0;
  double m_MsPerToken = 0.0;
  /// Backlog per prompt token, with the decode steps that alternate with it.
  double m_BacklogMsPerToken = 0.0;
  /// Decode time of a pass: a fixed part and a part for each stream.
  double m_PassMs = 0.0;
  double m_PassMsPerStream = 0.0;
  /// Maximum prompt tokens in one pass; 0 if there is no limit.
  double m_TokensPerPass = 0.0;
  double m_FirstEventObjectiveMs = 0.0;
  double m_EventGapObjectiveMs = 0.0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_DISPATCH_PLACEMENT_ESTIMATE_H
