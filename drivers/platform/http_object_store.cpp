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
/// Statuses with which the platform states that it did not execute the call:
/// the request was invalid or not permitted, it exceeded the rate or size
/// limit, or there is an outage. After any other error it is unknown whether a
/// write was applied.
constexpr std::array<int, 7> NotExecutedStatuses{400, 401, 403, 405,
                                                 413, 429, 503};

bool isSuccess(const HttpCallResult &Result) {
  return Result.m_Complete && Result.m_Status == StatusOk;
}

bool isKnownNotExecuted(int Status) {
  return std::find(NotExecutedStatuses.begin(), NotExecutedStatuses.end(),
                   Status) != NotExecutedStatuses.end();
}

StoreEra eraOf(const Json &Body) { return fieldOr(Body, "era", StoreEra{0}); }

/// Reads the version in \p Row of an answer of \p Era. It is 0 for an object
/// that does not exist.
ObjectVersion versionOf(const Json &Row, StoreEra Era) {
  const auto Revision = fieldOr(Row, "version", std::uint64_t{0});
  return Revision == 0 ? ObjectVersion() : ObjectVersion(Era, Revision);
}

/// Query parameters that make a write conditional on \p Expected.
std::string conditionOn(ObjectVersion Expected) {
  return fmt::format("?expected={}&era={}", Expected.m_Revision,
                     Expected.m_Era);
}

StoreOutcome outcomeOfWrite(const HttpCallResult &Result,
                            ObjectVersion Version) {
  if (!Result.m_Complete)
    return Result.m_NothingSent ? StoreOutcome::Unavailable
                                : StoreOutcome::Unknown;
  if (Result.m_Status == StatusOk)
    return Version.exists() ? StoreOutcome::Succeeded : StoreOutcome::Unknown;
  if (Result.m_Status == StatusConflict)
    return StoreOutcome::Conflict;
  if (Result.m_Status == StatusNotFound)
    return StoreOutcome::NotFound;
  return isKnownNotExecuted(Result.m_Status) ? StoreOutcome::Unavailable
                                             : StoreOutcome::Unknown;
}

WriteCompleted makeWriteCompletion(StoreCallId Id, const HttpCallResult &Result,
                                   const Json &Body) {
  const ObjectVersion Version = versionOf(Body, eraOf(Body));
  return {Id, outcomeOfWrite(Result, Version), Version, eraOf(Body)};
}

GetCompleted makeGetCompletion(StoreCallId Id, const HttpCallResult &Result,
                               const Json &Body) {
  GetCompleted Completion;
  Completion.m_Id = Id;
  Completion.m_Era = eraOf(Body);
  if (Result.m_Complete && Result.m_Status == StatusNotFound)
    Completion.m_Outcome = StoreOutcome::NotFound;
  const ObjectVersion Version = versionOf(Body, Completion.m_Era);
  if (!isSuccess(Result) || !Version.exists() || !Body.contains("value"))
    return Completion;
  const Json &Value = Body["value"];
  Completion.m_Outcome = StoreOutcome::Succeeded;
  Completion.m_Version = Version;
  Completion.m_Value =
      Value.is_string() ? Value.get<std::string>() : Value.dump();
  return Completion;
}

std::vector<StoreKey> parseKeys(const Json &Body, const char *Member) {
  std::vector<StoreKey> Keys;
  for (const Json &Row : fieldOr(Body, Member, Json::array()))
    Keys.push_back(
        {fieldOr(Row, "key", std::string()), versionOf(Row, eraOf(Body))});
  return Keys;
}

PlatformVm parseVm(const Json &Row) {
  PlatformVm Vm;
  Vm.m_Vm = fieldOr(Row, "vm", std::string());
  Vm.m_Address = fieldOr(Row, "address", std::string());
  Vm.m_Zone = fieldOr(Row, "zone", std::string());
  Vm.m_Domain = fieldOr(Row, "domain", std::string());
  // A VM in a state that this version does not recognise must not be assigned
  // new work.
  Vm.m_State =
      valueOf(PlatformVmStateNames, fieldOr(Row, "state", std::string()))
          .value_or(PlatformVmState::RemovalAnnounced);
  Vm.m_Incarnation = fieldOr(Row, "incarnation", std::uint64_t{0});
  return Vm;
}

} // namespace

HttpObjectStore::HttpObjectStore(HttpObjectStoreOptions Options,
                                 HttpClient &Client)
    : m_Options(std::move(Options)), m_Client(Client) {}

std::uint64_t HttpObjectStore::callCount(StoreCallKind Kind) const {
  return m_CallCounts[static_cast<std::size_t>(Kind)];
}

std::string HttpObjectStore::objectUrl(const std::string &Key) const {
  return fmt::format("http://{}/v1/objects/{}", m_Options.m_Address,
                     percentEncode(Key));
}

HttpCall HttpObjectStore::makeCall(const std::string &Method,
                                   const std::string &Url) const {
  HttpCall Call;
  Call.m_Method = Method;
  Call.m_Url = Url;
  Call.m_ConnectTimeout = m_Options.m_ConnectTimeout;
  const bool IsRead = Method == "GET";
  Call.m_TotalTimeout =
      IsRead ? m_Options.m_ReadTimeout : m_Options.m_WriteTimeout;
  // libcurl resends a request when the server closes a reused connection. A
  // conditional write that is executed twice would report a conflict with its
  // own first execution, so writes use new connections.
  Call.m_UseNewConnection = !IsRead;
  return Call;
}

