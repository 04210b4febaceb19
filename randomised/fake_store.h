#ifndef FULMARWINCH_RANDOMISED_FAKE_STORE_H
#define FULMARWINCH_RANDOMISED_FAKE_STORE_H

#include "core/store_messages.h"

#include <map>
#include <string>
#include <variant>

namespace fulmarwinch {

using StoreAnswer = std::variant<GetCompleted, PutCompleted>;

/// In-memory object store with conditional updates. The caller simulates
/// delays and lost messages.
class FakeStore {
public:
  struct Object {
    ObjectVersion m_Version = 0;
    std::string m_Value;
  };

  /// Executes \p Action immediately. A Put or Delete whose expected version
  /// differs from the stored one returns Conflict.
  StoreAnswer execute(const StoreAction &Action);

  const std::map<std::string, Object> &objects() const { return m_Objects; }
  std::size_t writes() const { return m_Writes; }
  std::size_t reads() const { return m_Reads; }

private:
  std::map<std::string, Object> m_Objects;
  ObjectVersion m_LastVersion = 0;
  std::size_t m_Writes = 0;
  std::size_t m_Reads = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_FAKE_STORE_H
