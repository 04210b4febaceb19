#include "drivers/platform/http_object_store.h"
#include "core/log.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusGone = 410;
/// Statuses by which the platform says that it did not carry out a call: the
/// request was not accepted, it was over the rate or size limit, or there is
/// an outage. Any other error leaves a write in doubt.
constexpr std::array<int, 7> NotCarriedOut{400, 401, 403, 405, 413, 429, 503};

bool isSuccess(const HttpCallResult &Result) {
  return Result.m_Complete && Result.m_Status == StatusOk;
}

bool isNotCarriedOut(int Status) {
  return std::find(NotCarriedOut.begin(), NotCarriedOut.end(), Status) !=
         NotCarriedOut.end();
}

StoreOutcome writeOutcome(const HttpCallResult &Result, ObjectVersion Version) {
  if (!Result.m_Complete)
    return Result.m_NothingSent ? StoreOutcome::Unavailable
                                : StoreOutcome::Unknown;
  if (Result.m_Status == StatusOk)
    return Version != 0 ? StoreOutcome::Applied : StoreOutcome::Unknown;
  if (Result.m_Status == StatusConflict)
    return StoreOutcome::Conflict;
  if (Result.m_Status == StatusNotFound)
    return StoreOutcome::NotFound;
  return isNotCarriedOut(Result.m_Status) ? StoreOutcome::Unavailable
                                          : StoreOutcome::Unknown;
}

PutCompleted writeAnswer(StoreCallId Id, const HttpCallResult &Result,
                         const Json &Body) {
  const auto Version = memberOr(Body, "version", ObjectVersion{0});
  return {Id, writeOutcome(Result, Version), Version};
}

GetCompleted getAnswer(StoreCallId Id, const HttpCallResult &Result,
                       const Json &Body) {
  GetCompleted Answer;
  Answer.m_Id = Id;
  if (Result.m_Complete && Result.m_Status == StatusNotFound)
    Answer.m_Outcome = StoreOutcome::NotFound;
  const auto Version = memberOr(Body, "version", ObjectVersion{0});
  if (!isSuccess(Result) || Version == 0 || !Body.contains("value"))
    return Answer;
  const Json &Value = Body["value"];
  Answer.m_Outcome = StoreOutcome::Applied;
  Answer.m_Version = Version;
  Answer.m_Value = Value.is_string() ? Value.get<std::string>() : Value.dump();
  return Answer;
}

std::vector<StoreKey> keysOf(const Json &Body, const char *Member) {
  std::vector<StoreKey> Keys;
  for (const Json &Row : memberOr(Body, Member, Json::array()))
    Keys.push_back({memberOr(Row, "key", std::string()),
                    memberOr(Row, "version", ObjectVersion{0})});
  return Keys;
}

PlatformVm vmOf(const Json &Row) {
  PlatformVm Vm;
  Vm.m_Vm = memberOr(Row, "vm", std::string());
  Vm.m_Address = memberOr(Row, "address", std::string());
  Vm.m_Zone = memberOr(Row, "zone", std::string());
  Vm.m_Domain = memberOr(Row, "domain", std::string());
  // A state that is not known must not attract new work.
  Vm.m_State =
      valueOf(ListedVmStateNames, memberOr(Row, "state", std::string()))
          .value_or(ListedVmState::Leaving);
  Vm.m_Incarnation = memberOr(Row, "incarnation", std::uint64_t{0});
  return Vm;
}

} // namespace

HttpObjectStore::HttpObjectStore(HttpObjectStoreOptions Options,
                                 HttpClient &Client)
    : m_Options(std::move(Options)), m_Client(Client) {}

std::uint64_t HttpObjectStore::callCount(StoreCallKind Kind) const {
  return m_Counts[static_cast<std::size_t>(Kind)];
}

std::string HttpObjectStore::objectUrl(const std::string &Key) const {
  return fmt::format("http://{}/v1/objects/{}", m_Options.m_Address,
                     percentEncode(Key));
}

HttpCall HttpObjectStore::newCall(const std::string &Method,
                                  const std::string &Url) const {
  HttpCall Call;
  Call.m_Method = Method;
  Call.m_Url = Url;
  Call.m_ConnectTimeout = m_Options.m_ConnectTimeout;
  const bool IsRead = Method == "GET";
  Call.m_TotalTimeout =
      IsRead ? m_Options.m_ReadTimeout : m_Options.m_WriteTimeout;
  // libcurl repeats a request by itself on a kept connection that turns out
  // to be closed. A repeated write would conflict with its own first copy.
  Call.m_FreshConnection = !IsRead;
  return Call;
}

void HttpObjectStore::send(StoreCallKind Kind, HttpCall Call,
                           AnswerHandler Handler) {
  ++m_Counts[static_cast<std::size_t>(Kind)];
  const auto Body = std::make_shared<std::string>();
  Call.m_OnData = [Body](std::string_view Data) { *Body += Data; };
  Call.m_OnDone = [Body,
                   Handler = std::move(Handler)](const HttpCallResult &Result) {
    Handler(Result, Json::parse(*Body, nullptr, /*allow_exceptions=*/false));
  };
  m_Client.start(std::move(Call));
}

