#ifndef FULMARWINCH_NODE_ENGINE_CLIENT_H
#define FULMARWINCH_NODE_ENGINE_CLIENT_H

#include "drivers/http/http_client.h"
#include "node/task_thread.h"
#include "servers/admission/slot_messages.h"
#include "servers/groups/engine_messages.h"

#include <functional>
#include <map>
#include <string>

namespace fulmarwinch {

/// State of one engine as returned by `GET /v1/state`.
struct EngineStatus {
  EngineReport m_Report;
  std::uint64_t m_Capacity = 1;
  std::uint64_t m_ColdCapacity = 1;
  std::uint64_t m_Completed = 0;
  bool m_Cold = true;
};

/// HTTP client of the engines: polls their state and sends orders. Callbacks
/// run on the control thread.
class EngineClient {
public:
  EngineClient(HttpClient &Client, TaskThread &ControlThread)
      : m_Client(Client), m_ControlThread(ControlThread) {}

  /// Requests the state of the engine at \p Address. If the engine refuses the
  /// connection or the request times out, \p OnDone receives a report with
  /// m_Reachable false.
  void poll(const std::string &Address,
            std::function<void(const EngineStatus &)> OnDone);

  /// Sends \p Order to the engine at \p Address. \p VmAddresses contains the
  /// engine address of each member VM.
  void sendOrder(const EngineOrder &Order, const std::string &Address,
                 const std::map<std::string, std::string> &VmAddresses,
                 std::function<void(const OrderCompleted &)> OnDone);

private:
  HttpClient &m_Client;
  TaskThread &m_ControlThread;
};

/// Converts \p Status to the load report of \p Server for slot admission.
ServerReport toServerReport(const std::string &Server,
                            const EngineStatus &Status);

} // namespace fulmarwinch

#endif // FULMARWINCH_NODE_ENGINE_CLIENT_H
