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

/// Connects the claim registry with the object store and with the requests
/// that wait for its results.
class ClaimService {
public:
  using ResultCallback = std::function<void(ClaimResult)>;

  /// \p Writer has to differ for every start of the process.
  ClaimService(const std::string &Writer, ObjectStore &Store,
               WriterLiveness IsAlive);

  /// Claims \p Key. \p OnResult is called once, on any thread.
  void claim(const IdempotencyKey &Key, std::string_view Organisation,
             std::string_view Body, ResultCallback OnResult);

  void recordDone(DispatchedClaim &&Claim, ClaimOutcome Outcome);
  void recordUnknown(DispatchedClaim &&Claim);
  void releaseUnsent(DispatchedClaim &&Claim);

  /// To be called every few milliseconds; sends batches that are due.
  void tick(MonotonicTime Now);
  /// Deletes bucket objects in which no key can be accepted any more. To be
  /// called on one node at a time, every ten minutes.
  void collectGarbage();
  void beginShutdown();
  /// Drops the requests that wait for a result.
  void dropWaiting();
  bool isDrained() const { return m_Registry.isDrained(); }

private:
  void carryOut(ClaimEffects Effects);
  void deliver(ClaimResult Result);
  /// Registers \p OnResult, or returns the result if it has arrived already.
  std::optional<ClaimResult> waitOrTake(ClaimId Id,
                                        const ResultCallback &OnResult);

  ObjectStore &m_Store;
  ClaimRegistry m_Registry;
  std::mutex m_Mutex;
  std::map<ClaimId, ResultCallback> m_Waiting;
  /// Results that another thread produced before the caller could register.
  std::map<ClaimId, ClaimResult> m_Early;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_CLAIM_SERVICE_H
