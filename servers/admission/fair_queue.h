#ifndef FULMARWINCH_SERVERS_ADMISSION_FAIR_QUEUE_H
#define FULMARWINCH_SERVERS_ADMISSION_FAIR_QUEUE_H

#include "core/enum_names.h"
#include "core/time.h"

#include "absl/status/status.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fulmarwinch {

/// Priority of a request within its organisation and when load is shed.
enum class Priority { Low, Normal, High };

inline constexpr std::array<EnumName<Priority>, 3> PriorityNames{{
    {Priority::Low, "low"},
    {Priority::Normal, "normal"},
    {Priority::High, "high"},
}};

/// A request that waits for a backend server.
struct QueuedRequest {
  /// Chosen by the caller.
  std::uint64_t m_Id = 0;
  std::string m_Organisation;
  Priority m_Priority = Priority::Normal;
  /// Expected work: prompt tokens plus tokens of the response.
  double m_CostTokens = 1;
  MonotonicTime m_EnqueuedAt{};
};

/// A request that is not run because of overload.
struct ShedRequest {
  std::uint64_t m_Id = 0;
  /// Kind Overloaded or LimitExceeded; the request was not run.
  absl::Status m_Status;
  Duration m_RetryAfter{0};
};

/// Limits of the fair queue.
struct FairQueueSettings {
  /// Most requests that wait in total.
  std::size_t m_Capacity = 1024;
  /// Most requests of one organisation that wait.
  std::size_t m_OrganisationCapacity = 512;
  /// Tokens that an organisation of weight 1 may send per round.
  double m_QuantumTokens = 512;
  Duration m_ShortestRetryAfter = std::chrono::milliseconds(100);
  Duration m_LongestRetryAfter = std::chrono::seconds(60);
};

/// Weighted fair queue over organisations: deficit round robin by cost in
/// tokens. Within an organisation the higher priority goes first, then the
/// older request. The caller serialises access.
class FairQueue {
public:
  explicit FairQueue(const FairQueueSettings &Settings = {});

  /// Organisations without a weight have weight 1.
  void setWeight(const std::string &Organisation, double Weight);

  /// Adds \p Request and returns the requests that have to be refused for it,
  /// which may include \p Request itself.
  std::vector<ShedRequest> enqueue(const QueuedRequest &Request);

  /// Returns the request that goes next, if any.
  std::optional<QueuedRequest> dequeue(MonotonicTime Now);

  /// Removes a request whose client is gone or whose deadline has passed.
  bool remove(std::uint64_t Id);

  std::size_t size() const { return m_Size; }
  std::size_t size(const std::string &Organisation) const;

private:
  struct OrganisationState {
    double m_Weight = 1;
    double m_Deficit = 0;
    double m_QueuedCost = 0;
    std::size_t m_Size = 0;
    std::array<std::deque<QueuedRequest>, PriorityNames.size()> m_Queues;
    const QueuedRequest &front() const;
    std::size_t lowestPriority() const;
  };

  ShedRequest shedNewest(OrganisationState &Organisation, bool OwnLimit);
  OrganisationState &chooseVictim();
  QueuedRequest popFront(OrganisationState &Organisation);
  double quantum(const OrganisationState &Organisation) const;
  void recordDrain(double CostTokens, MonotonicTime Now);
  void grantRounds();
  void finishTurn();
  Duration retryAfter(double CostAhead) const;

  FairQueueSettings m_Settings;
  std::size_t m_Size = 0;
  std::map<std::string, OrganisationState> m_Organisations;
  /// Organisations with waiting requests, in round-robin order.
  std::deque<std::string> m_Ring;
  /// The first organisation of the ring has got its quantum for this turn.
  bool m_TurnStarted = false;
  /// Tokens that left the queue lately and the time they took.
  double m_DrainedTokens = 0;
  double m_DrainSeconds = 0;
  std::optional<MonotonicTime> m_LastDequeue;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ADMISSION_FAIR_QUEUE_H
