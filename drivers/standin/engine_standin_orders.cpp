// Orders, loading and the check of the group's members.

#include "drivers/standin/engine_standin.h"

#include "fmt/format.h"

namespace fulmarwinch {

namespace {

/// The weights are requested in parts, so that an engine that ends while it
/// loads soon stops to use the weight store's rate.
constexpr int WeightParts = 20;
constexpr Duration WeightRetryDelay = std::chrono::milliseconds(200);
constexpr Duration WeightTimeout = std::chrono::minutes(10);
constexpr Duration MemberTimeout = std::chrono::milliseconds(300);

} // namespace

bool EngineStandin::Assignment::operator==(const Assignment &Other) const {
  return m_Group == Other.m_Group && m_Generation == Other.m_Generation &&
         m_Model == Other.m_Model && m_Version == Other.m_Version &&
         m_Members == Other.m_Members && m_Rank == Other.m_Rank;
}

HttpResponse EngineStandin::handleOrder(const HttpRequest &Request) {
  const absl::StatusOr<Json> Order = parseJson(Request.m_Body, "the order");
  const std::string Kind =
      Order.ok() ? memberOr(*Order, "order", std::string()) : std::string();
  const bool IsLoad =
      Kind == "load" && !memberOr(*Order, "group", std::string()).empty();
  if (!IsLoad && Kind != "unload" && Kind != "role")
    return jsonResponse(400, R"({"accepted":false,"error":"unknown order"})");
  const std::uint64_t Fence = memberOr(*Order, "fence", std::uint64_t{0});
  if (m_Options.m_ChecksFence && Fence < m_Fence)
    return jsonResponse(409,
                        Json{{"accepted", false}, {"fence", m_Fence}}.dump());
  m_Fence = std::max(m_Fence, Fence);
  obey(Kind, *Order);
  return jsonResponse(200, Json{{"accepted", true}, {"fence", Fence}}.dump());
}

void EngineStandin::obey(const std::string &Kind, const Json &Order) {
  if (Kind == "role") {
    m_IsDraining = memberOr(Order, "role", std::string()) == "draining";
    return;
  }
  Assignment Wanted;
  if (Kind == "load") {
    Wanted.m_Group = memberOr(Order, "group", std::string());
    Wanted.m_Generation = memberOr(Order, "generation", std::uint64_t{0});
    Wanted.m_Model = memberOr(Order, "model", std::string());
    Wanted.m_Version = memberOr(Order, "version", std::string());
    Wanted.m_Members = memberOr(Order, "members", std::vector<std::string>());
    Wanted.m_Rank = memberOr(Order, "rank", std::size_t{0});
  }
  const bool IsDone = Wanted == m_Assignment && m_State != EngineState::Failed;
  if (IsDone)
    return;
  failAll("unloaded by an order", "cut_by_order");
  ++m_Epoch;
  m_IsDraining = false;
  m_State = EngineState::Empty;
  m_Assignment = std::move(Wanted);
  m_MemberReady.clear();
  if (Kind == "load")
    beginLoading();
}

void EngineStandin::beginLoading() {
  m_State = EngineState::Loading;
  m_IsCold = true;
  m_CompletedSinceCold = 0;
  m_Cache.clear();
  const std::uint64_t Epoch = ++m_Epoch;
  if (m_Options.m_Platform.empty())
    m_Timer.after(std::chrono::milliseconds(m_Options.m_LoadMs),
                  [this, Epoch] { endLoading(Epoch); });
  else
    requestWeights(Epoch, WeightParts);
  if (m_Assignment.m_Rank == 0)
    m_Timer.after(Duration::zero(), [this, Epoch] { checkMembers(Epoch); });
}

void EngineStandin::requestWeights(std::uint64_t Epoch, int PartsLeft) {
  HttpCall Call;
  Call.m_Method = "POST";
  Call.m_Url = fmt::format("http://{}/v1/weights/load", m_Options.m_Platform);
  Call.m_Body = Json{{"vm", m_Options.m_Vm},
                     {"bytes", m_Options.m_WeightBytes / WeightParts}}
                    .dump();
  Call.m_TotalTimeout = WeightTimeout;
  Call.m_OnDone = [this, Epoch, PartsLeft](const HttpCallResult &Result) {
    const bool IsLoaded = Result.m_Complete && Result.m_Status == 200;
    if (IsLoaded && PartsLeft == 1)
      return endLoading(Epoch);
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (Epoch != m_Epoch)
      return;
    if (IsLoaded)
      return requestWeights(Epoch, PartsLeft - 1);
    m_Timer.after(WeightRetryDelay, [this, Epoch, PartsLeft] {
      const std::lock_guard<std::mutex> RetryGuard(m_Mutex);
      if (Epoch == m_Epoch)
        requestWeights(Epoch, PartsLeft);
    });
  };
  m_Client.start(std::move(Call));
}

void EngineStandin::endLoading(std::uint64_t Epoch) {
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
    checkMember(Epoch, m_Assignment.m_Members[Rank]);
  m_Timer.after(std::chrono::milliseconds(m_Options.m_MemberCheckMs),
                [this, Epoch] { checkMembers(Epoch); });
}

void EngineStandin::checkMember(std::uint64_t Epoch,
                                const std::string &Address) {
  const auto Body = std::make_shared<std::string>();
  HttpCall Call;
  Call.m_Url = fmt::format("http://{}/v1/state", Address);
  Call.m_ConnectTimeout = MemberTimeout;
  Call.m_TotalTimeout = MemberTimeout;
  Call.m_OnData = [Body](std::string_view Data) { *Body += Data; };
  Call.m_OnDone = [this, Epoch, Address, Body](const HttpCallResult &Result) {
    const absl::StatusOr<Json> State = parseJson(*Body, "the member's state");
    const std::lock_guard<std::mutex> Guard(m_Mutex);
    if (Epoch != m_Epoch)
      return;
    m_MemberReady[Address] =
        Result.m_Complete && State.ok() &&
        memberOr(*State, "state", std::string()) == "ready" &&
        memberOr(*State, "group", std::string()) == m_Assignment.m_Group &&
        memberOr(*State, "generation", std::uint64_t{0}) ==
            m_Assignment.m_Generation;
  };
  m_Client.start(std::move(Call));
}

std::size_t EngineStandin::membersSeen() const {
  std::size_t Seen = m_State == EngineState::Ready ? 1 : 0;
  for (const auto &[Address, IsReady] : m_MemberReady)
    Seen += IsReady ? 1 : 0;
  return Seen;
}

bool EngineStandin::isIncomplete() const {
  return membersSeen() < m_Assignment.m_Members.size();
}

} // namespace fulmarwinch
