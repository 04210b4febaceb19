#include "proxy/second_attempt_choice.h"
#include "core/text.h"

#include <algorithm>

namespace fulmarwinch {

namespace {

using std::chrono::milliseconds;

/// Mean first-event latency, relative to the objective, from which a model
/// counts as overloaded.
constexpr double OverloadLatency = 1.5;

std::int64_t inMs(Duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

void writeDecision(RequestRelayContext &Context, const LateRequest &Request,
                   SecondAttemptVerdict Verdict,
                   const std::optional<ChosenServer> &Chosen,
                   const LatencyKnowledge &Known, double RetriesLeft) {
  const std::string_view Name = nameOf(SecondAttemptVerdictNames, Verdict);
  if (!Chosen)
    Context.m_Metrics.increment(
        concat("second_attempts_withheld_total{reason=\"", Name, "\"}"));
  const WaitingAttempt &Attempt = Request.m_Attempt;
  Context.m_Log.write(
      "second_attempt",
      {{"id", Request.m_Id},
       {"verdict", Name},
       {"server", Chosen ? std::string_view(Chosen->m_Id) : ""},
       {"born", Chosen ? Chosen->m_StartedAtMs : 0},
       {"first_server", Request.m_Server},
       {"service", Attempt.m_Key.first},
       {"model", Attempt.m_Key.second},
       {"organisation", Request.m_Organisation},
       {"priority", std::int64_t{Request.m_Priority}},
       {"waited_ms", inMs(Attempt.m_Waited)},
       {"delay_ms", inMs(Known.m_Delay)},
       {"latencies", Known.m_Latencies},
       {"latency_age_ms",
        Known.m_Age == Duration::max() ? -1 : inMs(Known.m_Age)},
       {"budget", RetriesLeft}});
}

} // namespace

std::optional<ChosenServer> chooseSecondServer(RequestRelayContext &Context,
                                               WindowedRetryBudget &Budget,
                                               LateRequest Request) {
  SecondAttemptPolicy &Policy = Context.m_SecondAttempts;
  const MonotonicTime Now = Request.m_Query.m_Now;
  const LatencyKey &Key = Request.m_Attempt.m_Key;
  const LatencyKnowledge Known =
      Policy.knowledge(Key, Request.m_Attempt.m_LatencyObjective, Now);
  if (Request.m_IsNewlyLate)
    Policy.onLate(Key, Now);
  Request.m_Attempt.m_IsStopping = Context.m_PlannedStop.hasBegun();
  Request.m_Attempt.m_IsOverloaded = isOverloaded(Context, Request.m_Query);
  Request.m_Attempt.m_RetriesLeft = Budget.available(Now);
  SecondAttemptVerdict Verdict = Policy.decide(Request.m_Attempt, Now);
  std::optional<ChosenServer> Chosen;
  if (Verdict == SecondAttemptVerdict::Send) {
    std::uniform_real_distribution<double> Uniform(0.0, 1.0);
    Request.m_Query.m_RandomDraw = Uniform(Context.m_Random);
    Request.m_Query.m_MaxSlotUsage = Policy.settings().m_MaxSlotUsage;
    Chosen = Context.m_Selector.choose(Context.m_Fleet, Request.m_Query);
    if (!Chosen)
      Verdict = SecondAttemptVerdict::NoFreeServer;
  }
  if (Chosen) {
    Budget.tryAcquire(Now);
    Policy.onSecondAttempt(Key.first, Now);
  }
  if (Chosen || Request.m_IsNewlyLate)
    writeDecision(Context, Request, Verdict, Chosen, Known,
                  Budget.available(Now));
  return Chosen;
}

bool isOverloaded(const RequestRelayContext &Context,
                  const ServerQuery &Query) {
  if (!Query.m_Service->hasReplicaGroups())
    return false;
  if (Context.m_AdmissionShares.count(Query.m_Model) != 0)
    return true;
  const RelativeLatency Latency =
      Context.m_FirstEventLatency.total(Query.m_Model, Query.m_Now);
  if (Latency.m_Count >= 1.0 &&
      Latency.m_Sum > Latency.m_Count * OverloadLatency)
    return true;
  ServerQuery AllGroups = Query;
  AllGroups.m_TriedServers.clear();
  return Context.m_Selector.groupSupply(Context.m_Fleet, AllGroups)
             .m_MeanSlotUsage >=
         Context.m_SecondAttempts.settings().m_MaxMeanSlotUsage;
}

bool isSuspected(const RequestRelayContext &Context,
                 const std::vector<ContentHash> &Contents, MonotonicTime Now) {
  return std::any_of(
      Contents.begin(), Contents.end(), [&](ContentHash Content) {
        return Context.m_PoisonDetector.hasCrashes(Content, Now) ||
               Context.m_PoisonDetector.verdict(Content, Now) !=
                   PoisonVerdict::Run;
      });
}

} // namespace fulmarwinch
