#ifndef FULMARWINCH_PROXY_ADMISSION_CONTROL_H
#define FULMARWINCH_PROXY_ADMISSION_CONTROL_H

#include "core/time.h"
#include "servers/dispatch/overload_admission.h"

#include <map>
#include <string>

namespace fulmarwinch {

struct AdmissionShares;
struct RequestRelayContext;
struct ServiceSpec;

/// Recomputes which requests of each model, and of each service without groups,
/// this node admits, and reports the decisions in the log and the metrics.
class AdmissionControl {
public:
  /// \p Context must outlive this object.
  explicit AdmissionControl(RequestRelayContext &Context)
      : m_Context(Context) {}

  /// Call it every few tens of milliseconds. Decides once per
  /// OverloadAdmission::Period, and returns true if it has.
  bool tick(MonotonicTime Now);
  /// Sets the gauges of the admitted shares and the measured work.
  void setGauges(MonotonicTime Now);

private:
  struct Pool {
    OverloadAdmission m_Admission;
    MonotonicTime m_NextReportAt{};
    bool m_IsUpdated = false;
  };

  void update(const ServiceSpec &Service, const std::string &Model,
              MonotonicTime Now);
  void logShares(const std::string &Name, const PoolLoad &Load,
                 const WorkRates &Work, const AdmissionShares &Shares);

  RequestRelayContext &m_Context;
  std::map<std::string, Pool> m_Pools;
  MonotonicTime m_NextUpdateAt{};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_ADMISSION_CONTROL_H
