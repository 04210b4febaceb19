#include "servers/retry/prompt_parts.h"
#include "core/text.h"

#include "xxhash.h"

namespace fulmarwinch {

namespace {

constexpr std::size_t MaxParts = 16;
/// Seed that keeps the hashes of parts apart from those of whole requests.
constexpr std::uint64_t PartSeed = 1;

} // namespace

std::vector<ContentHash> sharedPartHashes(std::string_view Parts) {
  const std::vector<std::string_view> Entries = split(Parts, ',');
  std::vector<ContentHash> Result;
  for (std::size_t I = 0; I + 1 < Entries.size() && I < MaxParts; ++I) {
    const std::string_view Id = toStdView(absl::StripAsciiWhitespace(
        toAbslView(Entries[I].substr(0, Entries[I].find(':')))));
    if (!Id.empty())
      Result.push_back(XXH64(Id.data(), Id.size(), PartSeed));
  }
  return Result;
}

} // namespace fulmarwinch
