#ifndef FULMARWINCH_DRIVERS_STANDIN_WEIGHT_STORE_STANDIN_H
#define FULMARWINCH_DRIVERS_STANDIN_WEIGHT_STORE_STANDIN_H

#include "drivers/http/http_server.h"
#include "drivers/standin/task_timer.h"

#include <list>
#include <mutex>

namespace fulmarwinch {

/// Simulates the platform's weight store: all running loads share its bandwidth
/// equally, and each load call receives its response once its bytes would have
/// been transferred.
class WeightStoreStandin {
public:
  explicit WeightStoreStandin(TaskTimer &Timer);

  /// Sets the bandwidth of the store, shared by all loads.
  void setBandwidth(double BytesPerSecond);

  /// Starts a load for `POST /v1/weights/load {"vm","bytes"}` and sends the
  /// response when the load ends. Sends status 400 at once if "bytes" is
  /// missing.
  void startLoad(const HttpExchangePtr &Exchange);

  /// Returns the number of loads that have not ended.
  std::size_t runningLoadCount();

  /// Discards all running loads and their exchanges.
  void discardAllLoads();

private:
  struct Load {
    HttpExchangePtr m_Exchange;
    double m_RemainingBytes = 0;
    double m_TotalBytes = 0;
  };

  void advanceLoads();

  TaskTimer &m_Timer;
  std::mutex m_Mutex;
  double m_BytesPerSecond = 1e9;
  bool m_IsTickScheduled = false;
  MonotonicTime m_LastAdvancedAt{};
  std::list<Load> m_RunningLoads;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_WEIGHT_STORE_STANDIN_H
