#ifndef FULMARWINCH_PROXY_MEMORY_BUDGET_H
#define FULMARWINCH_PROXY_MEMORY_BUDGET_H

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace fulmarwinch {

/// Bytes that a node may hold in memory for one purpose. May be used from any
/// thread.
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

  /// Adds \p Bytes unless less than \p Spare bytes were left then.
  bool tryAdd(std::size_t Bytes, std::size_t Spare);
  void add(std::size_t Bytes);
  void subtract(std::size_t Bytes);

  std::atomic<std::size_t> m_Limit;
  std::atomic<std::size_t> m_Used{0};
  std::shared_ptr<MemoryBudget> m_Whole;
};

/// Part of a memory budget, which is returned at the end of the object's life.
class MemoryReservation {
public:
  /// Without a budget, any size can be reserved.
  MemoryReservation() = default;
  explicit MemoryReservation(std::shared_ptr<MemoryBudget> Budget);
  ~MemoryReservation();
  MemoryReservation(const MemoryReservation &) = delete;
  MemoryReservation &operator=(const MemoryReservation &) = delete;
  MemoryReservation(MemoryReservation &&Other) noexcept;
  MemoryReservation &operator=(MemoryReservation &&Other) noexcept;

  /// Increases the reservation to \p Bytes unless it is larger. Returns false,
  /// and changes nothing, if the budget does not allow it or would then have
  /// less than \p Spare bytes left.
  bool growTo(std::size_t Bytes, std::size_t Spare = 0);
  /// Sets the reservation to \p Bytes, which are held already, also beyond the
  /// limit of the budget.
  void set(std::size_t Bytes);
  std::size_t bytes() const { return m_Bytes; }

private:
  std::shared_ptr<MemoryBudget> m_Budget;
  std::size_t m_Bytes = 0;
};

/// Bytes together with the memory that is reserved for them.
struct ReservedBytes {
  std::string m_Bytes;
  MemoryReservation m_Reservation;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_MEMORY_BUDGET_H
