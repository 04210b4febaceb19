#include "core/error.h"

#include "cppunit/extensions/HelperMacros.h"

#include <string>

namespace fulmarwinch {

/// Errors keep their kind and remedy on the way to the caller.
class ErrorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ErrorTest);
  CPPUNIT_TEST(keepsKindAndRemedy);
  CPPUNIT_TEST(foreignErrorIsInternal);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a kind being lost, which would turn a refusal that a
  /// caller can act on into a bare 500.
  void keepsKindAndRemedy() {
    for (const EnumName<ErrorKind> &Row : ErrorKindNames) {
      const absl::Status Status = makeError(Row.m_Value, "problem", "remedy");
      CPPUNIT_ASSERT(errorKind(Status) == Row.m_Value);
      CPPUNIT_ASSERT_EQUAL(std::string("problem; remedy"),
                           std::string(Status.message()));
    }
  }

  void foreignErrorIsInternal() {
    const absl::Status Status(absl::StatusCode::kAborted, "elsewhere");
    CPPUNIT_ASSERT(errorKind(Status) == ErrorKind::Internal);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ErrorTest);

} // namespace fulmarwinch
