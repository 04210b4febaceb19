#include "servers/idempotency/claim_registry.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fulmarwinch {

namespace {

constexpr UnixSeconds StartTime = 1767225600;
constexpr std::size_t NodeCount = 4;

/// Simulates several nodes, each with a ClaimRegistry, over one fake object
/// store and one fake service that counts executions. The seed determines all
/// faults.
class ClaimSimulation {
public:
  explicit ClaimSimulation(std::uint64_t Seed) : m_Random(Seed) {
    for (std::size_t Index = 0; Index < NodeCount; ++Index)
      restartNode(Index);
  }

  void run(int Steps) {
    for (int Step = 0; Step < Steps; ++Step) {
      if (hasChance(30))
        sendNewRequest();
      if (hasChance(20) && !m_Requests.empty())
        startAttempt(randomBelow(m_Requests.size()), randomBelow(NodeCount));
      if (hasChance(2))
        restartNode(randomBelow(NodeCount));
      if (hasChance(1))
        m_IsOutage = !m_IsOutage;
      advance();
    }
    m_IsOutage = false;
    m_AreFaultsDisabled = true;
    for (int Step = 0; Step < 3000; ++Step)
      advance();
    for (Node &SelectedNode : m_Nodes)
      check(SelectedNode.m_Registry->isDrained(), "a registry is not drained");
    checkOutcomesStored();
  }

  std::map<std::string, int> m_ResultCounts;
  std::size_t m_ExecutedCount = 0;

private:
  struct Request {
    std::string m_Key;
    std::string m_Body;
  };
  struct Attempt {
    std::size_t m_Request = 0;
    std::string m_Body;
    UnixSeconds m_WallTime = 0;
  };
  struct Node {
    std::unique_ptr<ClaimRegistry> m_Registry;
    int m_Incarnation = 0;
    std::map<ClaimId, Attempt> m_Attempts;
  };
  struct Object {
    ObjectVersion m_Version = 0;
    std::string m_Value;
  };
  using Task = std::function<void()>;

  bool hasChance(int Percent) {
    return randomBelow(100) < std::size_t(Percent);
  }
  std::size_t randomBelow(std::size_t Bound) { return m_Random() % Bound; }
  void check(bool IsTrue, const std::string &Text) {
    CPPUNIT_ASSERT_MESSAGE(Text, IsTrue);
  }
  void runAfter(int Milliseconds, Task NextTask) {
    m_Tasks.emplace(m_Now + std::chrono::milliseconds(Milliseconds),
                    std::move(NextTask));
  }

  void restartNode(std::size_t Index) {
    Node &SelectedNode = m_Nodes[Index];
    ++SelectedNode.m_Incarnation;
    SelectedNode.m_Attempts.clear();
    ClaimSettings Settings;
    Settings.m_ClaimTimeout = std::chrono::milliseconds(200);
    Settings.m_IdleTimeout = std::chrono::milliseconds(300);
    SelectedNode.m_Registry = std::make_unique<ClaimRegistry>(
        fmt::format("node-{}#{}", Index, SelectedNode.m_Incarnation),
        ClaimLayout{3600, 2}, Settings, [this](const std::string &Writer) {
          for (std::size_t Other = 0; Other < NodeCount; ++Other)
            if (Writer ==
                fmt::format("node-{}#{}", Other, m_Nodes[Other].m_Incarnation))
              return true;
          return false;
        });
  }

  void sendNewRequest() {
    // The time in a key is from the caller's clock, which differs from the node
    // clocks by less than the accepted skew.
    const UnixSeconds Skew = UnixSeconds(randomBelow(401)) - 200;
    m_Requests.push_back(
        {fmt::format("{}-request-{}", StartTime + Skew, m_Requests.size()),
         fmt::format("body {}", m_Requests.size())});
    startAttempt(m_Requests.size() - 1, randomBelow(NodeCount));
  }

