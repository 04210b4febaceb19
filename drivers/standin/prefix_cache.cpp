#include "drivers/standin/prefix_cache.h"

#include "xxhash.h"

namespace fulmarwinch {

namespace {

constexpr std::size_t BlockBytes = 256;

} // namespace

std::size_t PrefixCache::lookUpAndAdd(std::string_view Prompt,
                                      std::size_t MaxBlocks) {
  std::size_t CachedBytes = 0;
  std::uint64_t PrefixHash = 0;
  for (std::size_t BlockEnd = BlockBytes; BlockEnd <= Prompt.size();
       BlockEnd += BlockBytes) {
    // Each hash covers the whole prefix up to the end of its block, since a
    // cached block is valid only after the same preceding blocks.
    PrefixHash =
        XXH64(Prompt.data() + BlockEnd - BlockBytes, BlockBytes, PrefixHash);
    if (!m_CachedHashes.insert(PrefixHash).second) {
      if (CachedBytes == BlockEnd - BlockBytes)
        CachedBytes = BlockEnd;
      continue;
    }
    m_InsertionOrder.push_back(PrefixHash);
  }
  while (m_InsertionOrder.size() > MaxBlocks) {
    m_CachedHashes.erase(m_InsertionOrder.front());
    m_InsertionOrder.pop_front();
  }
  return CachedBytes;
}

void PrefixCache::clear() {
  m_CachedHashes.clear();
  m_InsertionOrder.clear();
}

} // namespace fulmarwinch
