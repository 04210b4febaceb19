#include "proxy/memory_budget.h"

namespace fulmarwinch {

bool MemoryBudget::tryAdd(std::size_t Bytes, std::size_t Spare) {
  const std::size_t Limit = m_Limit;
  std::size_t Used = m_Used;
  do {
    if (Used > Limit || Limit - Used < Bytes || Limit - Used - Bytes < Spare)
      return false;
  } while (!m_Used.compare_exchange_weak(Used, Used + Bytes));
  if (!m_Whole || m_Whole->tryAdd(Bytes, Spare))
    return true;
  m_Used -= Bytes;
  return false;
}

void MemoryBudget::add(std::size_t Bytes) {
  m_Used += Bytes;
  if (m_Whole)
    m_Whole->add(Bytes);
}

void MemoryBudget::subtract(std::size_t Bytes) {
  m_Used -= Bytes;
  if (m_Whole)
    m_Whole->subtract(Bytes);
}

MemoryReservation::MemoryReservation(std::shared_ptr<MemoryBudget> Budget)
    : m_Budget(std::move(Budget)) {}

MemoryReservation::~MemoryReservation() { set(0); }

MemoryReservation::MemoryReservation(MemoryReservation &&Other) noexcept
    : m_Budget(Other.m_Budget), m_Bytes(std::exchange(Other.m_Bytes, 0)) {}

MemoryReservation &
MemoryReservation::operator=(MemoryReservation &&Other) noexcept {
  if (this != &Other) {
    set(0);
    m_Budget = Other.m_Budget;
    m_Bytes = std::exchange(Other.m_Bytes, 0);
  }
  return *this;
}

bool MemoryReservation::growTo(std::size_t Bytes, std::size_t Spare) {
  if (!m_Budget || Bytes <= m_Bytes)
    return true;
  if (!m_Budget->tryAdd(Bytes - m_Bytes, Spare))
    return false;
  m_Bytes = Bytes;
  return true;
}

void MemoryReservation::set(std::size_t Bytes) {
  if (m_Budget && Bytes > m_Bytes)
    m_Budget->add(Bytes - m_Bytes);
  else if (m_Budget)
    m_Budget->subtract(m_Bytes - Bytes);
  m_Bytes = Bytes;
}

} // namespace fulmarwinch
