#ifndef FULMARWINCH_CLI_OPERATOR_CALLS_H
#define FULMARWINCH_CLI_OPERATOR_CALLS_H

#include "cli/cli_error.h"
#include "core/json.h"

#include <optional>
#include <string>

namespace fulmarwinch {

/// Answer to one call of the operator API.
struct OperatorReply {
  Json m_Body;
  std::optional<CliError> m_Error;

  bool ok() const { return !m_Error.has_value(); }
};

/// The operator API as the commands use it.
class OperatorCalls {
public:
  virtual ~OperatorCalls() = default;

  virtual OperatorReply get(const std::string &Path) = 0;
  virtual OperatorReply post(const std::string &Path,
                             const std::string &Body) = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_CLI_OPERATOR_CALLS_H
