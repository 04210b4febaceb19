#include "servers/retry/outcome.h"
#include "servers/retry/poison_detector.h"
#include "servers/retry/retry_budget.h"

#include "cppunit/extensions/HelperMacros.h"

namespace fulmarwinch {

using std::chrono::seconds;

/// Retry budget, outcome classification and poison detection.
class RetryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryTest);
  CPPUNIT_TEST(budgetBoundsRetriesInAnOutage);
  CPPUNIT_TEST(notRunNeedsProof);
  CPPUNIT_TEST(nonIdempotentIsNotRepeatedAfterUnknown);
  CPPUNIT_TEST(partlyDeliveredResponseIsOnlyResumed);
  CPPUNIT_TEST(guiltyRequestCostsAtMostThreeServers);
  CPPUNIT_TEST(crashesOfOneServerAreOneBlame);
  CPPUNIT_TEST(completionClearsAndGossipDoesNotBringBlameBack);
  CPPUNIT_TEST(oneSuspectAtATime);
  CPPUNIT_TEST(gossipUnitesBlameAndDoesNotProlongIt);
  CPPUNIT_TEST(remembersABoundedNumber);
  CPPUNIT_TEST_SUITE_END();

  static constexpr MonotonicTime Start{seconds(1000)};

  /// Guards against retries doubling the load when every attempt fails.
  void budgetBoundsRetriesInAnOutage() {
    RetryBudget Budget;
    for (int I = 0; I < 300; ++I)
      Budget.onSuccess();
    int Retries = 0;
    for (int I = 0; I < 1000; ++I)
      Retries += Budget.tryRetry(Start + std::chrono::milliseconds(I)) ? 1 : 0;
    CPPUNIT_ASSERT(Retries >= 35 && Retries <= 36);
    // The floor lets a deployment without successes leave a broken group.
    CPPUNIT_ASSERT(Budget.tryRetry(Start + seconds(3)));
  }

  /// Guards against a false "not run" after bytes left the node.
  void notRunNeedsProof() {
    CPPUNIT_ASSERT(classifyAttempt({0, 0, false, false}) == Outcome::NotRun);
    CPPUNIT_ASSERT(classifyAttempt({1, 0, false, false}) == Outcome::Unknown);
    CPPUNIT_ASSERT(classifyAttempt({9, 503, false, true}) == Outcome::Unknown);
    CPPUNIT_ASSERT(classifyAttempt({9, 503, true, true}) == Outcome::NotRun);
    CPPUNIT_ASSERT(classifyAttempt({9, 200, false, false}) == Outcome::Unknown);
    CPPUNIT_ASSERT(classifyAttempt({9, 200, false, true}) == Outcome::Ran);
    CPPUNIT_ASSERT(classifyAttempt({9, 404, false, true}) == Outcome::Ran);
  }

  /// Guards against a payout that is executed twice.
  void nonIdempotentIsNotRepeatedAfterUnknown() {
    RetryState State;
    State.m_Idempotent = false;
    CPPUNIT_ASSERT(chooseRetry(Outcome::Unknown, State) == RetryAction::Answer);
    CPPUNIT_ASSERT(chooseRetry(Outcome::NotRun, State) ==
                   RetryAction::RetryElsewhere);
    CPPUNIT_ASSERT(chooseRetry(Outcome::Ran, State) == RetryAction::Answer);
  }

  /// Guards against a client that sees the start of a response twice.
  void partlyDeliveredResponseIsOnlyResumed() {
    RetryState State;
    State.m_TokensDelivered = 3;
    State.m_ResponseStarted = true;
    CPPUNIT_ASSERT(chooseRetry(Outcome::Unknown, State) == RetryAction::Answer);
    State.m_Resumable = true;
    CPPUNIT_ASSERT(chooseRetry(Outcome::Unknown, State) ==
                   RetryAction::ResumeElsewhere);
  }

  /// Guards against one request that crashes server after server.
  void guiltyRequestCostsAtMostThreeServers() {
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

  /// Guards against blaming requests for a server that keeps crashing.
  void crashesOfOneServerAreOneBlame() {
    PoisonDetector Detector;
    for (int I = 0; I < 5; ++I) {
      Detector.onDispatch(7, "flapping");
      Detector.onServerCrash("flapping", Start);
    }
    CPPUNIT_ASSERT(Detector.verdict(7, Start) == PoisonVerdict::Run);
  }

  /// Guards against an innocent request staying a suspect, also through a
  /// peer that has not heard of the completion.
  void completionClearsAndGossipDoesNotBringBlameBack() {
    PoisonDetector Detector;
    blame(Detector, 7, {"a", "b"});
    const std::vector<PoisonRecord> Old = Detector.records(Start);
    CPPUNIT_ASSERT(Detector.verdict(7, Start) == PoisonVerdict::Isolate);
    CPPUNIT_ASSERT(Detector.beginIsolation(7, "c"));
    Detector.onDispatch(7, "c");
    Detector.onCompleted(7, "c", Start);
    CPPUNIT_ASSERT(Detector.verdict(7, Start) == PoisonVerdict::Run);
    Detector.merge(Old, Start);
    CPPUNIT_ASSERT(Detector.verdict(7, Start) == PoisonVerdict::Run);

    PoisonDetector Peer;
    blame(Peer, 7, {"a", "b"});
    Peer.merge(Detector.records(Start), Start);
    CPPUNIT_ASSERT(Peer.verdict(7, Start) == PoisonVerdict::Run);
  }

  /// Guards against two suspects sharing the isolation server, and against
  /// the place staying taken after an attempt that was cancelled.
  void oneSuspectAtATime() {
    PoisonDetector Detector;
    CPPUNIT_ASSERT(Detector.beginIsolation(7, "c"));
    Detector.onDispatch(7, "c");
    CPPUNIT_ASSERT(!Detector.beginIsolation(8, "c"));
    Detector.onEnded(7, "c");
    CPPUNIT_ASSERT(Detector.beginIsolation(8, "c"));
    Detector.cancelIsolation(8);
    CPPUNIT_ASSERT(Detector.beginIsolation(9, "c"));
  }

  /// Guards against a request that crashes one server per node, and against
  /// a record that two peers keep alive between them.
  void gossipUnitesBlameAndDoesNotProlongIt() {
    PoisonDetector A;
    PoisonDetector B;
    blame(A, 7, {"a"});
    blame(B, 7, {"b"});
    A.merge(B.records(Start), Start);
    CPPUNIT_ASSERT(A.verdict(7, Start) == PoisonVerdict::Isolate);
    for (int Second = 0; Second < 3601; ++Second) {
      const MonotonicTime Now = Start + seconds(Second);
      const std::vector<PoisonRecord> FromA = A.records(Now);
      B.merge(FromA, Now + std::chrono::milliseconds(200));
      A.merge(B.records(Now), Now + std::chrono::milliseconds(400));
    }
    CPPUNIT_ASSERT(A.verdict(7, Start + seconds(3602)) == PoisonVerdict::Run);
  }

  /// Guards against unbounded memory when many requests are in flight on
  /// servers that crash.
  void remembersABoundedNumber() {
    PoisonSettings Settings;
    Settings.m_MaxRecords = 10;
    PoisonDetector Detector(Settings);
    for (ContentHash Hash = 0; Hash < 100; ++Hash)
      Detector.onDispatch(Hash, "a");
    Detector.onServerCrash("a", Start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, Detector.records(Start).size());
  }

  static void blame(PoisonDetector &Detector, ContentHash Hash,
                    const std::vector<std::string> &Servers) {
    for (const std::string &Server : Servers) {
      Detector.onDispatch(Hash, Server);
      Detector.onServerCrash(Server, Start);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryTest);

} // namespace fulmarwinch
