#ifndef FULMARWINCH_SERVERS_REPLICAS_DEMAND_ESTIMATOR_H
#define FULMARWINCH_SERVERS_REPLICAS_DEMAND_ESTIMATOR_H

#include "servers/routes/traffic_configuration.h"

#include <cstdint>
#include <map>
#include <string>

namespace fulmarwinch {

/// Tokens of one request.
struct RequestSize {
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_OutputTokens = 0;
};

/// Estimates how many replica groups the traffic of each model keeps busy.
/// Running requests would not tell: a long prompt occupies its group while it
/// is read, and a model that lacks groups has its requests refused.
class DemandEstimator {
public:
  /// Time constant of the average. Shorter than the time that a load takes,
  /// longer than the gaps between large requests.
  static constexpr Duration Memory = std::chrono::seconds(6);

  /// Adds a request, whether it could be served or not.
  void onRequest(const ServiceSpec &Service, const std::string &Model,
                 const RequestSize &Size, MonotonicTime Now);

  /// Busy groups by model, as far as this node's traffic keeps them busy.
  std::map<std::string, double> demand(MonotonicTime Now) const;

private:
  /// A batch reads one chunk of prompts between its token steps, so a group
  /// may lack either of the two while it has plenty of the other.
  struct Work {
    double m_Reading = 0.0;
    double m_Writing = 0.0;
    MonotonicTime m_At{};
  };

  /// Part of earlier work that still counts.
  static double fading(const Work &Of, MonotonicTime Now);

  std::map<std::string, Work> m_Work;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_REPLICAS_DEMAND_ESTIMATOR_H