  void startAttempt(std::size_t RequestIndex, std::size_t NodeIndex) {
    const Request &SentRequest = m_Requests[RequestIndex];
    Node &SelectedNode = m_Nodes[NodeIndex];
    Attempt NewAttempt{RequestIndex, SentRequest.m_Body, StartTime};
    if (hasChance(10))
      NewAttempt.m_Body += " changed";
    // Node clocks differ by up to 90 s.
    NewAttempt.m_WallTime += UnixSeconds(NodeIndex) * 30;
    const auto Key = IdempotencyKey::parse(SentRequest.m_Key);
    check(Key.ok(), "a valid key was refused");
    ClaimEffects Effects;
    const ClaimId Id =
        SelectedNode.m_Registry->claim(*Key, "cooperative", NewAttempt.m_Body,
                                       m_Now, NewAttempt.m_WallTime, Effects);
    SelectedNode.m_Attempts[Id] = NewAttempt;
    apply(NodeIndex, Effects);
    if (hasChance(5)) {
      ClaimEffects Cancelled;
      SelectedNode.m_Registry->cancel(Id, *Key, "cooperative", m_Now,
                                      Cancelled);
      // A cancelled attempt gets no result: if one arrives later, the check in
      // handleResult() fails.
      SelectedNode.m_Attempts.erase(Id);
      apply(NodeIndex, Cancelled);
    }
  }

  void advance() {
    m_Now += std::chrono::milliseconds(1);
    while (!m_Tasks.empty() && m_Tasks.begin()->first <= m_Now) {
      const Task NextTask = std::move(m_Tasks.begin()->second);
      m_Tasks.erase(m_Tasks.begin());
      NextTask();
    }
    for (std::size_t Index = 0; Index < NodeCount; ++Index) {
      ClaimEffects Effects;
      m_Nodes[Index].m_Registry->tick(m_Now, Effects);
      apply(Index, Effects);
    }
  }

  /// Starts the store calls in \p Effects and handles the results. Skips the
  /// remaining results if the node crashes meanwhile.
  void apply(std::size_t Index, ClaimEffects &Effects) {
    for (const StoreAction &Action : Effects.m_Actions) {
      if (const auto *Get = std::get_if<GetObject>(&Action))
        startGet(Index, *Get);
      if (const auto *Put = std::get_if<PutObject>(&Action))
        startPut(Index, *Put);
    }
    const int Incarnation = m_Nodes[Index].m_Incarnation;
    for (ClaimResult &Result : Effects.m_Results)
      if (m_Nodes[Index].m_Incarnation == Incarnation)
        handleResult(Index, Result);
  }

  void startGet(std::size_t Index, const GetObject &Get) {
    const int Incarnation = m_Nodes[Index].m_Incarnation;
    const int Delay = m_AreFaultsDisabled ? 1 : int(1 + randomBelow(20));
    runAfter(Delay, [=] {
      GetCompleted Event{Get.m_Id, StoreOutcome::NotFound, 0, ""};
      const auto Entry = m_Objects.find(Get.m_Key);
      if (m_IsOutage || (!m_AreFaultsDisabled && hasChance(5)))
        Event.m_Outcome = StoreOutcome::Unavailable;
      else if (Entry != m_Objects.end())
        Event = {Get.m_Id, StoreOutcome::Succeeded, Entry->second.m_Version,
                 Entry->second.m_Value};
      runAfter(Delay, [=] {
        if (m_Nodes[Index].m_Incarnation != Incarnation)
          return;
        ClaimEffects Effects;
        m_Nodes[Index].m_Registry->onGet(Event, m_Now, Effects);
        apply(Index, Effects);
      });
    });
  }

  StoreOutcome applyPut(const PutObject &Put, ObjectVersion &Version) {
    Object &Stored = m_Objects[Put.m_Key];
    Version = Stored.m_Version;
    if (Stored.m_Version != Put.m_ExpectedVersion)
      return StoreOutcome::Conflict;
    checkOutcomesUnchanged(Stored.m_Value, Put.m_Value);
    Stored = {Stored.m_Version.next(), Put.m_Value};
    Version = Stored.m_Version;
    return StoreOutcome::Succeeded;
  }

