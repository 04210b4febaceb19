#ifndef FULMARWINCH_DRIVERS_PLATFORM_HTTP_OBJECT_STORE_H
#define FULMARWINCH_DRIVERS_PLATFORM_HTTP_OBJECT_STORE_H

#include "core/json.h"
#include "core/object_store.h"
#include "drivers/http/http_client.h"

#include <array>
#include <atomic>
#include <string>

namespace fulmarwinch {

/// Kinds of calls to the platform's API, counted separately.
enum class StoreCallKind { Get, Put, Delete, List, Watch, ListVms };

inline constexpr std::array<EnumName<StoreCallKind>, 6> StoreCallKindNames{{
    {StoreCallKind::Get, "get"},
    {StoreCallKind::Put, "put"},
    {StoreCallKind::Delete, "delete"},
    {StoreCallKind::List, "list"},
    {StoreCallKind::Watch, "watch"},
    {StoreCallKind::ListVms, "vms"},
}};

/// Address and timeouts of the platform's API.
struct HttpObjectStoreOptions {
  /// Host and port of the API, "<host>:<port>".
  std::string m_Address;
  Duration m_ConnectTimeout = std::chrono::seconds(1);
  Duration m_ReadTimeout = std::chrono::seconds(2);
  Duration m_WriteTimeout = std::chrono::seconds(2);
};

/// Object store and VM list over the platform's HTTP API, see docs/design.md,
/// section 3.2. Completions are called on a thread of the HTTP client, or on
/// the caller's thread if a value cannot be encoded.
class HttpObjectStore : public ObjectStore {
public:
  /// \p Client must outlive the store.
  HttpObjectStore(HttpObjectStoreOptions Options, HttpClient &Client);

  void start(StoreAction Action,
             std::function<void(StoreCompletion)> Done) override;
  void list(const ListKeys &Request,
            std::function<void(KeysListed)> Done) override;
  void watch(const WatchKeys &Request,
             std::function<void(KeysWatched)> Done) override;
  void listVms(std::function<void(VmsListed)> Done) override;

  /// Returns the number of calls of \p Kind sent so far, including failed ones.
  std::uint64_t callCount(StoreCallKind Kind) const;

private:
  /// Called at the end of a call with its result and the parsed body, for which
  /// is_discarded() is true if the body is not valid JSON.
  using ResponseHandler =
      std::function<void(const HttpCallResult &, const Json &)>;

  void startGet(const GetObject &Action,
                std::function<void(StoreCompletion)> Done);
  void startPut(const PutObject &Action,
                std::function<void(StoreCompletion)> Done);
  void startDelete(const DeleteObject &Action,
                   std::function<void(StoreCompletion)> Done);
  std::string objectUrl(const std::string &Key) const;
  HttpCall makeCall(const std::string &Method, const std::string &Url) const;
  void send(StoreCallKind Kind, HttpCall Call, ResponseHandler Handler);

  HttpObjectStoreOptions m_Options;
  HttpClient &m_Client;
  std::array<std::atomic<std::uint64_t>, StoreCallKindNames.size()>
      m_CallCounts{};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_PLATFORM_HTTP_OBJECT_STORE_H
