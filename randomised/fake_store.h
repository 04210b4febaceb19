#ifndef FULMARWINCH_RANDOMISED_FAKE_STORE_H
#define FULMARWINCH_RANDOMISED_FAKE_STORE_H

#include "core/store_messages.h"

#include <map>
#include <string>
#include <variant>

namespace fulmarwinch {

using StoreResponse = std::variant<GetCompleted, WriteCompleted>;

/// In-memory object store with conditional updates. It names no era before it
/// first returns from a copy. The caller simulates
/// delays and lost messages.
class FakeStore {
public:
  struct Object {
    ObjectVersion m_Version;
    std::string m_Value;
  };

  /// Executes \p Action immediately. A Put or Delete whose expected version
  /// differs from the stored one returns Conflict.
  StoreResponse execute(const StoreAction &Action);

  /// Begins a new era with the objects and the last version of \p Copy, an
  /// earlier state of this store.
  void returnFrom(const FakeStore &Copy);
  StoreEra era() const { return m_LastVersion.m_Era; }

  const std::map<std::string, Object> &objects() const { return m_Objects; }
  std::size_t writeCount() const { return m_WriteCount; }
  std::size_t readCount() const { return m_ReadCount; }

private:
  StoreResponse executeInThisEra(const StoreAction &Action);

  std::map<std::string, Object> m_Objects;
  ObjectVersion m_LastVersion;
  std::size_t m_WriteCount = 0;
  std::size_t m_ReadCount = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_FAKE_STORE_H
