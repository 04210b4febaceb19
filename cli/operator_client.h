#ifndef FULMARWINCH_CLI_OPERATOR_CLIENT_H
#define FULMARWINCH_CLI_OPERATOR_CLIENT_H

#include "cli/operator_calls.h"
#include "drivers/http/http_client.h"

#include <string>

namespace fulmarwinch {

/// Calls the operator endpoint of one node over HTTP.
class OperatorClient : public OperatorCalls {
public:
  /// \p Server is a URL without a path. An empty \p Key sends none.
  OperatorClient(std::string Server, std::string Key);

  OperatorReply get(const std::string &Path) override;
  OperatorReply post(const std::string &Path, const std::string &Body) override;

private:
  OperatorReply call(HttpCall Call);

  std::string m_Server;
  std::string m_Key;
  HttpClient m_Client{1};
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_OPERATOR_CLIENT_H
