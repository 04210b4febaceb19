#ifndef FULMARWINCH_PROXY_MEMORY_BUDGET_H
#define FULMARWINCH_PROXY_MEMORY_BUDGET_H

#include <cstddef>
#include <memory>

namespace fulmarwinch {

/// Bytes that a node may hold in memory for one purpose. Used by one thread
/// only.
class MemoryBudget {
public:
  /// What is reserved also counts in \p Whole, of which this budget is a part;
  /// null if it is no part of another one.
  explicit MemoryBudget(std::size_t Limit,
                        std::shared_ptr<MemoryBudget> Whole = nullptr)
      : m_Limit(Limit), m_Whole(std::move(Whole)) {}

  void setLimit(std::size_t Limit) { m_Limit = Limit; }
  std::size_t limit() const { return m_Limit; }
  std::size_t used() const { return m_Used; }

private:
  friend class MemoryReservation;

  /// Bytes that can still be reserved.
  std::size_t left() const;
  void add(std::size_t Bytes);
  void subtract(std::size_t Bytes);

  std::size_t m_Limit;
  std::size_t m_Used = 0;
  std::shared_ptr<MemoryBudget> m_Whole;
};

/// Part of a memory budget, which is returned at the end of the object's life.
class MemoryReservation {
public:
  /// Without a budget, any size can be reserved.
  explicit MemoryReservation(std::shared_ptr<MemoryBudget> Budget = nullptr);
  ~MemoryReservation();
  MemoryReservation(const MemoryReservation &) = delete;
  MemoryReservation &operator=(const MemoryReservation &) = delete;

  /// Increases the reservation to \p Bytes unless it is larger. Returns false,
  /// and changes nothing, if the budget does not allow it.
  bool growTo(std::size_t Bytes);
  /// Sets the reservation to \p Bytes, which are held already, also beyond the
  /// limit of the budget.
  void set(std::size_t Bytes);
  std::size_t bytes() const { return m_Bytes; }

private:
  std::shared_ptr<MemoryBudget> m_Budget;
  std::size_t m_Bytes = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_MEMORY_BUDGET_H
