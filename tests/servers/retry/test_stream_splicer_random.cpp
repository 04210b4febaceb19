#include "servers/retry/stream_splicer.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>

namespace fulmarwinch {

/// Random streams over several attempts. The client has to receive exactly the
/// original token sequence.
class StreamSplicerRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamSplicerRandomTest);
  CPPUNIT_TEST(bufferSizeIsBounded);
  CPPUNIT_TEST(clientReceivesTheOriginalSequence);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against unbounded memory use when an engine skips a token index.
  void bufferSizeIsBounded() {
    StreamSplicer Splicer("r", 4);
    const std::uint32_t Attempt = Splicer.beginAttempt();
    std::size_t TooEarlyChunks = 0;
    for (std::uint64_t Index = 1; Index < 100; ++Index)
      TooEarlyChunks +=
          Splicer.accept({"r", Attempt, Index, "x", false}).m_Verdict ==
                  SpliceVerdict::GapTooLarge
              ? 1
              : 0;
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Splicer.bufferedCount());
    CPPUNIT_ASSERT_EQUAL(std::size_t{95}, TooEarlyChunks);
  }

  /// Guards against duplicated, lost, reordered and foreign chunks in the
  /// client's stream (invariant I5 of the design).
  void clientReceivesTheOriginalSequence() {
    const char *SeedOverride = std::getenv("FULMARWINCH_TEST_SEED");
    const std::uint64_t FirstSeed =
        SeedOverride ? std::strtoull(SeedOverride, nullptr, 10) : 1;
    const std::uint64_t LastSeed = SeedOverride ? FirstSeed : 500;
    std::cout << fmt::format(" seeds {}..{}", FirstSeed, LastSeed);
    for (std::uint64_t Seed = FirstSeed; Seed <= LastSeed; ++Seed)
      runSeed(Seed);
  }

  /// Text of one token. Each attempt samples different text, so mixed tokens of
  /// two attempts are detected.
  static std::string token(std::uint32_t Attempt, std::uint64_t Index) {
    return fmt::format("{}.{} ", Attempt, Index);
  }

  /// Chunks of one attempt: some are lost, duplicated, reordered or belong to
  /// another request.
  static std::vector<StreamChunk> makeChunks(std::uint32_t Attempt,
                                             std::uint64_t FirstIndex,
                                             std::uint64_t TokenCount,
                                             std::mt19937_64 &Random) {
    std::vector<StreamChunk> Chunks;
    for (std::uint64_t Index = FirstIndex; Index < TokenCount; ++Index) {
      const StreamChunk Chunk{"request", Attempt, Index, token(Attempt, Index),
                              Index + 1 == TokenCount};
      if (Random() % 20 != 0)
        Chunks.push_back(Chunk);
      if (Random() % 10 == 0)
        Chunks.push_back(Chunk);
      if (Random() % 10 == 0)
        Chunks.push_back({"other", Attempt, Index, "foreign", false});
    }
    for (std::size_t I = 0; I + 1 < Chunks.size(); ++I)
      if (Random() % 4 == 0)
        std::swap(Chunks[I],
                  Chunks[std::min(Chunks.size() - 1, I + Random() % 5)]);
    return Chunks;
  }

  static void runSeed(std::uint64_t Seed) {
    const std::string ReplayHint =
        fmt::format("replay with FULMARWINCH_TEST_SEED={}", Seed);
    std::mt19937_64 Random(Seed);
    const std::uint64_t TokenCount = 1 + Random() % 60;
    StreamSplicer Splicer("request", 8);
    std::vector<std::string> Delivered;
    std::vector<std::string> Expected;
    std::vector<StreamChunk> LateChunks;
    while (!Splicer.isComplete()) {
      const std::uint64_t FirstIndex = Splicer.nextIndex();
      const std::uint32_t Attempt = Splicer.beginAttempt();
      std::vector<StreamChunk> Chunks =
          makeChunks(Attempt, FirstIndex, TokenCount, Random);
      // Late chunks of earlier attempts arrive between those of this attempt.
      for (const StreamChunk &Chunk : LateChunks)
        Chunks.insert(Chunks.begin() +
                          static_cast<long>(Random() % (Chunks.size() + 1)),
                      Chunk);
      const std::size_t ReceivedCount = Random() % (Chunks.size() + 1);
      for (std::size_t I = 0; I < ReceivedCount; ++I) {
        const SpliceResult Result = Splicer.accept(Chunks[I]);
        Delivered.insert(Delivered.end(), Result.m_DeliverablePayloads.begin(),
                         Result.m_DeliverablePayloads.end());
        CPPUNIT_ASSERT_MESSAGE(ReplayHint, Splicer.bufferedCount() <= 8);
      }
      LateChunks.assign(Chunks.begin() + static_cast<long>(ReceivedCount),
                        Chunks.end());
      LateChunks.resize(std::min<std::size_t>(LateChunks.size(), 20));
      for (std::uint64_t Index = FirstIndex; Index < Splicer.nextIndex();
           ++Index)
        Expected.push_back(token(Attempt, Index));
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(ReplayHint, std::size_t(TokenCount),
                                 Delivered.size());
    CPPUNIT_ASSERT_MESSAGE(ReplayHint, Delivered == Expected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamSplicerRandomTest);

} // namespace fulmarwinch
