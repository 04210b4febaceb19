#include "node/engine_client.h"

#include "core/json.h"

#include "fmt/format.h"

#include <memory>

namespace fulmarwinch {

namespace {

/// An engine that does not respond within this time counts as missing
/// (docs/design.md, section 4.3).
constexpr Duration PollTimeout = std::chrono::milliseconds(500);
constexpr Duration OrderTimeout = std::chrono::seconds(2);
constexpr int StatusOk = 200;
constexpr int StatusFenced = 409;

EngineStatus parseStatus(const std::string &Body) {
  EngineStatus Status;
  const Json Object = Json::parse(Body, nullptr, false);
  if (!Object.is_object())
    return Status;
  EngineReport &Report = Status.m_Report;
  Report.m_Reachable = true;
  Report.m_StartId = fieldOr<std::string>(Object, "start_id", "");
  Report.m_Group = fieldOr<std::string>(Object, "group", "");
  Report.m_Generation = fieldOr<std::uint64_t>(Object, "generation", 0);
  Report.m_State =
      valueOf(EngineStateNames, fieldOr<std::string>(Object, "state", ""))
          .value_or(EngineState::Failed);
  Report.m_RunningRequests = fieldOr<std::uint64_t>(Object, "running", 0);
  Report.m_QueuedRequests = fieldOr<std::uint64_t>(Object, "waiting", 0);
  Status.m_Capacity = fieldOr<std::uint64_t>(Object, "capacity", 1);
  Status.m_ColdCapacity = fieldOr<std::uint64_t>(Object, "cold_capacity", 1);
  Status.m_Completed = fieldOr<std::uint64_t>(Object, "completed", 0);
  Status.m_Cold = fieldOr<bool>(Object, "cold", true);
  return Status;
}

Json orderBody(const EngineOrder &Order,
               const std::map<std::string, std::string> &VmAddresses) {
  Json Members = Json::array();
  for (const std::string &Vm : Order.m_Members) {
    const auto Found = VmAddresses.find(Vm);
    Members.push_back(Found == VmAddresses.end() ? "" : Found->second);
  }
  return {{"fence", Order.m_FencingToken},
          {"order", nameOf(EngineOrderKindNames, Order.m_Kind)},
          {"role", "draining"},
          {"group", Order.m_Group},
          {"generation", Order.m_Generation},
          {"model", Order.m_Model},
          {"version", Order.m_Version},
          {"members", Members},
          {"rank", Order.m_Rank}};
}

OrderCompleted orderResult(const EngineOrder &Order,
                           const HttpCallResult &Result,
                           const std::string &Body) {
  OrderCompleted Completed;
  Completed.m_Vm = Order.m_Vm;
  Completed.m_Kind = Order.m_Kind;
  Completed.m_FencingToken = Order.m_FencingToken;
  if (Result.m_Complete && Result.m_Status == StatusOk)
    Completed.m_Outcome = OrderOutcome::Accepted;
  else if (Result.m_Complete && Result.m_Status == StatusFenced)
    Completed.m_Outcome = OrderOutcome::Refused;
  const Json Object = Json::parse(Body, nullptr, false);
  Completed.m_HighestFencingToken = fieldOr<std::uint64_t>(Object, "fence", 0);
  return Completed;
}

} // namespace

void EngineClient::poll(const std::string &Address,
                        std::function<void(const EngineStatus &)> OnDone) {
  const auto Body = std::make_shared<std::string>();
  const MonotonicTime SentAt = monotonicNow();
  HttpCall Call;
  Call.m_Url = fmt::format("http://{}/v1/state", Address);
  Call.m_ConnectTimeout = PollTimeout;
  Call.m_TotalTimeout = PollTimeout;
  Call.m_OnData = [Body](std::string_view Data) { *Body += Data; };
  Call.m_OnDone = [this, Body, SentAt,
                   OnDone = std::move(OnDone)](const HttpCallResult &Result) {
    EngineStatus Status;
    if (Result.m_Complete && Result.m_Status == StatusOk)
      Status = parseStatus(*Body);
    Status.m_Report.m_PolledAt = SentAt;
    m_ControlThread.post([OnDone, Status] { OnDone(Status); });
  };
  m_Client.start(std::move(Call));
}

void EngineClient::sendOrder(
    const EngineOrder &Order, const std::string &Address,
    const std::map<std::string, std::string> &VmAddresses,
    std::function<void(const OrderCompleted &)> OnDone) {
  const auto Body = std::make_shared<std::string>();
  HttpCall Call;
  Call.m_Method = "POST";
  Call.m_Url = fmt::format("http://{}/v1/orders", Address);
  Call.m_Headers = {{"Content-Type", "application/json"}};
  Call.m_Body = orderBody(Order, VmAddresses).dump();
  Call.m_TotalTimeout = OrderTimeout;
  // On a reused connection libcurl may resend the order without a new lease
  // check, possibly after the lease has expired.
  Call.m_UseNewConnection = true;
  Call.m_OnData = [Body](std::string_view Data) { *Body += Data; };
  Call.m_OnDone = [this, Order, Body,
                   OnDone = std::move(OnDone)](const HttpCallResult &Result) {
    const OrderCompleted Completed = orderResult(Order, Result, *Body);
    m_ControlThread.post([OnDone, Completed] { OnDone(Completed); });
  };
  m_Client.start(std::move(Call));
}

ServerReport toServerReport(const std::string &Server,
                            const EngineStatus &Status) {
  ServerReport Report;
  Report.m_Server = Server;
  Report.m_StartId = Status.m_Report.m_StartId;
  Report.m_Running = Status.m_Report.m_RunningRequests;
  Report.m_Waiting = Status.m_Report.m_QueuedRequests;
  Report.m_Completed = Status.m_Completed;
  Report.m_Cold = Status.m_Cold;
  Report.m_ColdCapacity = Status.m_ColdCapacity;
  Report.m_WarmCapacity = Status.m_Capacity;
  return Report;
}

} // namespace fulmarwinch
