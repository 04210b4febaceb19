#ifndef FULMARWINCH_NODE_ENGINE_CLIENT_H
#define FULMARWINCH_NODE_ENGINE_CLIENT_H

#include "drivers/http/http_client.h"
#include "node/control_thread.h"
#include "servers/admission/slot_messages.h"
#include "servers/groups/engine_messages.h"

#include <functional>
#include <map>
#include <string>

namespace fulmarwinch {

/// State of one engine as `GET /v1/state` tells it.
struct EngineStatus {
  EngineReport m_Report;
  std::uint64_t m_Capacity = 1;
  std::uint64_t m_ColdCapacity = 1;
  std::uint64_t m_Completed = 0;
  bool m_Cold = true;
};

/// Polls engines and sends orders to them. Callbacks run on the control
/// thread.
class EngineClient {
public:
  EngineClient(HttpClient &Client, ControlThread &Control)
      : m_Client(Client), m_Control(Control) {}

  /// Polls the engine at \p Address. An engine that refuses the connection or
  /// gives no answer in time is reported as not reachable.
  void poll(const std::string &Address,
            std::function<void(const EngineStatus &)> Done);

  /// Sends \p Order to \p Address; \p Addresses holds the address of each
  /// member VM.
  void order(const EngineOrder &Order, const std::string &Address,
             const std::map<std::string, std::string> &Addresses,
             std::function<void(const OrderCompleted &)> Done);

private:
  HttpClient &m_Client;
  ControlThread &m_Control;
};

/// Returns what admission needs of \p Status, under the name \p Server.
ServerReport toServerReport(const std::string &Server,
                            const EngineStatus &Status);

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_ENGINE_CLIENT_H
