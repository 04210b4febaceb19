#include "servers/feed/change_batch.h"

#include "cppunit/extensions/HelperMacros.h"

#include <algorithm>

namespace fulmarwinch {

/// Batches of changes that one node forwards to another in datagrams.
class ChangeBatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangeBatchTest);
  CPPUNIT_TEST(largeConfigurationArrivesWhole);
  CPPUNIT_TEST(lostPartYieldsNoBatch);
  CPPUNIT_TEST(batchOverTheLimitIsNotSent);
  CPPUNIT_TEST(malformedPartsAreIgnored);
  CPPUNIT_TEST(incompleteBatchesAreBounded);
  CPPUNIT_TEST_SUITE_END();

  /// Datagrams of the peer exchange hold 8,192 bytes.
  static constexpr std::size_t MaxDatagramBytes = 8192;
  static constexpr std::size_t NoLimit = 1000000;

  static ObjectChangeBatch configurationOf(std::size_t Routes) {
    Json Content{{"version", 12}, {"routes", Json::array()}};
    std::uint32_t Random = 1;
    for (std::size_t I = 0; I < Routes; ++I) {
      Random = Random * 1664525U + 1013904223U;
      Content["routes"].push_back({{"host", "ficu95.example"},
                                   {"path_prefix", std::to_string(Random)},
                                   {"timeout_ms", 8000},
                                   {"kind", "streaming"}});
    }
    return {"config", {3, 7}, {3, 12}, {{{"main", {3, 12}, Content}, false}}};
  }

  /// Load pattern: a configuration with 960 routes, which is larger than any
  /// datagram, changes several times a second. Guards against a batch that
  /// every node has to read from the store.
  void largeConfigurationArrivesWhole() {
    const ObjectChangeBatch Batch = configurationOf(960);
    std::vector<Json> Parts = encodeChangeBatch(Batch, NoLimit);
    CPPUNIT_ASSERT(Parts.size() > 1);
    std::size_t Bytes = 0;
    for (const Json &Part : Parts) {
      CPPUNIT_ASSERT(Json::to_cbor(Part).size() < MaxDatagramBytes);
      Bytes += Json::to_cbor(Part).size();
    }
    CPPUNIT_ASSERT(Bytes <
                   Json::to_cbor(Batch.m_Changes[0].m_Object.m_Content).size() /
                       3);
    std::reverse(Parts.begin(), Parts.end());
    Parts.insert(Parts.begin(), Parts.front());
    ChangeBatchAssembler Assembler;
    std::optional<ObjectChangeBatch> Received;
    for (const Json &Part : Parts) {
      CPPUNIT_ASSERT(!Received);
      Received = Assembler.addPart(Json::from_cbor(Json::to_cbor(Part)));
    }
    CPPUNIT_ASSERT(Received.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("config"), Received->m_Kind);
    CPPUNIT_ASSERT_EQUAL(StorePosition(3, 7), Received->m_From);
    CPPUNIT_ASSERT_EQUAL(StorePosition(3, 12), Received->m_To);
    CPPUNIT_ASSERT_EQUAL(StorePosition(3, 12),
                         Received->m_Changes.at(0).m_Object.m_Position);
    CPPUNIT_ASSERT_EQUAL(std::string("main"),
                         Received->m_Changes.at(0).m_Object.m_Name);
    CPPUNIT_ASSERT(Received->m_Changes[0].m_Object.m_Content ==
                   Batch.m_Changes[0].m_Object.m_Content);
  }

  /// Guards against a batch that is applied although a part of it was lost, or
  /// that is completed by a part of another batch.
  void lostPartYieldsNoBatch() {
    const std::vector<Json> First =
        encodeChangeBatch(configurationOf(960), NoLimit);
    ObjectChangeBatch Later = configurationOf(960);
    Later.m_To = {3, 13};
    const std::vector<Json> Second = encodeChangeBatch(Later, NoLimit);
    ChangeBatchAssembler Assembler;
    for (std::size_t I = 1; I < First.size(); ++I)
      CPPUNIT_ASSERT(!Assembler.addPart(First[I]));
    CPPUNIT_ASSERT(!Assembler.addPart(Second[0]));
    CPPUNIT_ASSERT(Assembler.addPart(First[0]).has_value());
  }

  void batchOverTheLimitIsNotSent() {
    CPPUNIT_ASSERT(encodeChangeBatch(configurationOf(960), 1000).empty());
  }

  /// Guards against a malformed datagram that ends the process or exhausts its
  /// memory.
  void malformedPartsAreIgnored() {
    const Json Good = encodeChangeBatch(configurationOf(3), NoLimit).at(0);
    ChangeBatchAssembler Assembler;
    CPPUNIT_ASSERT(!Assembler.addPart(Json()));
    CPPUNIT_ASSERT(!Assembler.addPart(Json::array({1, 2})));
    for (const char *Field : {"kind", "part", "parts", "size", "bytes"}) {
      Json Part = Good;
      Part.erase(Field);
      CPPUNIT_ASSERT(!Assembler.addPart(Part));
      Part[Field] = -1;
      CPPUNIT_ASSERT(!Assembler.addPart(Part));
    }
    Json HugeSize = Good;
    HugeSize["size"] = std::uint64_t{1} << 62;
    CPPUNIT_ASSERT(!Assembler.addPart(HugeSize));
    Json Damaged = Good;
    Damaged["bytes"].get_binary()[4] ^= 0xFF;
    Damaged["bytes"].get_binary().back() ^= 0xFF;
    CPPUNIT_ASSERT(!Assembler.addPart(Damaged));
    CPPUNIT_ASSERT(Assembler.addPart(Good).has_value());
  }

  /// Guards against memory that grows with each batch of which a part is lost.
  void incompleteBatchesAreBounded() {
    ChangeBatchAssembler Assembler;
    ObjectChangeBatch Batch = configurationOf(960);
    const Json FirstPart = encodeChangeBatch(Batch, NoLimit).at(0);
    CPPUNIT_ASSERT(!Assembler.addPart(FirstPart));
    for (std::uint64_t Revision = 100; Revision < 200; ++Revision) {
      Batch.m_To = {3, Revision};
      CPPUNIT_ASSERT(
          !Assembler.addPart(encodeChangeBatch(Batch, NoLimit).at(0)));
    }
    Batch.m_To = {3, 12};
    const std::vector<Json> Parts = encodeChangeBatch(Batch, NoLimit);
    for (std::size_t I = 1; I < Parts.size(); ++I)
      CPPUNIT_ASSERT(!Assembler.addPart(Parts[I]));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeBatchTest);

} // namespace fulmarwinch
