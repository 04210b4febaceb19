#ifndef FULMARWINCH_SERVERS_REPLICAS_DEMAND_ESTIMATOR_H
#define FULMARWINCH_SERVERS_REPLICAS_DEMAND_ESTIMATOR_H

#include "servers/routes/traffic_configuration.h"

#include <cstdint>
#include <map>
#include <string>

namespace fulmarwinch {

/// Size of one request in tokens.
struct RequestSize {
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_OutputTokens = 0;
};

/// Estimates how many replica groups the traffic of each model keeps busy. The
/// estimate uses the size of each request that arrives, not the number of
/// running requests: that number stays low while a group prefills one long
/// prompt, and while requests are refused because the model has too few groups.
class DemandEstimator {
public:
  /// Time constant of the exponential average. It is shorter than the time to
  /// load a model, so that the planner can react in time, and longer than the
  /// gaps between large requests.
  static constexpr Duration AveragingTime = std::chrono::seconds(6);

  /// Adds a request to the average, whether it is served or refused.
  void recordRequest(const ServiceSpec &Service, const std::string &Model,
                     const RequestSize &Size, MonotonicTime Now);

  /// Records that a response of \p Model had \p ActualTokens, where the size
  /// of its request stated \p StatedTokens. Clients may state a maximum that
  /// responses rarely reach, so later requests are corrected by the ratio.
  void recordOutput(const std::string &Model, std::uint64_t StatedTokens,
                    std::uint64_t ActualTokens);

  /// Returns the number of groups that this node's traffic keeps busy, by
  /// model. The number is fractional; models without any request are absent.
  std::map<std::string, double> busyGroupsByModel(MonotonicTime Now) const;

private:
  /// Average load of one model in busy groups. The time of a pass has a part
  /// for each request and a part that all requests of the pass share. The
  /// number of passes is that of the prefill chunks, or that of the decode
  /// steps divided by the slots, whichever is larger.
  struct ModelLoad {
    /// Prefill of the prompts and the decode steps' part for each sequence.
    double m_OwnGroups = 0.0;
    /// The shared part of the passes, if prefill or decoding sets their number.
    double m_PrefillPassGroups = 0.0;
    double m_DecodePassGroups = 0.0;
    MonotonicTime m_FirstRequestAt{};
    MonotonicTime m_UpdatedAt{};
    double m_StatedOutputTokens = 0.0;
    double m_ActualOutputTokens = 0.0;

    /// Average ratio of actual to stated output tokens; 1 until known.
    double outputRatio() const;
  };

  /// Weight at \p Now, from 0 to 1, of the load recorded in \p Average.
  static double decayFactor(const ModelLoad &Average, MonotonicTime Now);

  std::map<std::string, ModelLoad> m_LoadByModel;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_REPLICAS_DEMAND_ESTIMATOR_H
