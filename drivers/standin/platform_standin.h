#ifndef FULMARWINCH_DRIVERS_STANDIN_PLATFORM_STANDIN_H
#define FULMARWINCH_DRIVERS_STANDIN_PLATFORM_STANDIN_H

#include "drivers/http/http_server.h"
#include "drivers/standin/call_rate.h"
#include "drivers/standin/object_table.h"
#include "drivers/standin/task_timer.h"
#include "drivers/standin/weight_store.h"

#include <list>
#include <map>
#include <mutex>
#include <random>

namespace fulmarwinch {

/// Stand-in for the platform: object API, VM list and weight store, with
/// faults that are set by `POST /control`. See docs/reference/standins.md.
class PlatformStandin {
public:
  /// \p Settings are the members that `POST /control` takes, and "seed" and
  /// "history".
  explicit PlatformStandin(const Json &Settings);
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin &) = delete;
  PlatformStandin &operator=(const PlatformStandin &) = delete;

  absl::Status start(std::uint16_t Port);
  void stop();

  /// Changes faults, limits and VMs.
  void control(const Json &Settings);

  /// Returns counts and settings.
  Json status();

private:
  struct Watch {
    std::uint64_t m_Id;
    HttpExchangePtr m_Exchange;
    std::string m_Prefix;
    std::uint64_t m_Since;
  };

  void handle(const HttpExchangePtr &Exchange);
  void handleControl(const HttpExchangePtr &Exchange);
  void handleApi(const HttpExchangePtr &Exchange, const std::string &Kind);
  HttpResponse execute(const HttpExchangePtr &Exchange,
                       const std::string &Kind);
  HttpResponse get(const HttpRequest &Request);
  HttpResponse put(const HttpRequest &Request);
  HttpResponse remove(const HttpRequest &Request);
  HttpResponse list(const HttpRequest &Request);
  HttpResponse listVms();
  void watch(const HttpExchangePtr &Exchange);
  bool answerWatch(const Watch &Waiting, bool IsTimeUp);
  void wakeWatches();
  void endWatch(std::uint64_t Id);
  void setVms(const Json &Vms);
  void loseAnswer(const HttpExchangePtr &Exchange);
  void count(const std::string &Kind) { ++m_Counts[Kind]; }

  std::mutex m_Mutex;
  ObjectTable m_Objects;
  std::map<std::string, std::uint64_t> m_Counts;
  CallRate m_Writes;
  CallRate m_Reads;
  std::mt19937_64 m_Random;
  Json m_Settings;
  std::map<std::string, Json> m_Vms;
  /// The VM list after each change, for the list's lag.
  std::map<MonotonicTime, Json> m_VmLists;
  std::uint64_t m_NextWatchId = 1;
  std::list<Watch> m_Watches;
  TaskTimer m_Timer;
  WeightStore m_Weights;
  HttpServer m_Server;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_PLATFORM_STANDIN_H
