#include "node/claim_service.h"

#include <utility>
#include <vector>

namespace fulmarwinch {

namespace {

constexpr const char *ClaimPrefix = "claims/";
/// Keys are listed in the order of their hours, so the first page holds the
/// expired ones. An hour has 64 buckets at most, so one page in ten minutes is
/// more than what expires.
constexpr std::size_t GarbagePage = 128;

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
  if (std::optional<ClaimResult> Early = waitOrTake(Id, OnResult))
    OnResult(std::move(*Early));
  carryOut(std::move(Effects));
}

std::optional<ClaimResult>
ClaimService::waitOrTake(ClaimId Id, const ResultCallback &OnResult) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  const auto Found = m_Early.find(Id);
  if (Found == m_Early.end()) {
    m_Waiting.emplace(Id, OnResult);
    return std::nullopt;
  }
  ClaimResult Early = std::move(Found->second);
  m_Early.erase(Found);
  return Early;
}

void ClaimService::recordDone(DispatchedClaim &&Claim, ClaimOutcome Outcome) {
  ClaimEffects Effects;
  m_Registry.recordDone(std::move(Claim), std::move(Outcome), monotonicNow(),
                        Effects);
  carryOut(std::move(Effects));
}

void ClaimService::recordUnknown(DispatchedClaim &&Claim) {
  ClaimEffects Effects;
  m_Registry.recordUnknown(std::move(Claim), monotonicNow(), Effects);
  carryOut(std::move(Effects));
}

void ClaimService::releaseUnsent(DispatchedClaim &&Claim) {
  ClaimEffects Effects;
  m_Registry.releaseUnsent(std::move(Claim), 0, monotonicNow(), Effects);
  carryOut(std::move(Effects));
}

void ClaimService::tick(MonotonicTime Now) {
  ClaimEffects Effects;
  m_Registry.tick(Now, Effects);
  carryOut(std::move(Effects));
}

void ClaimService::collectGarbage() {
  m_Store.list({ClaimPrefix, "", GarbagePage}, [this](const KeysListed &List) {
    if (List.m_Outcome != StoreOutcome::Applied)
      return;
    std::vector<ListedClaimBucket> Buckets;
    for (const StoreKey &Key : List.m_Keys)
      Buckets.push_back({Key.m_Key, Key.m_Version});
    ClaimEffects Effects;
    m_Registry.collectGarbage(Buckets, unixNow(), Effects);
    carryOut(std::move(Effects));
  });
}

void ClaimService::beginShutdown() {
  ClaimEffects Effects;
  m_Registry.beginShutdown(monotonicNow(), Effects);
  carryOut(std::move(Effects));
}

void ClaimService::dropWaiting() {
  std::map<ClaimId, ResultCallback> Dropped;
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  Dropped.swap(m_Waiting);
  m_Early.clear();
}

void ClaimService::carryOut(ClaimEffects Effects) {
  for (ClaimResult &Result : Effects.m_Results)
    deliver(std::move(Result));
  for (StoreAction &Action : Effects.m_Actions)
    m_Store.start(std::move(Action), [this](const StoreCompletion &Event) {
      ClaimEffects Next;
      if (const auto *Get = std::get_if<GetCompleted>(&Event))
        m_Registry.onGet(*Get, monotonicNow(), Next);
      else
        m_Registry.onPut(std::get<PutCompleted>(Event), monotonicNow(), Next);
      carryOut(std::move(Next));
    });
}

void ClaimService::deliver(ClaimResult Result) {
  ResultCallback OnResult;
  {
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    const auto Found = m_Waiting.find(Result.m_Id);
    if (Found == m_Waiting.end()) {
      m_Early.emplace(Result.m_Id, std::move(Result));
      return;
    }
    OnResult = std::move(Found->second);
    m_Waiting.erase(Found);
  }
  OnResult(std::move(Result));
}

} // namespace fulmarwinch
