#ifndef FULMARWINCH_DRIVERS_STANDIN_PREFIX_CACHE_H
#define FULMARWINCH_DRIVERS_STANDIN_PREFIX_CACHE_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>

namespace fulmarwinch {

/// Caches the prefixes of recent prompts in blocks of 256 bytes and evicts the
/// block that was added first.
class PrefixCache {
public:
  /// Returns the number of bytes at the start of \p Prompt that are cached.
  /// Adds all of its complete blocks, then evicts down to \p MaxBlocks.
  std::size_t lookUpAndAdd(std::string_view Prompt, std::size_t MaxBlocks);

  void clear();

private:
  std::unordered_set<std::uint64_t> m_CachedHashes;
  std::deque<std::uint64_t> m_InsertionOrder;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_PREFIX_CACHE_H
