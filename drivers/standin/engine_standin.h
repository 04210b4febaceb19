#ifndef FULMARWINCH_DRIVERS_STANDIN_ENGINE_STANDIN_H
#define FULMARWINCH_DRIVERS_STANDIN_ENGINE_STANDIN_H

#include "core/enum_names.h"
#include "drivers/http/http_client.h"
#include "drivers/http/http_server.h"
#include "drivers/standin/engine_options.h"
#include "drivers/standin/engine_sequence.h"
#include "drivers/standin/prefix_cache.h"
#include "drivers/standin/task_timer.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace fulmarwinch {

enum class EngineState { Empty, Loading, Ready, Failed };

inline constexpr std::array<EnumName<EngineState>, 4> EngineStateNames{{
    {EngineState::Empty, "empty"},
    {EngineState::Loading, "loading"},
    {EngineState::Ready, "ready"},
    {EngineState::Failed, "failed"},
}};

/// Stand-in for the model engine of one member VM. See
/// docs/reference/standins.md.
class EngineStandin {
public:
  /// \p Timer and \p Client must be usable until after stop().
  EngineStandin(EngineOptions Options, TaskTimer &Timer, HttpClient &Client);
  ~EngineStandin();
  EngineStandin(const EngineStandin &) = delete;
  EngineStandin &operator=(const EngineStandin &) = delete;

  /// Starts the engine process: empty, with a new start ID.
  absl::Status start();

  /// Ends the engine process: connections are cut and the port refuses
  /// further ones. Counters are kept. Not to be called from a thread of this
  /// engine's server.
  void stop();

  /// Changes options and sets faults; "kill" and "start" take effect before
  /// the call returns.
  absl::Status control(const Json &Settings);

  /// Returns the counters and the state.
  Json status();

private:
  using SequencePtr = std::unique_ptr<EngineSequence>;

  struct Assignment {
    std::string m_Group;
    std::uint64_t m_Generation = 0;
    std::string m_Model;
    std::string m_Version;
    std::vector<std::string> m_Members;
    std::size_t m_Rank = 0;

    bool operator==(const Assignment &Other) const;
  };

  void handle(const HttpExchangePtr &Exchange);
  void handleControl(const HttpExchangePtr &Exchange);
  void handleCompletion(const HttpExchangePtr &Exchange);
  void handleCancel(const HttpExchangePtr &Exchange);
  HttpResponse handleOrder(const HttpRequest &Request);
  HttpResponse handlePlain(const HttpRequest &Request);
  void obey(const std::string &Kind, const Json &Order);
  std::string refusal(const HttpRequest &Request) const;
  bool isOwnGeneration(const std::string &Wanted) const;
  void setFaults(const Json &Settings);
  Json state();
  std::string metrics();
  HttpHeaders loadHeaders();
  void refreshLoadReport();

  void reset();
  void beginLoading();
  void requestWeights(std::uint64_t Epoch, int PartsLeft);
  void endLoading(std::uint64_t Epoch);
  void checkMembers(std::uint64_t Epoch);
  void checkMember(std::uint64_t Epoch, const std::string &Address);
  std::size_t membersSeen() const;
  bool isIncomplete() const;

  void scheduleStep();
  void step();
  void admitWaiting();
  void produceTokens();
  void complete(EngineSequence &Done);
  void failAll(const std::string &Problem, const char *Counter);
  void fallOver();
  void scheduleCrash();
  void restart(std::uint64_t Epoch);

  TaskTimer &m_Timer;
  HttpClient &m_Client;
  /// Serialises start() and stop().
  std::mutex m_LifeMutex;
  std::mutex m_Mutex;
  EngineOptions m_Options;
  bool m_IsUp = false;
  /// Set after the port accepts connections, while m_IsUp is set before, so
  /// that the first request finds a running engine.
  bool m_IsListening = false;
  std::string m_StartId;
  /// Changes whenever pending loads and member checks become void.
  std::uint64_t m_Epoch = 0;
  EngineState m_State = EngineState::Empty;
  Assignment m_Assignment;
  std::uint64_t m_Fence = 0;
  bool m_IsDraining = false;
  bool m_IsCold = true;
  std::uint64_t m_CompletedSinceCold = 0;
  std::uint64_t m_Completed = 0;
  bool m_IsStalled = false;
  bool m_FailsNextLoad = false;
  bool m_IsStepScheduled = false;
  std::vector<HttpExchangePtr> m_Held;
  std::vector<SequencePtr> m_Waiting;
  std::vector<SequencePtr> m_Running;
  std::map<std::string, bool> m_MemberReady;
  PrefixCache m_Cache;
  MonotonicTime m_ReportedAt{};
  std::size_t m_ReportedRunning = 0;
  std::size_t m_ReportedWaiting = 0;
  std::map<std::string, std::uint64_t> m_Counters;
  std::map<std::string, std::uint64_t> m_Executions;
  std::int64_t m_LastAcceptedUnixMs = 0;
  HttpServer m_Server;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_ENGINE_STANDIN_H
