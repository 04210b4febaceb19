#ifndef FULMARWINCH_DRIVERS_STANDIN_WEIGHT_STORE_H
#define FULMARWINCH_DRIVERS_STANDIN_WEIGHT_STORE_H

#include "drivers/http/http_server.h"
#include "drivers/standin/task_timer.h"

#include <list>
#include <mutex>

namespace fulmarwinch {

/// Weight store whose rate all loading engines share in equal parts. A load
/// call is answered when its bytes have been delivered.
class WeightStore {
public:
  explicit WeightStore(TaskTimer &Timer);

  void setRate(double BytesPerSecond);

  /// Answers `POST /v1/weights/load {"vm","bytes"}` later.
  void load(const HttpExchangePtr &Exchange);

  /// Returns the number of running loads.
  std::size_t running();

  /// Drops the calls that wait.
  void dropAll();

private:
  struct Load {
    HttpExchangePtr m_Exchange;
    double m_Remaining = 0;
    double m_Bytes = 0;
  };

  void tick();

  TaskTimer &m_Timer;
  std::mutex m_Mutex;
  double m_BytesPerSecond = 1e9;
  bool m_Ticking = false;
  MonotonicTime m_LastTick{};
  std::list<Load> m_Loads;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_WEIGHT_STORE_H
