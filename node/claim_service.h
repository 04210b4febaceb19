#ifndef FULMARWINCH_NODE_CLAIM_SERVICE_H
#define FULMARWINCH_NODE_CLAIM_SERVICE_H

#include "core/object_store.h"
#include "servers/idempotency/claim_registry.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace fulmarwinch {

/// Executes the store operations of the claim registry and passes each claim
/// result to the request that waits for it.
class ClaimService {
public:
  using ResultCallback = std::function<void(ClaimResult)>;

  /// \p Writer must be unique for each start of the process. \p IsAlive tells
  /// whether the process with a writer ID may still be running.
  ClaimService(const std::string &Writer, ObjectStore &Store,
               WriterLiveness IsAlive);

  /// Claims \p Key for a request of \p Organisation with the content \p Body.
  /// \p OnResult is called once, on any thread.
  void claim(const IdempotencyKey &Key, std::string_view Organisation,
             std::string_view Body, ResultCallback OnResult);

  /// Records the response of a request that ran.
  void recordDone(DispatchedClaim &&Claim, ClaimOutcome Outcome);
  /// Records that the request may have run.
  void recordUnknown(DispatchedClaim &&Claim);
  /// Releases the claim of a request of which no byte was sent.
  void releaseUnsent(DispatchedClaim &&Claim);

  /// Writes the claim batches that are due. Must be called every few
  /// milliseconds.
  void tick(MonotonicTime Now);
  /// Deletes the bucket objects whose idempotency keys have all expired. Must
  /// be called every ten minutes, on one node at a time.
  void collectGarbage();
  /// Refuses new claims and writes the pending claim records without delay.
  void beginShutdown();
  /// Discards the callbacks of the requests that wait for a result.
  void discardWaitingCallbacks();
  /// Returns true once every outcome is stored.
  bool isDrained() const { return m_Registry.isDrained(); }

private:
  void execute(ClaimEffects Effects);
  void deliverResult(ClaimResult Result);
  /// Registers \p OnResult for claim \p Id. If the result has already arrived,
  /// returns it instead.
  std::optional<ClaimResult>
  registerOrTakeResult(ClaimId Id, const ResultCallback &OnResult);

  ObjectStore &m_Store;
  ClaimRegistry m_Registry;
  std::mutex m_Mutex;
  std::map<ClaimId, ResultCallback> m_Callbacks;
  /// Results that arrived on another thread before claim() registered the
  /// callback.
  std::map<ClaimId, ClaimResult> m_EarlyResults;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_CLAIM_SERVICE_H