void HttpObjectStore::send(StoreCallKind Kind, HttpCall Call,
                           ResponseHandler Handler) {
  ++m_CallCounts[static_cast<std::size_t>(Kind)];
  const auto Body = std::make_shared<std::string>();
  Call.m_OnData = [Body](std::string_view Data) { *Body += Data; };
  Call.m_OnDone = [Body,
                   Handler = std::move(Handler)](const HttpCallResult &Result) {
    Handler(Result, parseJsonLeniently(*Body));
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
  send(StoreCallKind::Get, makeCall("GET", objectUrl(Action.m_Key)),
       [Id = Action.m_Id, Done = std::move(Done)](const HttpCallResult &Result,
                                                  const Json &Body) {
         Done(makeGetCompletion(Id, Result, Body));
       });
}

void HttpObjectStore::startPut(const PutObject &Action,
                               std::function<void(StoreCompletion)> Done) {
  HttpCall Call = makeCall("PUT", objectUrl(Action.m_Key) +
                                      conditionOn(Action.m_ExpectedVersion));
  try {
    Call.m_Body = Json{{"value", Action.m_Value}}.dump();
  } catch (const Json::exception &) {
    logLine(LogLevel::Error, "store",
            fmt::format(
                "the value for key {} was not written: it is not valid UTF-8",
                Action.m_Key));
    return Done(WriteCompleted{Action.m_Id, StoreOutcome::Unavailable, 0});
  }
  Call.m_Headers.push_back({"Content-Type", "application/json"});
  send(StoreCallKind::Put, std::move(Call),
       [Id = Action.m_Id, Done = std::move(Done)](const HttpCallResult &Result,
                                                  const Json &Body) {
         Done(makeWriteCompletion(Id, Result, Body));
       });
}

void HttpObjectStore::startDelete(const DeleteObject &Action,
                                  std::function<void(StoreCompletion)> Done) {
  send(StoreCallKind::Delete,
       makeCall("DELETE", objectUrl(Action.m_Key) +
                              conditionOn(Action.m_ExpectedVersion)),
       [Id = Action.m_Id, Done = std::move(Done)](const HttpCallResult &Result,
                                                  const Json &Body) {
         Done(makeWriteCompletion(Id, Result, Body));
       });
}

void HttpObjectStore::list(const ListKeys &Request,
                           std::function<void(KeysListed)> Done) {
  const std::string Url =
      fmt::format("http://{}/v1/objects?prefix={}&after={}&limit={}",
                  m_Options.m_Address, percentEncode(Request.m_Prefix),
                  percentEncode(Request.m_After), Request.m_Limit);
  send(
      StoreCallKind::List, makeCall("GET", Url),
      [Done = std::move(Done)](const HttpCallResult &Result, const Json &Body) {
        KeysListed Completion;
        if (!isSuccess(Result) || !Body.is_object())
          return Done(std::move(Completion));
        Completion.m_Outcome = StoreOutcome::Succeeded;
        Completion.m_Position = {eraOf(Body),
                                 fieldOr(Body, "revision", std::uint64_t{0})};
        Completion.m_Keys = parseKeys(Body, "objects");
        Completion.m_HasMore = fieldOr(Body, "more", false);
        Done(std::move(Completion));
      });
}

void HttpObjectStore::watch(const WatchKeys &Request,
                            std::function<void(KeysWatched)> Done) {
  const auto TimeoutMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Request.m_Timeout);
  HttpCall Call = makeCall(
      "GET", fmt::format("http://{}/v1/watch?prefix={}&since={}&timeout_ms={}",
                         m_Options.m_Address, percentEncode(Request.m_Prefix),
                         Request.m_Since.m_Revision, TimeoutMs.count()));
  Call.m_TotalTimeout = Request.m_Timeout + m_Options.m_ReadTimeout;
  send(
      StoreCallKind::Watch, std::move(Call),
      [Done = std::move(Done)](const HttpCallResult &Result, const Json &Body) {
        KeysWatched Completion;
        if (Result.m_Complete && Result.m_Status == StatusGone)
          Completion.m_Outcome = StoreOutcome::NotFound;
        if (!isSuccess(Result) || !Body.is_object())
          return Done(std::move(Completion));
        Completion.m_Outcome = StoreOutcome::Succeeded;
        Completion.m_Position = {eraOf(Body),
                                 fieldOr(Body, "revision", std::uint64_t{0})};
        Completion.m_Events = parseKeys(Body, "events");
        Done(std::move(Completion));
      });
}

void HttpObjectStore::listVms(std::function<void(VmsListed)> Done) {
  send(
      StoreCallKind::ListVms,
      makeCall("GET", fmt::format("http://{}/v1/vms", m_Options.m_Address)),
      [Done = std::move(Done)](const HttpCallResult &Result, const Json &Body) {
        VmsListed Completion;
        if (!isSuccess(Result) || !Body.is_array())
          return Done(std::move(Completion));
        Completion.m_Outcome = StoreOutcome::Succeeded;
        for (const Json &Row : Body)
          Completion.m_Vms.push_back(parseVm(Row));
        Done(std::move(Completion));
      });
}

} // namespace fulmarwinch
