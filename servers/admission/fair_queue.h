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

/// Priority of a request. It orders the requests of one organisation and the
/// shedding of load.
enum class Priority { Low, Normal, High };

inline constexpr std::array<EnumName<Priority>, 3> PriorityNames{{
    {Priority::Low, "low"},
    {Priority::Normal, "normal"},
    {Priority::High, "high"},
}};

/// A request that is queued until a backend server has capacity.
struct QueuedRequest {
  /// Chosen by the caller; must be unique in the queue.
  std::uint64_t m_Id = 0;
  std::string m_Organisation;
  Priority m_Priority = Priority::Normal;
  /// Expected work: prompt tokens plus response tokens.
  double m_CostTokens = 1;
  MonotonicTime m_EnqueuedAt{};
};

/// A request that was removed from the queue because of overload or because
/// its organisation has too many queued requests.
struct ShedRequest {
  std::uint64_t m_Id = 0;
  /// Error for the client, of kind Overloaded or LimitExceeded. The request was
  /// not run.
  absl::Status m_Status;
  /// Time after which the client should retry.
  Duration m_RetryAfter{0};
};

/// Settings of the fair queue.
struct FairQueueSettings {
  /// Maximum queue depth over all organisations.
  std::size_t m_Capacity = 1024;
  /// Maximum queue depth of one organisation.
  std::size_t m_CapacityPerOrganisation = 512;
  /// Tokens that an organisation of weight 1 may dequeue per round.
  double m_QuantumTokens = 512;
  Duration m_MinRetryAfter = std::chrono::milliseconds(100);
  Duration m_MaxRetryAfter = std::chrono::seconds(60);
};

/// Weighted fair queue over organisations: deficit round robin by cost in
/// tokens. The requests of one organisation are ordered by priority, then by
/// age. Not safe for concurrent use.
class FairQueue {
public:
  explicit FairQueue(const FairQueueSettings &Settings = {});

  /// Sets the weight of an organisation. The default is 1, the minimum 0.01.
  void setWeight(const std::string &Organisation, double Weight);

  /// Adds \p Request and returns the requests that are shed because a limit is
  /// exceeded. These may include \p Request itself.
  std::vector<ShedRequest> enqueue(const QueuedRequest &Request);

  /// Removes and returns the next request; nothing if the queue is empty.
  std::optional<QueuedRequest> dequeue(MonotonicTime Now);

  /// Removes a request whose client has disconnected or whose deadline has
  /// passed. Returns false if it is not queued.
  bool remove(std::uint64_t Id);

  std::size_t size() const { return m_Size; }
  std::size_t size(const std::string &Organisation) const;

private:
  struct OrganisationState {
    double m_Weight = 1;
    /// Tokens that the organisation may still dequeue in its turn.
    double m_Deficit = 0;
    double m_QueuedCost = 0;
    std::size_t m_Size = 0;
    std::array<std::deque<QueuedRequest>, PriorityNames.size()> m_Queues;
    const QueuedRequest &nextRequest() const;
    /// Returns the index of the lowest priority that has queued requests.
    std::size_t lowestPriority() const;
  };

  /// Sheds the newest request of the lowest priority.
  ShedRequest shedNewest(OrganisationState &Organisation,
                         bool IsOrganisationLimit);
  OrganisationState &chooseOrganisationToShed();
  QueuedRequest popNextRequest(OrganisationState &Organisation);
  double quantum(const OrganisationState &Organisation) const;
  void recordDequeue(double CostTokens, MonotonicTime Now);
  void skipEmptyRounds();
  void finishTurn();
  /// Returns the expected time to dequeue requests that cost \p CostAhead
  /// tokens at the current throughput, clamped to the limits of the settings.
  Duration retryAfter(double CostAhead) const;

  FairQueueSettings m_Settings;
  std::size_t m_Size = 0;
  std::map<std::string, OrganisationState> m_Organisations;
  /// Organisations with queued requests, in round-robin order.
  std::deque<std::string> m_ActiveOrganisations;
  /// The quantum of this turn was added to the deficit of the first active
  /// organisation.
  bool m_QuantumAdded = false;
  /// Recently dequeued tokens and the time between their dequeues, both
  /// decayed. Their ratio is the throughput.
  double m_DequeuedTokens = 0;
  double m_DequeueSeconds = 0;
  std::optional<MonotonicTime> m_LastDequeue;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ADMISSION_FAIR_QUEUE_H
