#ifndef FULMARWINCH_DRIVERS_PLATFORM_HTTP_OBJECT_STORE_H
#define FULMARWINCH_DRIVERS_PLATFORM_HTTP_OBJECT_STORE_H

#include "core/json.h"
#include "core/object_store.h"
#include "drivers/http/http_client.h"

#include <array>
#include <atomic>
#include <string>

namespace fulmarwinch {

/// Kinds of calls that are counted.
enum class StoreCallKind { Get, Put, Delete, List, Watch, Vms };

inline constexpr std::array<EnumName<StoreCallKind>, 6> StoreCallKindNames{{
    {StoreCallKind::Get, "get"},
    {StoreCallKind::Put, "put"},
    {StoreCallKind::Delete, "delete"},
    {StoreCallKind::List, "list"},
    {StoreCallKind::Watch, "watch"},
    {StoreCallKind::Vms, "vms"},
}};

/// Address and time limits of the platform's API.
struct HttpObjectStoreOptions {
  /// Host and port.
  std::string m_Address;
  Duration m_ConnectTimeout = std::chrono::seconds(1);
  Duration m_ReadTimeout = std::chrono::seconds(2);
  Duration m_WriteTimeout = std::chrono::seconds(2);
};

/// Client of the platform's protocol, section 3.2 of docs/design.md.
class HttpObjectStore : public ObjectStore {
public:
  /// \p Client must outlive the store.
  HttpObjectStore(HttpObjectStoreOptions Options, HttpClient &Client);

  void start(StoreAction Action,
             std::function<void(StoreCompletion)> Done) override;
  void list(const ListKeys &Request,
            std::function<void(ListCompleted)> Done) override;
  void watch(const WatchKeys &Request,
             std::function<void(WatchCompleted)> Done) override;
  void listVms(std::function<void(VmsCompleted)> Done) override;

  /// Returns how many calls of \p Kind were started.
  std::uint64_t callCount(StoreCallKind Kind) const;

private:
  /// Called with the end of the call and its parsed body, which is discarded
  /// JSON if the body is not valid.
  using AnswerHandler =
      std::function<void(const HttpCallResult &, const Json &)>;

  void startGet(const GetObject &Action,
                std::function<void(StoreCompletion)> Done);
  void startPut(const PutObject &Action,
                std::function<void(StoreCompletion)> Done);
  void startDelete(const DeleteObject &Action,
                   std::function<void(StoreCompletion)> Done);
  std::string objectUrl(const std::string &Key) const;
  HttpCall newCall(const std::string &Method, const std::string &Url) const;
  void send(StoreCallKind Kind, HttpCall Call, AnswerHandler Handler);

  HttpObjectStoreOptions m_Options;
  HttpClient &m_Client;
  std::array<std::atomic<std::uint64_t>, StoreCallKindNames.size()> m_Counts{};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_PLATFORM_HTTP_OBJECT_STORE_H
