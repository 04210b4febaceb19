#ifndef FULMARWINCH_RANDOMISED_EVENT_LOG_H
#define FULMARWINCH_RANDOMISED_EVENT_LOG_H

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace fulmarwinch {

/// Events of one randomised run: a hash over all of them, the last ones in
/// full, counts by kind, and the first violation.
class EventLog {
public:
  static constexpr std::size_t KeptEvents = 25;

  void setStep(std::uint64_t Step) { m_Step = Step; }
  void add(const std::string &Kind, const std::string &Text);
  /// Counts an event that needs no text of its own.
  void count(const std::string &Kind) { ++m_Counts[Kind]; }
  void violate(const std::string &Invariant, const std::string &Text);

  std::uint64_t hash() const { return m_Hash; }
  const std::map<std::string, std::uint64_t> &counts() const {
    return m_Counts;
  }
  const std::deque<std::string> &last() const { return m_Last; }
  bool isViolated() const { return !m_Violation.empty(); }
  const std::string &violation() const { return m_Violation; }
  const std::string &invariant() const { return m_Invariant; }

private:
  std::uint64_t m_Step = 0;
  std::uint64_t m_Hash = 0;
  std::map<std::string, std::uint64_t> m_Counts;
  std::deque<std::string> m_Last;
  std::string m_Violation;
  std::string m_Invariant;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_EVENT_LOG_H