  void startPut(std::size_t Index, const PutObject &Put) {
    const int Incarnation = m_Nodes[Index].m_Incarnation;
    const int Delay = m_AreFaultsDisabled ? 1 : int(1 + randomBelow(20));
    runAfter(Delay, [=] {
      WriteCompleted Event{Put.m_Id, StoreOutcome::Unknown, 0};
      ObjectVersion Ignored = 0;
      const std::size_t Fault = m_AreFaultsDisabled ? 100 : randomBelow(100);
      if (m_IsOutage || Fault < 5)
        Event.m_Outcome = StoreOutcome::Unavailable;
      else if (Fault < 10) // The request is lost.
        Event.m_Outcome = StoreOutcome::Unknown;
      else if (Fault < 18) // Only the answer is lost.
        applyPut(Put, Ignored);
      else if (Fault < 26) // The update is applied long after the answer.
        runAfter(int(1 + randomBelow(400)), [=] {
          ObjectVersion Late = 0;
          applyPut(Put, Late);
        });
      else
        Event.m_Outcome = applyPut(Put, Event.m_Version);
      runAfter(Delay, [=] {
        if (m_Nodes[Index].m_Incarnation != Incarnation)
          return;
        ClaimEffects Effects;
        m_Nodes[Index].m_Registry->onPut(Event, m_Now, Effects);
        apply(Index, Effects);
      });
    });
  }

  /// Checks that an update of a bucket removes no record and changes no
  /// recorded outcome.
  void checkOutcomesUnchanged(const std::string &Before,
                              const std::string &After) {
    const auto Next = ClaimBucket::decode(After);
    check(Next.ok() && After.size() <= ClaimSettings().m_MaxObjectBytes,
          "an object is not readable");
    if (Before.empty())
      return;
    const auto Previous = ClaimBucket::decode(Before);
    for (const Request &SentRequest : m_Requests) {
      const ClaimHash Key = hashKey("cooperative", SentRequest.m_Key);
      const ClaimRecord *Old = Previous->find(Key);
      const ClaimRecord *New = Next->find(Key);
      if (!Old)
        continue;
      check(New && New->m_BodyHash == Old->m_BodyHash,
            "a record was lost or altered");
      if (Old->m_State == ClaimState::Done)
        check(New->m_State == ClaimState::Done &&
                  New->m_Outcome.m_Body == Old->m_Outcome.m_Body,
              "a recorded outcome changed");
    }
  }

  /// Checks that the store has every outcome that was recorded at a node which
  /// has not crashed since.
  void checkOutcomesStored() {
    const ClaimLayout Layout{3600, 2};
    for (const auto &[Key, Recorder] : m_OutcomeRecorders) {
      if (m_Nodes[Recorder.first].m_Incarnation != Recorder.second)
        continue;
      const ClaimHash Hash = hashKey("cooperative", Key);
      const UnixSeconds Time = IdempotencyKey::parse(Key)->time();
      const auto Bucket =
          ClaimBucket::decode(m_Objects[Layout.bucketKey(Time, Hash)].m_Value);
      check(Bucket.ok() && Bucket->find(Hash)->m_State == ClaimState::Done,
            "an outcome was never stored");
    }
  }

  void handleResult(std::size_t Index, ClaimResult &Result) {
    Node &SelectedNode = m_Nodes[Index];
    const auto Entry = SelectedNode.m_Attempts.find(Result.m_Id);
    check(Entry != SelectedNode.m_Attempts.end(),
          "an attempt was answered twice");
    const Attempt Answered = Entry->second;
    SelectedNode.m_Attempts.erase(Entry);
    ++m_ResultCounts[std::string(nameOf(ClaimResultKindNames, Result.m_Kind))];
    const std::string &Key = m_Requests[Answered.m_Request].m_Key;
    if (Result.m_Kind == ClaimResultKind::AlreadyDone) {
      const auto KnownResponse = m_Responses.find(Key);
      check(KnownResponse != m_Responses.end() &&
                KnownResponse->second == Result.m_Outcome->m_Body,
            "another outcome than that of the execution was returned");
      check(m_Executions[Key].m_Body == Answered.m_Body,
            "an outcome was returned for another body");
    }
    if (Result.m_Kind == ClaimResultKind::Granted)
      dispatch(Index, Answered, std::move(*Result.m_Token));
  }

