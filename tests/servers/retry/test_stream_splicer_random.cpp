#include "servers/retry/stream_splicer.h"

#include "cppunit/extensions/HelperMacros.h"
#include "fmt/format.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>

namespace fulmarwinch {

/// Randomised streams over several attempts. The client has to get exactly
/// the original sequence.
class StreamSplicerRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamSplicerRandomTest);
  CPPUNIT_TEST(bufferIsBounded);
  CPPUNIT_TEST(clientGetsTheOriginalSequence);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against unbounded memory when an engine skips an index.
  void bufferIsBounded() {
    StreamSplicer Splicer("r", 4);
    const std::uint32_t Attempt = Splicer.beginAttempt();
    std::size_t Refused = 0;
    for (std::uint64_t Index = 1; Index < 100; ++Index)
      Refused += Splicer.accept({"r", Attempt, Index, "x", false}).m_Verdict ==
                         SpliceVerdict::TooEarly
                     ? 1
                     : 0;
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Splicer.buffered());
    CPPUNIT_ASSERT_EQUAL(std::size_t{95}, Refused);
  }

  /// Guards against duplicated, lost, reordered and foreign chunks in the
  /// client's stream (invariant I5).
  void clientGetsTheOriginalSequence() {
    const char *Fixed = std::getenv("FULMARWINCH_TEST_SEED");
    const std::uint64_t First = Fixed ? std::strtoull(Fixed, nullptr, 10) : 1;
    const std::uint64_t Last = Fixed ? First : 500;
    std::cout << fmt::format(" seeds {}..{}", First, Last);
    for (std::uint64_t Seed = First; Seed <= Last; ++Seed)
      runSeed(Seed);
  }

  /// Text of one token; attempts sample different text after the point where
  /// they start, so the splicer must not mix tokens of two attempts.
  static std::string token(std::uint32_t Attempt, std::uint64_t Index) {
    return fmt::format("{}.{} ", Attempt, Index);
  }

  static std::vector<StreamChunk> makeChunks(std::uint32_t Attempt,
                                             std::uint64_t From,
                                             std::uint64_t Length,
                                             std::mt19937_64 &Random) {
    std::vector<StreamChunk> Chunks;
    for (std::uint64_t Index = From; Index < Length; ++Index) {
      const StreamChunk Chunk{"request", Attempt, Index, token(Attempt, Index),
                              Index + 1 == Length};
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
    const std::string Replay =
        fmt::format("replay with FULMARWINCH_TEST_SEED={}", Seed);
    std::mt19937_64 Random(Seed);
    const std::uint64_t Length = 1 + Random() % 60;
    StreamSplicer Splicer("request", 8);
    std::vector<std::string> Client;
    std::vector<std::string> Expected;
    std::vector<StreamChunk> Late;
    while (!Splicer.isComplete()) {
      const std::uint64_t From = Splicer.nextIndex();
      const std::uint32_t Attempt = Splicer.beginAttempt();
      std::vector<StreamChunk> Chunks =
          makeChunks(Attempt, From, Length, Random);
      // Chunks of earlier attempts arrive in between.
      for (const StreamChunk &Chunk : Late)
        Chunks.insert(Chunks.begin() +
                          static_cast<long>(Random() % (Chunks.size() + 1)),
                      Chunk);
      const std::size_t Broken = Random() % (Chunks.size() + 1);
      for (std::size_t I = 0; I < Broken; ++I) {
        const SpliceResult Result = Splicer.accept(Chunks[I]);
        Client.insert(Client.end(), Result.m_Deliver.begin(),
                      Result.m_Deliver.end());
        CPPUNIT_ASSERT_MESSAGE(Replay, Splicer.buffered() <= 8);
      }
      Late.assign(Chunks.begin() + static_cast<long>(Broken), Chunks.end());
      Late.resize(std::min<std::size_t>(Late.size(), 20));
      for (std::uint64_t Index = From; Index < Splicer.nextIndex(); ++Index)
        Expected.push_back(token(Attempt, Index));
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Replay, std::size_t(Length), Client.size());
    CPPUNIT_ASSERT_MESSAGE(Replay, Client == Expected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamSplicerRandomTest);

} // namespace fulmarwinch
