#include "randomised/fake_store.h"

namespace fulmarwinch {

StoreResponse FakeStore::execute(const StoreAction &Action) {
  StoreResponse Response = executeInThisEra(Action);
  std::visit([this](auto &Completed) { Completed.m_Era = era(); }, Response);
  return Response;
}

void FakeStore::returnFrom(const FakeStore &Copy) {
  const StoreEra Next = era() + 1;
  m_Objects = Copy.m_Objects;
  m_LastVersion = {Next, Copy.m_LastVersion.m_Revision};
  for (auto &[Key, Stored] : m_Objects)
    Stored.m_Version.m_Era = Next;
}

StoreResponse FakeStore::executeInThisEra(const StoreAction &Action) {
  if (const auto *Get = std::get_if<GetObject>(&Action)) {
    ++m_ReadCount;
    const auto Object = m_Objects.find(Get->m_Key);
    if (Object == m_Objects.end())
      return GetCompleted{Get->m_Id, StoreOutcome::NotFound, 0, ""};
    return GetCompleted{Get->m_Id, StoreOutcome::Succeeded,
                        Object->second.m_Version, Object->second.m_Value};
  }
  ++m_WriteCount;
  if (const auto *Put = std::get_if<PutObject>(&Action)) {
    const auto Object = m_Objects.find(Put->m_Key);
    const ObjectVersion StoredVersion =
        Object == m_Objects.end() ? ObjectVersion() : Object->second.m_Version;
    if (StoredVersion.m_Revision != Put->m_ExpectedVersion.m_Revision)
      return WriteCompleted{Put->m_Id, StoreOutcome::Conflict, StoredVersion};
    m_LastVersion = m_LastVersion.next();
    m_Objects[Put->m_Key] = {m_LastVersion, Put->m_Value};
    return WriteCompleted{Put->m_Id, StoreOutcome::Succeeded, m_LastVersion};
  }
  const auto &Delete = std::get<DeleteObject>(Action);
  const auto Object = m_Objects.find(Delete.m_Key);
  if (Object == m_Objects.end())
    return WriteCompleted{Delete.m_Id, StoreOutcome::NotFound, 0};
  if (Object->second.m_Version.m_Revision !=
      Delete.m_ExpectedVersion.m_Revision)
    return WriteCompleted{Delete.m_Id, StoreOutcome::Conflict,
                          Object->second.m_Version};
  m_Objects.erase(Object);
  return WriteCompleted{Delete.m_Id, StoreOutcome::Succeeded, 0};
}

} // namespace fulmarwinch
