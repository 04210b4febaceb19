#include "randomised/fake_store.h"

namespace fulmarwinch {

StoreAnswer FakeStore::execute(const StoreAction &Action) {
  if (const auto *Get = std::get_if<GetObject>(&Action)) {
    ++m_Reads;
    const auto Found = m_Objects.find(Get->m_Key);
    if (Found == m_Objects.end())
      return GetCompleted{Get->m_Id, StoreOutcome::NotFound, 0, ""};
    return GetCompleted{Get->m_Id, StoreOutcome::Applied,
                        Found->second.m_Version, Found->second.m_Value};
  }
  ++m_Writes;
  if (const auto *Put = std::get_if<PutObject>(&Action)) {
    const auto Found = m_Objects.find(Put->m_Key);
    const ObjectVersion Current =
        Found == m_Objects.end() ? 0 : Found->second.m_Version;
    if (Current != Put->m_ExpectedVersion)
      return PutCompleted{Put->m_Id, StoreOutcome::Conflict, Current};
    m_Objects[Put->m_Key] = {++m_LastVersion, Put->m_Value};
    return PutCompleted{Put->m_Id, StoreOutcome::Applied, m_LastVersion};
  }
  const auto &Delete = std::get<DeleteObject>(Action);
  const auto Found = m_Objects.find(Delete.m_Key);
  if (Found == m_Objects.end())
    return PutCompleted{Delete.m_Id, StoreOutcome::NotFound, 0};
  if (Found->second.m_Version != Delete.m_ExpectedVersion)
    return PutCompleted{Delete.m_Id, StoreOutcome::Conflict,
                        Found->second.m_Version};
  m_Objects.erase(Found);
  return PutCompleted{Delete.m_Id, StoreOutcome::Applied, 0};
}

} // namespace fulmarwinch
