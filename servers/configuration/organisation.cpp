#include "servers/configuration/organisation.h"

#include "servers/configuration/json_field_reader.h"

#include "fmt/format.h"

#include <algorithm>

namespace fulmarwinch {

bool isSha256Text(const std::string &Text) {
  constexpr std::size_t Sha256Digits = 64;
  return Text.size() == Sha256Digits &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return (Character >= '0' && Character <= '9') ||
                  (Character >= 'a' && Character <= 'f');
         });
}

absl::StatusOr<Organisation> parseOrganisation(const Json &Object,
                                               const std::string &Path) {
  JsonFieldReader Fields(Object, Path);
  Organisation Parsed;
  Fields.text("kind");
  Parsed.m_Name = Fields.name("name");
  Parsed.m_ApiKeySha256 = Fields.optionalTexts("apiKeySha256");
  for (std::size_t Index = 0; Index < Parsed.m_ApiKeySha256.size(); ++Index)
    // The message omits the value, because it may be an API key in plain text.
    if (!isSha256Text(Parsed.m_ApiKeySha256[Index]))
      Fields.fail(fmt::format("apiKeySha256[{}]", Index), "another text",
                  "64 lower-case hexadecimal digits",
                  "store the SHA-256 of the key, not the key");
  Parsed.m_Weight = Fields.numberOr("weight", 0.001, 1e6, 1.0);
  Parsed.m_RequestsPerSecond = Fields.numberOr("requestsPerSecond", 0, 1e9, 0);
  Parsed.m_TokensPerSecond = Fields.numberOr("tokensPerSecond", 0, 1e12, 0);
  Parsed.m_Priority = Fields.integerOr("priority", 0, 1000, 0);
  if (absl::Status Fault = Fields.finish(); !Fault.ok())
    return Fault;
  return Parsed;
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
