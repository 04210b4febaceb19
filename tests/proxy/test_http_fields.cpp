#include "proxy/http_fields.h"
#include "tests/support/processor_time.h"

#include "cppunit/extensions/HelperMacros.h"

#include <string>

namespace fulmarwinch {

/// Header fields that a proxy forwards.
class HttpFieldsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpFieldsTest);
  CPPUNIT_TEST(connectionOptionsAreNotForwarded);
  CPPUNIT_TEST(costGrowsWithTheSizeOfTheHead);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a field of one connection that reaches the next one, in any
  /// spelling.
  void connectionOptionsAreNotForwarded() {
    const HttpHeaders Forwarded =
        endToEndHeaders({{"CONNECTION", "close, X-One"},
                         {"x-one", "1"},
                         {"X-Two", "2"},
                         {"Connection", " x-THREE ,"},
                         {"X-Three", "3"},
                         {"Keep-Alive", "timeout=5"},
                         {"Content-Length", "4"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Forwarded.size());
    CPPUNIT_ASSERT_EQUAL(std::string("X-Two"), Forwarded.front().m_Name);
  }

  /// Returns the cost of a head with \p Count connection options and fields.
  static double cost(int Count) {
    HttpHeaders Headers;
    std::string Options;
    for (int I = 0; I < Count; ++I) {
      Headers.push_back({"a" + std::to_string(I), ""});
      Options += "b" + std::to_string(I) + ",";
    }
    Headers.push_back({"Connection", Options});
    return leastProcessorTime([&] {
      for (int I = 0; I < 20; ++I)
        endToEndHeaders(Headers);
    });
  }

  /// Guards against a head within the limit that takes the event loop as long
  /// as the square of its size.
  void costGrowsWithTheSizeOfTheHead() {
    constexpr int Growth = 16;
    CPPUNIT_ASSERT(cost(Growth * 100) < 4 * Growth * cost(100));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpFieldsTest);

} // namespace fulmarwinch
