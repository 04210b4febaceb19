#ifndef FULMARWINCH_CLI_OPERATOR_API_CLIENT_H
#define FULMARWINCH_CLI_OPERATOR_API_CLIENT_H

#include "cli/cli_error.h"
#include "core/json.h"

#include <optional>
#include <string>

namespace fulmarwinch {

/// Response to one call of the operator API: a JSON body or an error.
struct OperatorResponse {
  Json m_Body;
  std::optional<CliError> m_Error;

  bool ok() const { return !m_Error.has_value(); }
};

/// Operator API of a node. Commands call a node only through this interface.
class OperatorApiClient {
public:
  virtual ~OperatorApiClient() = default;

  virtual OperatorResponse get(const std::string &Path) = 0;
  virtual OperatorResponse post(const std::string &Path,
                                const std::string &Body) = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_OPERATOR_API_CLIENT_H