  void dispatch(std::size_t Index, const Attempt &DispatchedAttempt,
                DispatchToken Token) {
    const std::string Key = m_Requests[DispatchedAttempt.m_Request].m_Key;
    ClaimEffects Effects;
    if (hasChance(10)) {
      m_Nodes[Index].m_Registry->release(std::move(Token), m_Now, Effects);
      apply(Index, Effects);
      return;
    }
    if (!m_AreFaultsDisabled && hasChance(3)) { // Crash before the dispatch.
      restartNode(Index);
      return;
    }
    std::optional<DispatchedClaim> Claim = Token.consume();
    check(Claim.has_value() && !Token.consume(), "a token was used twice");
    // The service executes the request at once, before any later fault, which
    // is the worst case.
    Execution &Executed = m_Executions[Key];
    check(++Executed.m_Count == 1, "a request was executed twice: " + Key);
    Executed.m_Body = DispatchedAttempt.m_Body;
    ++m_ExecutedCount;
    const std::string Response = fmt::format("receipt {}", m_ExecutedCount);
    m_Responses[Key] = Response;
    const int Incarnation = m_Nodes[Index].m_Incarnation;
    const auto SharedClaim =
        std::make_shared<DispatchedClaim>(std::move(*Claim));
    const bool IsLost = hasChance(10);
    runAfter(int(1 + randomBelow(60)), [=] {
      if (m_Nodes[Index].m_Incarnation != Incarnation)
        return;
      ClaimEffects Recorded;
      ClaimRegistry &Registry = *m_Nodes[Index].m_Registry;
      if (IsLost)
        Registry.releaseIfUnsent(std::move(*SharedClaim), 1, m_Now, Recorded);
      else {
        m_OutcomeRecorders[Key] = {Index, Incarnation};
        Registry.recordDone(std::move(*SharedClaim), {200, Response, true},
                            m_Now, Recorded);
      }
      apply(Index, Recorded);
    });
  }

  struct Execution {
    int m_Count = 0;
    std::string m_Body;
  };

  std::mt19937_64 m_Random;
  MonotonicTime m_Now;
  std::array<Node, NodeCount> m_Nodes;
  std::vector<Request> m_Requests;
  std::map<std::string, Object> m_Objects;
  std::multimap<MonotonicTime, Task> m_Tasks;
  std::map<std::string, Execution> m_Executions;
  std::map<std::string, std::string> m_Responses;
  /// Node and incarnation at which the outcome of a key was recorded.
  std::map<std::string, std::pair<std::size_t, int>> m_OutcomeRecorders;
  bool m_IsOutage = false;
  bool m_AreFaultsDisabled = false;
};

} // namespace

/// Guards against a second execution, a refusal of a request that was executed
/// and a changed outcome, all under crashes, lost answers and store outages.
class RandomisedClaimsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RandomisedClaimsTest);
  CPPUNIT_TEST(guaranteesHoldUnderRandomFaults);
  CPPUNIT_TEST_SUITE_END();

  void guaranteesHoldUnderRandomFaults() {
    const char *SeedText = std::getenv("FULMARWINCH_SEED");
    const std::uint64_t First =
        SeedText ? std::strtoull(SeedText, nullptr, 10) : 1;
    const std::uint64_t Count = SeedText ? 1 : 20;
    for (std::uint64_t Seed = First; Seed < First + Count; ++Seed) {
      std::cout << fmt::format("claims seed {} (replay: FULMARWINCH_SEED={})",
                               Seed, Seed)
                << std::flush;
      ClaimSimulation Simulation(Seed);
      Simulation.run(600);
      std::cout << fmt::format(": executed {}", Simulation.m_ExecutedCount);
      for (const auto &[Kind, Number] : Simulation.m_ResultCounts)
        std::cout << fmt::format(" {} {}", Kind, Number);
      std::cout << std::endl;
      // A run in which nearly all attempts were refused would test nothing.
      CPPUNIT_ASSERT(Simulation.m_ExecutedCount > 20);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RandomisedClaimsTest);

} // namespace fulmarwinch
