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

constexpr UnixSeconds Start = 1767225600;
constexpr std::size_t NodeCount = 4;

/// Runs several registries over one store fake and one service fake that
/// counts executions. All faults are drawn from the seed.
class ClaimWorld {
public:
  explicit ClaimWorld(std::uint64_t Seed) : m_Random(Seed) {
    for (std::size_t Index = 0; Index < NodeCount; ++Index)
      restart(Index);
  }

  void run(int Steps) {
    for (int Step = 0; Step < Steps; ++Step) {
      if (chance(30))
        newRequest();
      if (chance(20) && !m_Requests.empty())
        attempt(pick(m_Requests.size()), pick(NodeCount));
      if (chance(2))
        restart(pick(NodeCount));
      if (chance(1))
        m_IsOutage = !m_IsOutage;
      advance();
    }
    m_IsOutage = false;
    m_IsCalm = true;
    for (int Step = 0; Step < 3000; ++Step)
      advance();
    for (Node &Each : m_Nodes)
      check(Each.m_Registry->isDrained(), "a registry is not drained");
    checkRecorded();
  }

  std::map<std::string, int> m_Kinds;
  std::size_t m_Executed = 0;

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

  bool chance(int Percent) { return pick(100) < std::size_t(Percent); }
  std::size_t pick(std::size_t Bound) { return m_Random() % Bound; }
  void check(bool IsTrue, const std::string &Text) {
    CPPUNIT_ASSERT_MESSAGE(Text, IsTrue);
  }
  void after(int Milliseconds, Task Work) {
    m_Tasks.emplace(m_Now + std::chrono::milliseconds(Milliseconds),
                    std::move(Work));
  }

  void restart(std::size_t Index) {
    Node &Each = m_Nodes[Index];
    ++Each.m_Incarnation;
    Each.m_Attempts.clear();
    ClaimSettings Settings;
    Settings.m_ClaimTimeout = std::chrono::milliseconds(200);
    Settings.m_IdleTime = std::chrono::milliseconds(300);
    Each.m_Registry = std::make_unique<ClaimRegistry>(
        fmt::format("node-{}#{}", Index, Each.m_Incarnation),
        ClaimLayout{3600, 2}, Settings, [this](const std::string &Writer) {
          for (std::size_t Other = 0; Other < NodeCount; ++Other)
            if (Writer ==
                fmt::format("node-{}#{}", Other, m_Nodes[Other].m_Incarnation))
              return true;
          return false;
        });
  }

  void newRequest() {
    // Keys carry the callers' clocks, which differ within the bound.
    const UnixSeconds Skew = UnixSeconds(pick(401)) - 200;
    m_Requests.push_back(
        {fmt::format("{}-request-{}", Start + Skew, m_Requests.size()),
         fmt::format("body {}", m_Requests.size())});
    attempt(m_Requests.size() - 1, pick(NodeCount));
  }

  void attempt(std::size_t RequestIndex, std::size_t NodeIndex) {
    const Request &Sent = m_Requests[RequestIndex];
    Node &Each = m_Nodes[NodeIndex];
    Attempt Started{RequestIndex, Sent.m_Body, Start};
    if (chance(10))
      Started.m_Body += " changed";
    // Node clocks differ by up to 90 s.
    Started.m_WallTime += UnixSeconds(NodeIndex) * 30;
    const auto Key = IdempotencyKey::parse(Sent.m_Key);
    check(Key.ok(), "a valid key was refused");
    ClaimEffects Effects;
    const ClaimId Id =
        Each.m_Registry->claim(*Key, "cooperative", Started.m_Body, m_Now,
                               Started.m_WallTime, Effects);
    Each.m_Attempts[Id] = Started;
    apply(NodeIndex, Effects);
    if (chance(5)) {
      ClaimEffects Cancelled;
      Each.m_Registry->cancel(Id, *Key, "cooperative", m_Now, Cancelled);
      // A cancelled attempt was refused: a later result fails the run.
      Each.m_Attempts.erase(Id);
      apply(NodeIndex, Cancelled);
    }
  }

  void advance() {
    m_Now += std::chrono::milliseconds(1);
    while (!m_Tasks.empty() && m_Tasks.begin()->first <= m_Now) {
      const Task Work = std::move(m_Tasks.begin()->second);
      m_Tasks.erase(m_Tasks.begin());
      Work();
    }
    for (std::size_t Index = 0; Index < NodeCount; ++Index) {
      ClaimEffects Effects;
      m_Nodes[Index].m_Registry->tick(m_Now, Effects);
      apply(Index, Effects);
    }
  }

