#include "servers/idempotency/claim_layout.h"

#include "core/rendezvous.h"

#include "fmt/format.h"

#include <charconv>

namespace fulmarwinch {

namespace {
constexpr std::string_view Prefix = "claims/";
} // namespace

std::string ClaimLayout::bucketKey(UnixSeconds KeyTime,
                                   const ClaimHash &Key) const {
  const std::uint32_t Spread = (std::uint32_t(Key[0]) << 16) |
                               (std::uint32_t(Key[1]) << 8) |
                               std::uint32_t(Key[2]);
  return fmt::format("{}{}/{}", Prefix, KeyTime / m_SliceSeconds,
                     Spread % m_BucketsPerSlice);
}

bool ClaimLayout::isExpired(std::string_view ObjectKey, UnixSeconds Now) const {
  const std::optional<UnixSeconds> Slice = sliceOf(ObjectKey);
  return Slice && (*Slice + 1) * m_SliceSeconds + Retention < Now;
}

std::optional<UnixSeconds> ClaimLayout::sliceOf(std::string_view ObjectKey) {
  if (ObjectKey.substr(0, Prefix.size()) != Prefix)
    return std::nullopt;
  ObjectKey.remove_prefix(Prefix.size());
  const std::size_t Slash = ObjectKey.find('/');
  if (Slash == std::string_view::npos || Slash == 0)
    return std::nullopt;
  UnixSeconds Slice = 0;
  const char *End = ObjectKey.data() + Slash;
  const auto [Stop, Code] = std::from_chars(ObjectKey.data(), End, Slice);
  if (Code != std::errc() || Stop != End)
    return std::nullopt;
  return Slice;
}

std::string ClaimLayout::ownerOf(std::string_view ObjectKey,
                                 const std::vector<std::string> &Nodes) {
  std::string Owner;
  std::uint64_t Best = 0;
  for (const std::string &Node : Nodes) {
    const std::uint64_t Weight = rendezvousWeight(ObjectKey, Node);
    if (!Owner.empty() && Weight <= Best)
      continue;
    Owner = Node;
    Best = Weight;
  }
  return Owner;
}

} // namespace fulmarwinch
