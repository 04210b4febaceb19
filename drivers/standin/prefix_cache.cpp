#include "drivers/standin/prefix_cache.h"

#include "xxhash.h"

namespace fulmarwinch {

namespace {

constexpr std::size_t BlockBytes = 256;

} // namespace

std::size_t PrefixCache::lookUpAndAdd(std::string_view Prompt,
                                      std::size_t MaxBlocks) {
  std::size_t Cached = 0;
  std::uint64_t Hash = 0;
  for (std::size_t End = BlockBytes; End <= Prompt.size(); End += BlockBytes) {
    // The hash covers the whole prefix, since a block is of use only after
    // the same blocks.
    Hash = XXH64(Prompt.data() + End - BlockBytes, BlockBytes, Hash);
    if (!m_Blocks.insert(Hash).second) {
      if (Cached == End - BlockBytes)
        Cached = End;
      continue;
    }
    m_Order.push_back(Hash);
  }
  while (m_Order.size() > MaxBlocks) {
    m_Blocks.erase(m_Order.front());
    m_Order.pop_front();
  }
  return Cached;
}

void PrefixCache::clear() {
  m_Blocks.clear();
  m_Order.clear();
}

} // namespace fulmarwinch
