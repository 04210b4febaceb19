#include "node/claim_service.h"

#include <utility>
#include <vector>

namespace fulmarwinch {

namespace {

constexpr const char *ClaimKeyPrefix = "claims/";
/// Maximum number of claim bucket objects listed per garbage collection. Their
/// names sort by hour, so the first page contains the expired ones. An hour has
/// at most 64 buckets, so one page every ten minutes exceeds the number that
/// expire.
constexpr std::size_t GarbagePageSize = 128;

} // namespace

ClaimService::ClaimService(const std::string &Writer, ObjectStore &Store,
                           WriterLiveness IsAlive)
    : m_Store(Store),
      m_Registry(Writer, ClaimLayout{}, ClaimSettings{}, std::move(IsAlive)) {}

void ClaimService::claim(const IdempotencyKey &Key,
                         std::string_view Organisation, std::string_view Body,
                         ResultCallback OnResult) {
  ClaimEffects Effects;
  const ClaimId Id = m_Registry.claim(Key, Organisation, Body, monotonicNow(),
                                      unixNow(), Effects);
  if (std::optional<ClaimResult> Early = registerOrTakeResult(Id, OnResult))
    OnResult(std::move(*Early));
  execute(std::move(Effects));
}

std::optional<ClaimResult>
ClaimService::registerOrTakeResult(ClaimId Id, const ResultCallback &OnResult) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  const auto Found = m_EarlyResults.find(Id);
  if (Found == m_EarlyResults.end()) {
    m_Callbacks.emplace(Id, OnResult);
    return std::nullopt;
  }
  ClaimResult Early = std::move(Found->second);
  m_EarlyResults.erase(Found);
  return Early;
}

void ClaimService::recordDone(DispatchedClaim &&Claim, ClaimOutcome Outcome) {
  ClaimEffects Effects;
  m_Registry.recordDone(std::move(Claim), std::move(Outcome), monotonicNow(),
                        Effects);
  execute(std::move(Effects));
}

void ClaimService::recordUnknown(DispatchedClaim &&Claim) {
  ClaimEffects Effects;
  m_Registry.recordUnknown(std::move(Claim), monotonicNow(), Effects);
  execute(std::move(Effects));
}

void ClaimService::releaseUnsent(DispatchedClaim &&Claim) {
  ClaimEffects Effects;
  m_Registry.releaseIfUnsent(std::move(Claim), 0, monotonicNow(), Effects);
  execute(std::move(Effects));
}

void ClaimService::tick(MonotonicTime Now) {
  ClaimEffects Effects;
  m_Registry.tick(Now, Effects);
  execute(std::move(Effects));
}

void ClaimService::collectGarbage() {
  m_Store.list({ClaimKeyPrefix, "", GarbagePageSize},
               [this](const KeysListed &List) {
                 if (List.m_Outcome != StoreOutcome::Succeeded)
                   return;
                 std::vector<ListedClaimBucket> Buckets;
                 for (const StoreKey &Key : List.m_Keys)
                   Buckets.push_back({Key.m_Key, Key.m_Version});
                 ClaimEffects Effects;
                 m_Registry.deleteExpiredBuckets(Buckets, unixNow(), Effects);
                 execute(std::move(Effects));
               });
}

void ClaimService::beginShutdown() {
  ClaimEffects Effects;
  m_Registry.beginShutdown(monotonicNow(), Effects);
  execute(std::move(Effects));
}

void ClaimService::discardWaitingCallbacks() {
  std::map<ClaimId, ResultCallback> Discarded;
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  Discarded.swap(m_Callbacks);
  m_EarlyResults.clear();
}

void ClaimService::execute(ClaimEffects Effects) {
  for (ClaimResult &Result : Effects.m_Results)
    deliverResult(std::move(Result));
  for (StoreAction &Action : Effects.m_Actions)
    m_Store.start(std::move(Action), [this](const StoreCompletion &Event) {
      ClaimEffects NextEffects;
      if (const auto *Get = std::get_if<GetCompleted>(&Event))
        m_Registry.onGet(*Get, monotonicNow(), NextEffects);
      else
        m_Registry.onPut(std::get<WriteCompleted>(Event), monotonicNow(),
                         NextEffects);
      execute(std::move(NextEffects));
    });
}

void ClaimService::deliverResult(ClaimResult Result) {
  ResultCallback OnResult;
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    const auto Found = m_Callbacks.find(Result.m_Id);
    if (Found == m_Callbacks.end()) {
      m_EarlyResults.emplace(Result.m_Id, std::move(Result));
      return;
    }
    OnResult = std::move(Found->second);
    m_Callbacks.erase(Found);
  }
  OnResult(std::move(Result));
}

} // namespace fulmarwinch
