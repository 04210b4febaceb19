#include "core/json.h"

#include "cppunit/extensions/HelperMacros.h"

#include <cstdint>
#include <vector>

namespace fulmarwinch {

/// Messages of other processes that cannot be read.
class JsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JsonTest);
  CPPUNIT_TEST(damagedCborIsDiscarded);
  CPPUNIT_TEST_SUITE_END();

  static Json parse(const std::vector<std::uint8_t> &Bytes) {
    return parseCbor(Bytes.begin(), Bytes.end());
  }

  /// Guards against a process that ends at a datagram of nine bytes, the head
  /// of a map or list that states more elements than memory can hold.
  void damagedCborIsDiscarded() {
    constexpr std::uint8_t ListWithLongSize = 0x9b;
    constexpr std::uint8_t MapWithLongSize = 0xbb;
    for (const std::uint8_t Head : {ListWithLongSize, MapWithLongSize})
      for (const std::uint8_t HighestByte : {0x00, 0x01, 0x7f, 0x80, 0xff})
        CPPUNIT_ASSERT(
            parse({Head, HighestByte, 0, 0, 0, 0, 0, 0, 9}).is_discarded());
    CPPUNIT_ASSERT(parse({}).is_discarded());
    const Json Message = {{"node", "n1"}, {"load", {{"s1", 3}}}};
    std::vector<std::uint8_t> Bytes = Json::to_cbor(Message);
    CPPUNIT_ASSERT(parse(Bytes) == Message);
    Bytes.pop_back();
    CPPUNIT_ASSERT(parse(Bytes).is_discarded());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);

} // namespace fulmarwinch
