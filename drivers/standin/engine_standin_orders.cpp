// The part of EngineStandin that executes orders, loads weights and checks the
// readiness of the group's other members.

#include "drivers/standin/engine_standin.h"

#include "fmt/format.h"

namespace fulmarwinch {

namespace {

/// Number of parts in which the weights are requested. An engine that is
/// stopped while loading requests no further part and so soon ceases to use the
/// bandwidth of the weight store.
constexpr int WeightPartCount = 20;
constexpr Duration WeightRetryDelay = std::chrono::milliseconds(200);
constexpr Duration WeightPartTimeout = std::chrono::minutes(10);
constexpr Duration MemberQueryTimeout = std::chrono::milliseconds(300);

} // namespace

bool EngineStandin::Assignment::operator==(const Assignment &Other) const {
  return m_Group == Other.m_Group && m_Generation == Other.m_Generation &&
         m_Model == Other.m_Model && m_Version == Other.m_Version &&
         m_Members == Other.m_Members && m_Rank == Other.m_Rank;
}

HttpResponse EngineStandin::handleOrder(const HttpRequest &Request) {
  const absl::StatusOr<Json> Order = parseJson(Request.m_Body, "the order");
  const std::string Kind =
      Order.ok() ? fieldOr(*Order, "order", std::string()) : std::string();
  const bool IsLoad =
      Kind == "load" && !fieldOr(*Order, "group", std::string()).empty();
  if (!IsLoad && Kind != "unload" && Kind != "role")
    return jsonResponse(400, R"({"accepted":false,"error":"unknown order"})");
  const std::uint64_t Fence = fieldOr(*Order, "fence", std::uint64_t{0});
  if (m_Options.m_ChecksFence && Fence < m_Fence)
    return jsonResponse(409,
                        Json{{"accepted", false}, {"fence", m_Fence}}.dump());
  m_Fence = std::max(m_Fence, Fence);
  applyOrder(Kind, *Order);
  return jsonResponse(200, Json{{"accepted", true}, {"fence", Fence}}.dump());
}

void EngineStandin::applyOrder(const std::string &Kind, const Json &Order) {
  if (Kind == "role") {
    m_IsDraining = fieldOr(Order, "role", std::string()) == "draining";
    return;
  }
  Assignment Ordered;
  if (Kind == "load") {
    Ordered.m_Group = fieldOr(Order, "group", std::string());
    Ordered.m_Generation = fieldOr(Order, "generation", std::uint64_t{0});
    Ordered.m_Model = fieldOr(Order, "model", std::string());
    Ordered.m_Version = fieldOr(Order, "version", std::string());
    Ordered.m_Members = fieldOr(Order, "members", std::vector<std::string>());
    Ordered.m_Rank = fieldOr(Order, "rank", std::size_t{0});
  }
  const bool IsAlreadyApplied =
      Ordered == m_Assignment && m_State != EngineState::Failed;
  if (IsAlreadyApplied)
    return;
  failAllSequences("the model was unloaded or replaced by an order",
                   "cut_by_order");
  ++m_Epoch;
  m_IsDraining = false;
  m_State = EngineState::Empty;
  m_Assignment = std::move(Ordered);
  m_MemberReadiness.clear();
  if (Kind == "load")
    startLoading();
}

void EngineStandin::startLoading() {
  m_State = EngineState::Loading;
  m_IsCold = true;
  m_CompletedSinceCold = 0;
  m_PrefixCache.clear();
  const std::uint64_t Epoch = ++m_Epoch;
  if (m_Options.m_Platform.empty())
    m_Timer.runAfter(std::chrono::milliseconds(m_Options.m_FixedLoadMs),
                     [this, Epoch] { finishLoading(Epoch); });
  else
    requestNextWeightPart(Epoch, WeightPartCount);
  if (m_Assignment.m_Rank == 0)
    m_Timer.runAfter(Duration::zero(), [this, Epoch] { checkMembers(Epoch); });
}

void EngineStandin::requestNextWeightPart(std::uint64_t Epoch,
                                          int RemainingParts) {
  HttpCall Call;
  Call.m_Method = "POST";
  Call.m_Url = fmt::format("http://{}/v1/weights/load", m_Options.m_Platform);
  Call.m_Body = Json{{"vm", m_Options.m_Vm},
                     {"bytes", m_Options.m_WeightBytes / WeightPartCount}}
                    .dump();
  Call.m_TotalTimeout = WeightPartTimeout;
  Call.m_OnDone = [this, Epoch, RemainingParts](const HttpCallResult &Result) {
    const bool IsLoaded = Result.m_Complete && Result.m_Status == 200;
    if (IsLoaded && RemainingParts == 1)
      return finishLoading(Epoch);
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (Epoch != m_Epoch)
      return;
    if (IsLoaded)
      return requestNextWeightPart(Epoch, RemainingParts - 1);
    m_Timer.runAfter(WeightRetryDelay, [this, Epoch, RemainingParts] {
      const std::lock_guard<std::mutex> RetryGuard(m_Mutex);
      if (Epoch == m_Epoch)
        requestNextWeightPart(Epoch, RemainingParts);
    });
  };
  m_Client.start(std::move(Call));
}

void EngineStandin::finishLoading(std::uint64_t Epoch) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (Epoch != m_Epoch)
    return;
  m_State = m_FailsNextLoad ? EngineState::Failed : EngineState::Ready;
  m_FailsNextLoad = false;
}

void EngineStandin::checkMembers(std::uint64_t Epoch) {
  const std::lock_guard<std::mutex> Guard(m_Mutex);
  if (Epoch != m_Epoch)
    return;
  for (std::size_t Rank = 1; Rank < m_Assignment.m_Members.size(); ++Rank)
    queryMember(Epoch, m_Assignment.m_Members[Rank]);
  m_Timer.runAfter(std::chrono::milliseconds(m_Options.m_MemberCheckIntervalMs),
                   [this, Epoch] { checkMembers(Epoch); });
}

void EngineStandin::queryMember(std::uint64_t Epoch,
                                const std::string &Address) {
  const auto Body = std::make_shared<std::string>();
  HttpCall Call;
  Call.m_Url = fmt::format("http://{}/v1/state", Address);
  Call.m_ConnectTimeout = MemberQueryTimeout;
  Call.m_TotalTimeout = MemberQueryTimeout;
  Call.m_OnData = [Body](std::string_view Data) { *Body += Data; };
  Call.m_OnDone = [this, Epoch, Address, Body](const HttpCallResult &Result) {
    const absl::StatusOr<Json> State = parseJson(*Body, "the member's state");
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (Epoch != m_Epoch)
      return;
    m_MemberReadiness[Address] =
        Result.m_Complete && State.ok() &&
        fieldOr(*State, "state", std::string()) == "ready" &&
        fieldOr(*State, "group", std::string()) == m_Assignment.m_Group &&
        fieldOr(*State, "generation", std::uint64_t{0}) ==
            m_Assignment.m_Generation;
  };
  m_Client.start(std::move(Call));
}

std::size_t EngineStandin::readyMemberCount() const {
  std::size_t ReadyMembers = m_State == EngineState::Ready ? 1 : 0;
  for (const auto &[Address, IsReady] : m_MemberReadiness)
    ReadyMembers += IsReady ? 1 : 0;
  return ReadyMembers;
}

bool EngineStandin::isGroupIncomplete() const {
  return readyMemberCount() < m_Assignment.m_Members.size();
}

} // namespace fulmarwinch
