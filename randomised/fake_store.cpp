#include "randomised/fake_store.h"

namespace fulmarwinch {

StoreAnswer FakeStore::execute(const StoreAction &Action) {
  if (const auto *Get = std::get_if<GetObject>(&Action)) {
    ++m_Reads;
    const auto Object = m_Objects.find(Get->m_Key);
    if (Object == m_Objects.end())
      return GetCompleted{Get->m_Id, StoreOutcome::NotFound, 0, ""};
    return GetCompleted{Get->m_Id, StoreOutcome::Applied,
                        Object->second.m_Version, Object->second.m_Value};
  }
  ++m_Writes;
  if (const auto *Put = std::get_if<PutObject>(&Action)) {
    const auto Object = m_Objects.find(Put->m_Key);
    const ObjectVersion StoredVersion =
        Object == m_Objects.end() ? 0 : Object->second.m_Version;
    if (StoredVersion != Put->m_ExpectedVersion)
      return PutCompleted{Put->m_Id, StoreOutcome::Conflict, StoredVersion};
    m_Objects[Put->m_Key] = {++m_LastVersion, Put->m_Value};
    return PutCompleted{Put->m_Id, StoreOutcome::Applied, m_LastVersion};
  }
  const auto &Delete = std::get<DeleteObject>(Action);
  const auto Object = m_Objects.find(Delete.m_Key);
  if (Object == m_Objects.end())
    return PutCompleted{Delete.m_Id, StoreOutcome::NotFound, 0};
  if (Object->second.m_Version != Delete.m_ExpectedVersion)
    return PutCompleted{Delete.m_Id, StoreOutcome::Conflict,
                        Object->second.m_Version};
  m_Objects.erase(Object);
  return PutCompleted{Delete.m_Id, StoreOutcome::Applied, 0};
}

} // namespace fulmarwinch
