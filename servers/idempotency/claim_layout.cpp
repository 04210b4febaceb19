#include "servers/idempotency/claim_layout.h"

#include "core/rendezvous.h"

#include "fmt/format.h"

#include <charconv>

namespace fulmarwinch {

namespace {
constexpr std::string_view BucketKeyPrefix = "claims/";
} // namespace

std::string ClaimLayout::bucketKey(UnixSeconds KeyTime,
                                   const ClaimHash &Key) const {
  const std::uint32_t HashPrefix = (std::uint32_t(Key[0]) << 16) |
                                   (std::uint32_t(Key[1]) << 8) |
                                   std::uint32_t(Key[2]);
  return fmt::format("{}{}/{}", BucketKeyPrefix, KeyTime / m_SliceSeconds,
                     HashPrefix % m_BucketsPerSlice);
}

bool ClaimLayout::isExpired(std::string_view ObjectKey, UnixSeconds Now) const {
  const std::optional<UnixSeconds> Slice = sliceOf(ObjectKey);
  return Slice && (*Slice + 1) * m_SliceSeconds + Retention < Now;
}

std::optional<UnixSeconds> ClaimLayout::sliceOf(std::string_view ObjectKey) {
  if (ObjectKey.substr(0, BucketKeyPrefix.size()) != BucketKeyPrefix)
    return std::nullopt;
  ObjectKey.remove_prefix(BucketKeyPrefix.size());
  const std::size_t SlashPosition = ObjectKey.find('/');
  if (SlashPosition == std::string_view::npos || SlashPosition == 0)
    return std::nullopt;
  UnixSeconds Slice = 0;
  const char *SliceEnd = ObjectKey.data() + SlashPosition;
  const auto [ParsedEnd, ParseError] =
      std::from_chars(ObjectKey.data(), SliceEnd, Slice);
  if (ParseError != std::errc() || ParsedEnd != SliceEnd)
    return std::nullopt;
  return Slice;
}

std::string ClaimLayout::ownerOf(std::string_view ObjectKey,
                                 const std::vector<std::string> &Nodes) {
  std::string Owner;
  std::uint64_t HighestWeight = 0;
  for (const std::string &Node : Nodes) {
    const std::uint64_t Weight = rendezvousWeight(ObjectKey, Node);
    if (!Owner.empty() && Weight <= HighestWeight)
      continue;
    Owner = Node;
    HighestWeight = Weight;
  }
  return Owner;
}

} // namespace fulmarwinch
