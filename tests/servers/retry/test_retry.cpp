#include "servers/retry/outcome.h"
#include "servers/retry/poison_detector.h"
#include "servers/retry/retry_budget.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::seconds;

/// Retry budget, outcome classification and poison detection.
class RetryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryTest);
  CPPUNIT_TEST(budgetLimitsRetriesDuringAnOutage);
  CPPUNIT_TEST(notRunRequiresProof);
  CPPUNIT_TEST(refusalWithoutReportIsNoAnswer);
  CPPUNIT_TEST(nonIdempotentRequestIsNotRetriedAfterUnknownOutcome);
  CPPUNIT_TEST(partlyDeliveredResponseIsOnlyResumedNotRestarted);
  CPPUNIT_TEST(poisonRequestCrashesAtMostThreeServers);
  CPPUNIT_TEST(repeatedCrashesOfOneServerCountOnce);
  CPPUNIT_TEST(completionClearsSuspicionAndGossipDoesNotRestoreIt);
  CPPUNIT_TEST(oneSuspectRunsInIsolationAtATime);
  CPPUNIT_TEST(gossipMergesCrashRecordsWithoutExtendingTheirLifetime);
  CPPUNIT_TEST(numberOfRecordsIsBounded);
  CPPUNIT_TEST_SUITE_END();

  static constexpr MonotonicTime Start{seconds(1000)};

  /// Guards against retries that double the load while every attempt fails.
  void budgetLimitsRetriesDuringAnOutage() {
    RetryBudget Budget;
    for (int I = 0; I < 300; ++I)
      Budget.onSuccess();
    int Retries = 0;
    for (int I = 0; I < 1000; ++I)
      Retries +=
          Budget.tryAcquire(Start + std::chrono::milliseconds(I)) ? 1 : 0;
    CPPUNIT_ASSERT(Retries >= 35 && Retries <= 36);
    // The minimum rate allows a retry although no request has succeeded.
    CPPUNIT_ASSERT(Budget.tryAcquire(Start + seconds(3)));
  }

  /// Guards against reporting "not run" without proof after bytes were sent.
  void notRunRequiresProof() {
    CPPUNIT_ASSERT(classifyAttempt({0, 0, false, false}) == Outcome::NotRun);
    CPPUNIT_ASSERT(classifyAttempt({1, 0, false, false}) == Outcome::Unknown);
    CPPUNIT_ASSERT(classifyAttempt({9, 503, false, true}) == Outcome::Unknown);
    CPPUNIT_ASSERT(classifyAttempt({9, 503, true, true}) == Outcome::NotRun);
    CPPUNIT_ASSERT(classifyAttempt({9, 200, false, false}) == Outcome::Unknown);
    CPPUNIT_ASSERT(classifyAttempt({9, 200, false, true}) == Outcome::Ran);
    CPPUNIT_ASSERT(classifyAttempt({9, 404, false, true}) == Outcome::Ran);
  }

  /// Guards against a status that tells the client "not run" although the
  /// server has not reported it.
  void refusalWithoutReportIsNoAnswer() {
    for (const int Status : {408, 421, 429, 503}) {
      CPPUNIT_ASSERT(judgeResponse(Status, false) ==
                     ResponseVerdict::UnprovenRefusal);
      CPPUNIT_ASSERT(judgeResponse(Status, true) == ResponseVerdict::NotRun);
      CPPUNIT_ASSERT(classifyAttempt({9, Status, false, true}) ==
                     Outcome::Unknown);
      CPPUNIT_ASSERT(classifyAttempt({9, Status, true, true}) ==
                     Outcome::NotRun);
    }
    for (const int Status : {200, 204, 304, 400, 404, 409, 413})
      CPPUNIT_ASSERT(judgeResponse(Status, false) == ResponseVerdict::Answer);
    for (const int Status : {500, 502, 504, 599})
      CPPUNIT_ASSERT(judgeResponse(Status, false) ==
                     ResponseVerdict::ServerError);
    CPPUNIT_ASSERT(judgeResponse(400, true) == ResponseVerdict::NotRun);
  }

  /// Guards against a payout that is executed twice.
  void nonIdempotentRequestIsNotRetriedAfterUnknownOutcome() {
    RetryState State;
    State.m_Idempotent = false;
    CPPUNIT_ASSERT(chooseRetry(Outcome::Unknown, State) ==
                   RetryAction::ReturnOutcome);
    CPPUNIT_ASSERT(chooseRetry(Outcome::NotRun, State) ==
                   RetryAction::RetryElsewhere);
    CPPUNIT_ASSERT(chooseRetry(Outcome::Ran, State) ==
                   RetryAction::ReturnOutcome);
  }

  /// Guards against a client that receives the start of a response twice.
  void partlyDeliveredResponseIsOnlyResumedNotRestarted() {
    RetryState State;
    State.m_DeliveredTokens = 3;
    State.m_ResponseStarted = true;
    CPPUNIT_ASSERT(chooseRetry(Outcome::Unknown, State) ==
                   RetryAction::ReturnOutcome);
    State.m_Resumable = true;
    CPPUNIT_ASSERT(chooseRetry(Outcome::Unknown, State) ==
                   RetryAction::ResumeElsewhere);
  }

  /// Guards against one request that crashes an unlimited number of servers.
  void poisonRequestCrashesAtMostThreeServers() {
    PoisonDetector Detector;
    int Crashed = 0;
    for (int Attempt = 0; Attempt < 10; ++Attempt) {
      const std::string Server = "s" + std::to_string(Attempt);
      const PoisonVerdict Verdict = Detector.verdict(7, Start);
      if (Verdict == PoisonVerdict::Refuse)
        continue;
      if (Verdict == PoisonVerdict::Isolate)
        CPPUNIT_ASSERT(Detector.beginIsolation(7, Server));
      Detector.onDispatch(7, Server);
      Detector.onServerCrash(Server, Start);
      ++Crashed;
    }
    CPPUNIT_ASSERT_EQUAL(3, Crashed);
    CPPUNIT_ASSERT(Detector.verdict(7, Start + seconds(3599)) ==
                   PoisonVerdict::Refuse);
    CPPUNIT_ASSERT(Detector.verdict(7, Start + seconds(3601)) ==
                   PoisonVerdict::Run);
  }

  /// Guards against suspecting a request because a single server crashes
  /// repeatedly.
  void repeatedCrashesOfOneServerCountOnce() {
    PoisonDetector Detector;
    for (int I = 0; I < 5; ++I) {
      Detector.onDispatch(7, "flapping");
      Detector.onServerCrash("flapping", Start);
    }
    CPPUNIT_ASSERT(Detector.verdict(7, Start) == PoisonVerdict::Run);
  }

  /// Guards against a request that remains a suspect after it completed, also
  /// because of a peer that has not yet received the cleared record.
  void completionClearsSuspicionAndGossipDoesNotRestoreIt() {
    PoisonDetector Detector;
    recordCrashes(Detector, 7, {"a", "b"});
    const std::vector<PoisonRecord> RecordsBeforeCompletion =
        Detector.records(Start);
    CPPUNIT_ASSERT(Detector.verdict(7, Start) == PoisonVerdict::Isolate);
    CPPUNIT_ASSERT(Detector.beginIsolation(7, "c"));
    Detector.onDispatch(7, "c");
    Detector.onCompleted(7, "c", Start);
    CPPUNIT_ASSERT(Detector.verdict(7, Start) == PoisonVerdict::Run);
    Detector.merge(RecordsBeforeCompletion, Start);
    CPPUNIT_ASSERT(Detector.verdict(7, Start) == PoisonVerdict::Run);

    PoisonDetector Peer;
    recordCrashes(Peer, 7, {"a", "b"});
    Peer.merge(Detector.records(Start), Start);
    CPPUNIT_ASSERT(Peer.verdict(7, Start) == PoisonVerdict::Run);
  }

  /// Guards against two suspects that run in isolation at the same time, and
  /// against an isolation slot that is not released after a cancelled attempt.
  void oneSuspectRunsInIsolationAtATime() {
    PoisonDetector Detector;
    CPPUNIT_ASSERT(Detector.beginIsolation(7, "c"));
    Detector.onDispatch(7, "c");
    CPPUNIT_ASSERT(!Detector.beginIsolation(8, "c"));
    Detector.onInconclusiveEnd(7, "c");
    CPPUNIT_ASSERT(Detector.beginIsolation(8, "c"));
    Detector.cancelIsolation(8);
    CPPUNIT_ASSERT(Detector.beginIsolation(9, "c"));
  }

  /// Guards against a request that crashes one server through each node without
  /// becoming a suspect, and against a record that never expires because two
  /// peers exchange it.
  void gossipMergesCrashRecordsWithoutExtendingTheirLifetime() {
    PoisonDetector FirstNode;
    PoisonDetector SecondNode;
    recordCrashes(FirstNode, 7, {"a"});
    recordCrashes(SecondNode, 7, {"b"});
    FirstNode.merge(SecondNode.records(Start), Start);
    CPPUNIT_ASSERT(FirstNode.verdict(7, Start) == PoisonVerdict::Isolate);
    for (int Second = 0; Second < 3601; ++Second) {
      const MonotonicTime Now = Start + seconds(Second);
      const std::vector<PoisonRecord> RecordsOfFirstNode =
          FirstNode.records(Now);
      SecondNode.merge(RecordsOfFirstNode,
                       Now + std::chrono::milliseconds(200));
      FirstNode.merge(SecondNode.records(Now),
                      Now + std::chrono::milliseconds(400));
    }
    CPPUNIT_ASSERT(FirstNode.verdict(7, Start + seconds(3602)) ==
                   PoisonVerdict::Run);
  }

  /// Guards against unbounded memory use when a server crashes with many
  /// requests in flight.
  void numberOfRecordsIsBounded() {
    PoisonSettings Settings;
    Settings.m_MaxRecords = 10;
    PoisonDetector Detector(Settings);
    for (ContentHash Hash = 0; Hash < 100; ++Hash)
      Detector.onDispatch(Hash, "a");
    Detector.onServerCrash("a", Start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, Detector.records(Start).size());
  }

  /// Records a crash of each server in \p Servers with the request in flight.
  static void recordCrashes(PoisonDetector &Detector, ContentHash Hash,
                            const std::vector<std::string> &Servers) {
    for (const std::string &Server : Servers) {
      Detector.onDispatch(Hash, Server);
      Detector.onServerCrash(Server, Start);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryTest);

} // namespace fulmarwinch