  /// Carries out the effects, unless the node crashes first.
  void apply(std::size_t Index, ClaimEffects &Effects) {
    for (const StoreAction &Action : Effects.m_Actions) {
      if (const auto *Get = std::get_if<GetObject>(&Action))
        read(Index, *Get);
      if (const auto *Put = std::get_if<PutObject>(&Action))
        write(Index, *Put);
    }
    const int Incarnation = m_Nodes[Index].m_Incarnation;
    for (ClaimResult &Result : Effects.m_Results)
      if (m_Nodes[Index].m_Incarnation == Incarnation)
        takeResult(Index, Result);
  }

  void read(std::size_t Index, const GetObject &Get) {
    const int Incarnation = m_Nodes[Index].m_Incarnation;
    const int Delay = m_IsCalm ? 1 : int(1 + pick(20));
    after(Delay, [=] {
      GetCompleted Event{Get.m_Id, StoreOutcome::NotFound, 0, ""};
      const auto Entry = m_Objects.find(Get.m_Key);
      if (m_IsOutage || (!m_IsCalm && chance(5)))
        Event.m_Outcome = StoreOutcome::Unavailable;
      else if (Entry != m_Objects.end())
        Event = {Get.m_Id, StoreOutcome::Applied, Entry->second.m_Version,
                 Entry->second.m_Value};
      after(Delay, [=] {
        if (m_Nodes[Index].m_Incarnation != Incarnation)
          return;
        ClaimEffects Effects;
        m_Nodes[Index].m_Registry->onGet(Event, m_Now, Effects);
        apply(Index, Effects);
      });
    });
  }

  StoreOutcome commit(const PutObject &Put, ObjectVersion &Version) {
    Object &Stored = m_Objects[Put.m_Key];
    Version = Stored.m_Version;
    if (Stored.m_Version != Put.m_ExpectedVersion)
      return StoreOutcome::Conflict;
    checkHistory(Stored.m_Value, Put.m_Value);
    Stored = {Stored.m_Version + 1, Put.m_Value};
    Version = Stored.m_Version;
    return StoreOutcome::Applied;
  }

  void write(std::size_t Index, const PutObject &Put) {
    const int Incarnation = m_Nodes[Index].m_Incarnation;
    const int Delay = m_IsCalm ? 1 : int(1 + pick(20));
    after(Delay, [=] {
      PutCompleted Event{Put.m_Id, StoreOutcome::Unknown, 0};
      ObjectVersion Ignored = 0;
      const std::size_t Fault = m_IsCalm ? 100 : pick(100);
      if (m_IsOutage || Fault < 5)
        Event.m_Outcome = StoreOutcome::Unavailable;
      else if (Fault < 10) // The request was lost.
        Event.m_Outcome = StoreOutcome::Unknown;
      else if (Fault < 18) // The answer was lost.
        commit(Put, Ignored);
      else if (Fault < 26) // It takes effect long after the answer.
        after(int(1 + pick(400)), [=] {
          ObjectVersion Late = 0;
          commit(Put, Late);
        });
      else
        Event.m_Outcome = commit(Put, Event.m_Version);
      after(Delay, [=] {
        if (m_Nodes[Index].m_Incarnation != Incarnation)
          return;
        ClaimEffects Effects;
        m_Nodes[Index].m_Registry->onPut(Event, m_Now, Effects);
        apply(Index, Effects);
      });
    });
  }

  /// A recorded outcome never changes and no record disappears.
  void checkHistory(const std::string &Before, const std::string &After) {
    const auto Next = ClaimBucket::decode(After);
    check(Next.ok() && After.size() <= ClaimSettings().m_MaxObjectBytes,
          "an object is not readable");
    if (Before.empty())
      return;
    const auto Previous = ClaimBucket::decode(Before);
    for (const Request &Sent : m_Requests) {
      const ClaimHash Key = hashKey("cooperative", Sent.m_Key);
      const ClaimRecord *Old = Previous->find(Key);
      const ClaimRecord *New = Next->find(Key);
      if (!Old)
        continue;
      check(New && New->m_Body == Old->m_Body, "a record was lost or altered");
      if (Old->m_State == ClaimState::Done)
        check(New->m_State == ClaimState::Done &&
                  New->m_Outcome.m_Body == Old->m_Outcome.m_Body,
              "a recorded outcome changed");
    }
  }

