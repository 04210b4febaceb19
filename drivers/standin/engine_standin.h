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

/// State of the model in an engine; Empty means that none is assigned.
enum class EngineState { Empty, Loading, Ready, Failed };

inline constexpr std::array<EnumName<EngineState>, 4> EngineStateNames{{
    {EngineState::Empty, "empty"},
    {EngineState::Loading, "loading"},
    {EngineState::Ready, "ready"},
    {EngineState::Failed, "failed"},
}};

/// Stand-in for the model engine on one VM of a group: executes orders, loads
/// weights, generates tokens in batch steps and simulates faults. See
/// docs/reference/standins.md.
class EngineStandin {
public:
  /// \p Timer and \p Client must remain usable until stop() has returned.
  EngineStandin(EngineOptions Options, TaskTimer &Timer, HttpClient &Client);
  ~EngineStandin();
  EngineStandin(const EngineStandin &) = delete;
  EngineStandin &operator=(const EngineStandin &) = delete;

  /// Simulates the start of the engine process: no model is loaded, and the
  /// start ID is new. Returns an error if the port cannot be bound.
  absl::Status start();

  /// Simulates the end of the engine process: open connections are aborted and
  /// the port refuses new ones. Counters are retained. Must not be called on a
  /// thread of this engine's server, which it joins.
  void stop();

  /// Changes options and injects faults; "kill" and "start" take effect before
  /// the call returns. Returns the error of a start that failed.
  absl::Status control(const Json &Settings);

  /// Returns the counters and the reported state.
  Json status();

private:
  using SequencePtr = std::unique_ptr<EngineSequence>;

  /// Model and group that the last load order assigned to this engine.
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
  HttpResponse handleStatusOrOrder(const HttpRequest &Request);
  void applyOrder(const std::string &Kind, const Json &Order);
  std::string refusalReason(const HttpRequest &Request) const;
  bool matchesGeneration(const std::string &RequestedGeneration) const;
  void applySettings(const Json &Settings);
  Json reportedState();
  std::string metrics();
  HttpHeaders loadHeaders();
  void refreshLoadReport();

  void resetProcessState();
  void startLoading();
  void requestNextWeightPart(std::uint64_t Epoch, int RemainingParts);
  void finishLoading(std::uint64_t Epoch);
  void checkMembers(std::uint64_t Epoch);
  void queryMember(std::uint64_t Epoch, const std::string &Address);
  std::size_t readyMemberCount() const;
  bool isGroupIncomplete() const;

  void scheduleBatchStep();
  void runBatchStep();
  void admitToBatch();
  void generateTokens();
  void completeSequence(EngineSequence &CompletedSequence);
  void failAllSequences(const std::string &ErrorMessage, const char *Counter);
  void crashFromColdOverload();
  void scheduleCrashAndRestart();
  void restartAfterCrash(std::uint64_t Epoch);

  TaskTimer &m_Timer;
  HttpClient &m_Client;
  /// Prevents start() and stop() from running at the same time.
  std::mutex m_StartStopMutex;
  std::mutex m_Mutex;
  EngineOptions m_Options;
  bool m_IsProcessRunning = false;
  /// Set once the port accepts connections. m_IsProcessRunning is set before,
  /// so that the first request is handled by a running engine.
  bool m_IsListening = false;
  std::string m_StartId;
  /// Incremented when pending loads and member checks become invalid: at each
  /// start, stop and new assignment. Callbacks of an earlier epoch do nothing.
  std::uint64_t m_Epoch = 0;
  EngineState m_State = EngineState::Empty;
  Assignment m_Assignment;
  /// Highest fencing token of the orders accepted since the engine was started.
  std::uint64_t m_Fence = 0;
  bool m_IsDraining = false;
  bool m_IsCold = true;
  /// Requests completed since the engine last became cold.
  std::uint64_t m_CompletedSinceCold = 0;
  std::uint64_t m_CompletedRequests = 0;
  bool m_IsStalled = false;
  bool m_FailsNextLoad = false;
  bool m_IsStepScheduled = false;
  /// Requests received during a stall, handled when it ends.
  std::vector<HttpExchangePtr> m_StalledExchanges;
  std::vector<SequencePtr> m_QueuedSequences;
  std::vector<SequencePtr> m_BatchSequences;
  /// Result of the last readiness check of each other member, by its address.
  std::map<std::string, bool> m_MemberReadiness;
  PrefixCache m_PrefixCache;
  MonotonicTime m_LoadReportedAt{};
  std::size_t m_ReportedRunning = 0;
  std::size_t m_ReportedWaiting = 0;
  std::map<std::string, std::uint64_t> m_Counters;
  std::map<std::string, std::uint64_t> m_ExecutionsByRequest;
  std::int64_t m_LastAcceptedUnixMs = 0;
  HttpServer m_Server;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_ENGINE_STANDIN_H
