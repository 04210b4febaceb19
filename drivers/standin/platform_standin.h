#ifndef FULMARWINCH_DRIVERS_STANDIN_PLATFORM_STANDIN_H
#define FULMARWINCH_DRIVERS_STANDIN_PLATFORM_STANDIN_H

#include "drivers/http/http_server.h"
#include "drivers/standin/call_rate_limiter.h"
#include "drivers/standin/object_table.h"
#include "drivers/standin/task_timer.h"
#include "drivers/standin/weight_store_standin.h"

#include <list>
#include <map>
#include <mutex>
#include <random>

namespace fulmarwinch {

/// Stand-in for the platform: object API, VM list and weight store, with faults
/// that `POST /control` injects. See docs/reference/standins.md.
class PlatformStandin {
public:
  /// \p Settings may have the members that `POST /control` accepts, "seed" for
  /// the random faults, and "history", the number of changes retained for
  /// watches.
  explicit PlatformStandin(const Json &Settings);
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin &) = delete;
  PlatformStandin &operator=(const PlatformStandin &) = delete;

  /// Listens on \p Port of 127.0.0.1; returns an error if that fails.
  absl::Status start(std::uint16_t Port);
  void stop();

  /// Changes the faults, limits and VMs that \p Settings names.
  /// "copy" keeps a copy of the objects under the given name, and "restore"
  /// returns to the copy of that name.
  void control(const Json &Settings);

  /// Returns the settings, the call counters, the revision, and the numbers of
  /// pending watches and loads.
  Json status();

private:
  struct WatchRequest {
    std::uint64_t m_Id;
    HttpExchangePtr m_Exchange;
    std::string m_Prefix;
    std::uint64_t m_Since;
  };

  void handle(const HttpExchangePtr &Exchange);
  void handleControl(const HttpExchangePtr &Exchange);
  void handleApiCall(const HttpExchangePtr &Exchange, const std::string &Kind);
  HttpResponse executeCall(const HttpExchangePtr &Exchange,
                           const std::string &Kind);
  /// Returns to a copy of the objects, and ends all pending watches.
  void restore(const ObjectTable &Copy);
  /// True if \p Request is conditional on a version of another era.
  bool namesAnotherEra(const HttpRequest &Request) const;
  HttpResponse get(const HttpRequest &Request);
  HttpResponse put(const HttpRequest &Request);
  HttpResponse remove(const HttpRequest &Request);
  HttpResponse list(const HttpRequest &Request);
  HttpResponse listVms();
  void watch(const HttpExchangePtr &Exchange);
  bool tryAnswerWatch(const WatchRequest &PendingWatch, bool HasTimedOut);
  void answerChangedWatches();
  void timeOutWatch(std::uint64_t Id);
  void applyVmChanges(const Json &Vms);
  void respondAsLost(const HttpExchangePtr &Exchange);
  void incrementCounter(const std::string &Kind) { ++m_Counters[Kind]; }

  std::mutex m_Mutex;
  ObjectTable m_Objects;
  std::map<std::string, ObjectTable> m_Copies;
  std::map<std::string, std::uint64_t> m_Counters;
  CallRateLimiter m_WriteRate;
  CallRateLimiter m_ReadRate;
  std::mt19937_64 m_Random;
  Json m_Settings;
  std::map<std::string, Json> m_Vms;
  /// Contents of the VM list after each change, by the time of the change. A
  /// delayed list call returns earlier contents.
  std::map<MonotonicTime, Json> m_VmListHistory;
  std::uint64_t m_NextWatchId = 1;
  std::list<WatchRequest> m_PendingWatches;
  TaskTimer m_Timer;
  WeightStoreStandin m_WeightStore;
  HttpServer m_Server;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_PLATFORM_STANDIN_H
