#include "proxy/memory_budget.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

std::size_t MemoryBudget::left() const {
  const std::size_t Own = m_Limit > m_Used ? m_Limit - m_Used : 0;
  return m_Whole ? std::min(Own, m_Whole->left()) : Own;
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

MemoryReservation::~MemoryReservation() {
  if (m_Budget)
    m_Budget->subtract(m_Bytes);
}

bool MemoryReservation::growTo(std::size_t Bytes) {
  if (!m_Budget || Bytes <= m_Bytes)
    return true;
  if (Bytes - m_Bytes > m_Budget->left())
    return false;
  set(Bytes);
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
