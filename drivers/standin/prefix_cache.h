#ifndef FULMARWINCH_DRIVERS_STANDIN_PREFIX_CACHE_H
#define FULMARWINCH_DRIVERS_STANDIN_PREFIX_CACHE_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>

namespace fulmarwinch {

/// Remembers the prefixes of recent prompts in blocks of 256 bytes; the oldest
/// block is forgotten first.
class PrefixCache {
public:
  /// Returns how many bytes at the start of \p Prompt are cached, and adds all
  /// of its blocks.
  std::size_t lookUpAndAdd(std::string_view Prompt, std::size_t MaxBlocks);

  void clear();

private:
  std::unordered_set<std::uint64_t> m_Blocks;
  std::deque<std::uint64_t> m_Order;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_DRIVERS_STANDIN_PREFIX_CACHE_H
