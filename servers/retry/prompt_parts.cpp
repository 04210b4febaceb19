#include "servers/retry/prompt_parts.h"
#include "core/text.h"

#include "xxhash.h"

#include <unordered_set>

namespace fulmarwinch {

namespace {

/// Seed that keeps the hashes of parts apart from those of whole requests.
constexpr std::uint64_t PartSeed = 1;

} // namespace

std::vector<ContentHash> sharedPartHashes(std::string_view Parts) {
  const std::vector<std::string_view> Entries = split(Parts, ',');
  std::vector<ContentHash> Result;
  std::unordered_set<ContentHash> Known;
  for (std::size_t I = 0; I + 1 < Entries.size(); ++I) {
    const std::string_view Id = toStdView(absl::StripAsciiWhitespace(
        toAbslView(Entries[I].substr(0, Entries[I].find(':')))));
    const ContentHash Hash = XXH64(Id.data(), Id.size(), PartSeed);
    if (!Id.empty() && Known.insert(Hash).second)
      Result.push_back(Hash);
  }
  return Result;
}

} // namespace fulmarwinch