  /// Every outcome that a node still running was told is stored.
  void checkRecorded() {
    const ClaimLayout Layout{3600, 2};
    for (const auto &[Key, Holder] : m_Recorded) {
      if (m_Nodes[Holder.first].m_Incarnation != Holder.second)
        continue;
      const ClaimHash Hash = hashKey("cooperative", Key);
      const UnixSeconds Time = IdempotencyKey::parse(Key)->time();
      const auto Bucket =
          ClaimBucket::decode(m_Objects[Layout.bucketKey(Time, Hash)].m_Value);
      check(Bucket.ok() && Bucket->find(Hash)->m_State == ClaimState::Done,
            "an outcome was never stored");
    }
  }

  void takeResult(std::size_t Index, ClaimResult &Result) {
    Node &Each = m_Nodes[Index];
    const auto Entry = Each.m_Attempts.find(Result.m_Id);
    check(Entry != Each.m_Attempts.end(), "an attempt was answered twice");
    const Attempt Answered = Entry->second;
    Each.m_Attempts.erase(Entry);
    ++m_Kinds[std::string(nameOf(ClaimResultKindNames, Result.m_Kind))];
    const std::string &Key = m_Requests[Answered.m_Request].m_Key;
    if (Result.m_Kind == ClaimResultKind::AlreadyDone) {
      const auto Known = m_Responses.find(Key);
      check(Known != m_Responses.end() &&
                Known->second == Result.m_Outcome->m_Body,
            "another outcome than that of the execution was returned");
      check(m_Executions[Key].m_Body == Answered.m_Body,
            "an outcome was returned for another body");
    }
    if (Result.m_Kind == ClaimResultKind::Granted)
      dispatch(Index, Answered, std::move(*Result.m_Token));
  }

  void dispatch(std::size_t Index, const Attempt &Run, DispatchToken Token) {
    const std::string Key = m_Requests[Run.m_Request].m_Key;
    ClaimEffects Effects;
    if (chance(10)) {
      m_Nodes[Index].m_Registry->release(std::move(Token), m_Now, Effects);
      apply(Index, Effects);
      return;
    }
    if (!m_IsCalm && chance(3)) { // Crash before the dispatch.
      restart(Index);
      return;
    }
    std::optional<DispatchedClaim> Claim = Token.consume();
    check(Claim.has_value() && !Token.consume(), "a token was used twice");
    // The service executes at once, which is the worst case.
    Execution &Done = m_Executions[Key];
    check(++Done.m_Count == 1, "a request was executed twice: " + Key);
    Done.m_Body = Run.m_Body;
    ++m_Executed;
    const std::string Response = fmt::format("receipt {}", m_Executed);
    m_Responses[Key] = Response;
    const int Incarnation = m_Nodes[Index].m_Incarnation;
    const auto Shared = std::make_shared<DispatchedClaim>(std::move(*Claim));
    const bool IsLost = chance(10);
    after(int(1 + pick(60)), [=] {
      if (m_Nodes[Index].m_Incarnation != Incarnation)
        return;
      ClaimEffects Recorded;
      ClaimRegistry &Registry = *m_Nodes[Index].m_Registry;
      if (IsLost)
        Registry.releaseUnsent(std::move(*Shared), 1, m_Now, Recorded);
      else {
        m_Recorded[Key] = {Index, Incarnation};
        Registry.recordDone(std::move(*Shared), {200, Response, true}, m_Now,
                            Recorded);
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
  /// Node and incarnation that were told the outcome of a key.
  std::map<std::string, std::pair<std::size_t, int>> m_Recorded;
  bool m_IsOutage = false;
  bool m_IsCalm = false;
};

} // namespace

/// Guards against a second execution, an untrue refusal and a changed outcome
/// under crashes, lost answers and outages.
class ClaimsRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimsRandomTest);
  CPPUNIT_TEST(holdsUnderFaults);
  CPPUNIT_TEST_SUITE_END();

  void holdsUnderFaults() {
    const char *Given = std::getenv("FULMARWINCH_SEED");
    const std::uint64_t First = Given ? std::strtoull(Given, nullptr, 10) : 1;
    const std::uint64_t Count = Given ? 1 : 20;
    for (std::uint64_t Seed = First; Seed < First + Count; ++Seed) {
      std::cout << fmt::format("claims seed {} (replay: FULMARWINCH_SEED={})",
                               Seed, Seed)
                << std::flush;
      ClaimWorld World(Seed);
      World.run(600);
      std::cout << fmt::format(": executed {}", World.m_Executed);
      for (const auto &[Kind, Number] : World.m_Kinds)
        std::cout << fmt::format(" {} {}", Kind, Number);
      std::cout << std::endl;
      // The run would prove nothing if every attempt were refused.
      CPPUNIT_ASSERT(World.m_Executed > 20);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimsRandomTest);

} // namespace fulmarwinch
