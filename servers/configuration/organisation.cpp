#include "servers/configuration/organisation.h"

#include "servers/configuration/entry_fields.h"

#include "fmt/format.h"

#include <algorithm>

namespace fulmarwinch {

bool isSha256Text(const std::string &Text) {
  constexpr std::size_t Sha256Digits = 64;
  return Text.size() == Sha256Digits &&
         std::all_of(Text.begin(), Text.end(), [](char Byte) {
           return (Byte >= '0' && Byte <= '9') || (Byte >= 'a' && Byte <= 'f');
         });
}

absl::StatusOr<Organisation> parseOrganisation(const Json &Object,
                                               const std::string &Path) {
  EntryFields Fields(Object, Path);
  Organisation Value;
  Fields.text("kind");
  Value.m_Name = Fields.name("name");
  Value.m_ApiKeySha256 = Fields.textsOr("apiKeySha256");
  for (std::size_t Index = 0; Index < Value.m_ApiKeySha256.size(); ++Index)
    // The found value is not shown, since it may be an API key in plain text.
    if (!isSha256Text(Value.m_ApiKeySha256[Index]))
      Fields.fail(fmt::format("apiKeySha256[{}]", Index), "another text",
                  "64 lower-case hexadecimal digits",
                  "store the SHA-256 of the key, not the key");
  Value.m_Weight = Fields.numberOr("weight", 0.001, 1e6, 1.0);
  Value.m_RequestsPerSecond = Fields.numberOr("requestsPerSecond", 0, 1e9, 0);
  Value.m_TokensPerSecond = Fields.numberOr("tokensPerSecond", 0, 1e12, 0);
  Value.m_Priority = Fields.integerOr("priority", 0, 1000, 0);
  if (absl::Status Fault = Fields.finish(); !Fault.ok())
    return Fault;
  return Value;
}

Json toJson(const Organisation &Value) {
  return {{"kind", "organisation"},
          {"name", Value.m_Name},
          {"apiKeySha256", Value.m_ApiKeySha256},
          {"weight", Value.m_Weight},
          {"requestsPerSecond", Value.m_RequestsPerSecond},
          {"tokensPerSecond", Value.m_TokensPerSecond},
          {"priority", Value.m_Priority}};
}

} // namespace fulmarwinch