void HttpObjectStore::start(StoreAction Action,
                            std::function<void(StoreCompletion)> Done) {
  if (const auto *Get = std::get_if<GetObject>(&Action))
    return startGet(*Get, std::move(Done));
  if (const auto *Put = std::get_if<PutObject>(&Action))
    return startPut(*Put, std::move(Done));
  startDelete(std::get<DeleteObject>(Action), std::move(Done));
}

void HttpObjectStore::startGet(const GetObject &Action,
                               std::function<void(StoreCompletion)> Done) {
  send(StoreCallKind::Get, newCall("GET", objectUrl(Action.m_Key)),
       [Id = Action.m_Id, Done = std::move(Done)](const HttpCallResult &Result,
                                                  const Json &Body) {
         Done(getAnswer(Id, Result, Body));
       });
}

void HttpObjectStore::startPut(const PutObject &Action,
                               std::function<void(StoreCompletion)> Done) {
  HttpCall Call =
      newCall("PUT", fmt::format("{}?expected={}", objectUrl(Action.m_Key),
                                 Action.m_ExpectedVersion));
  try {
    Call.m_Body = Json{{"value", Action.m_Value}}.dump();
  } catch (const Json::exception &) {
    logLine(LogLevel::Error, "store",
            fmt::format("the value of {} is not valid UTF-8; it was not sent",
                        Action.m_Key));
    return Done(PutCompleted{Action.m_Id, StoreOutcome::Unavailable, 0});
  }
  Call.m_Headers.push_back({"Content-Type", "application/json"});
  send(StoreCallKind::Put, std::move(Call),
       [Id = Action.m_Id, Done = std::move(Done)](const HttpCallResult &Result,
                                                  const Json &Body) {
         Done(writeAnswer(Id, Result, Body));
       });
}

void HttpObjectStore::startDelete(const DeleteObject &Action,
                                  std::function<void(StoreCompletion)> Done) {
  send(StoreCallKind::Delete,
       newCall("DELETE", fmt::format("{}?expected={}", objectUrl(Action.m_Key),
                                     Action.m_ExpectedVersion)),
       [Id = Action.m_Id, Done = std::move(Done)](const HttpCallResult &Result,
                                                  const Json &Body) {
         Done(writeAnswer(Id, Result, Body));
       });
}

void HttpObjectStore::list(const ListKeys &Request,
                           std::function<void(KeysListed)> Done) {
  const std::string Url =
      fmt::format("http://{}/v1/objects?prefix={}&after={}&limit={}",
                  m_Options.m_Address, percentEncode(Request.m_Prefix),
                  percentEncode(Request.m_After), Request.m_Limit);
  send(
      StoreCallKind::List, newCall("GET", Url),
      [Done = std::move(Done)](const HttpCallResult &Result, const Json &Body) {
        KeysListed Answer;
        if (!isSuccess(Result) || !Body.is_object())
          return Done(std::move(Answer));
        Answer.m_Outcome = StoreOutcome::Applied;
        Answer.m_Revision = memberOr(Body, "revision", std::uint64_t{0});
        Answer.m_Keys = keysOf(Body, "objects");
        Answer.m_HasMore = memberOr(Body, "more", false);
        Done(std::move(Answer));
      });
}

void HttpObjectStore::watch(const WatchKeys &Request,
                            std::function<void(KeysWatched)> Done) {
  const auto TimeoutMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Request.m_Timeout);
  HttpCall Call = newCall(
      "GET", fmt::format("http://{}/v1/watch?prefix={}&since={}&timeout_ms={}",
                         m_Options.m_Address, percentEncode(Request.m_Prefix),
                         Request.m_Since, TimeoutMs.count()));
  Call.m_TotalTimeout = Request.m_Timeout + m_Options.m_ReadTimeout;
  send(
      StoreCallKind::Watch, std::move(Call),
      [Done = std::move(Done)](const HttpCallResult &Result, const Json &Body) {
        KeysWatched Answer;
        if (Result.m_Complete && Result.m_Status == StatusGone)
          Answer.m_Outcome = StoreOutcome::NotFound;
        if (!isSuccess(Result) || !Body.is_object())
          return Done(std::move(Answer));
        Answer.m_Outcome = StoreOutcome::Applied;
        Answer.m_Revision = memberOr(Body, "revision", std::uint64_t{0});
        Answer.m_Events = keysOf(Body, "events");
        Done(std::move(Answer));
      });
}

void HttpObjectStore::listVms(std::function<void(VmsListed)> Done) {
  send(
      StoreCallKind::Vms,
      newCall("GET", fmt::format("http://{}/v1/vms", m_Options.m_Address)),
      [Done = std::move(Done)](const HttpCallResult &Result, const Json &Body) {
        VmsListed Answer;
        if (!isSuccess(Result) || !Body.is_array())
          return Done(std::move(Answer));
        Answer.m_Outcome = StoreOutcome::Applied;
        for (const Json &Row : Body)
          Answer.m_Vms.push_back(vmOf(Row));
        Done(std::move(Answer));
      });
}

} // namespace fulmarwinch
