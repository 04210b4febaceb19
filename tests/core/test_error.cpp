#include "core/error.h"

#include "cppunit/extensions/HelperMacros.h"

#include <string>

namespace fulmarwinch {

/// Tests that a status carries the kind and the message of an error.
class ErrorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ErrorTest);
  CPPUNIT_TEST(statusCarriesKindAndRemedy);
  CPPUNIT_TEST(statusWithoutKindIsInternal);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against losing the kind, which would turn a rejection that the
  /// caller can handle into an unspecific HTTP status 500.
  void statusCarriesKindAndRemedy() {
    for (const EnumName<ErrorKind> &Row : ErrorKindNames) {
      const absl::Status Status = makeError(Row.m_Value, "problem", "remedy");
      CPPUNIT_ASSERT(errorKind(Status) == Row.m_Value);
      CPPUNIT_ASSERT_EQUAL(std::string("problem; remedy"),
                           std::string(Status.message()));
    }
  }

  void statusWithoutKindIsInternal() {
    const absl::Status Status(absl::StatusCode::kAborted, "elsewhere");
    CPPUNIT_ASSERT(errorKind(Status) == ErrorKind::Internal);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ErrorTest);

} // namespace fulmarwinch
