#ifndef FULMARWINCH_RANDOMISED_EVENT_LOG_H
#define FULMARWINCH_RANDOMISED_EVENT_LOG_H

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace fulmarwinch {

/// Records the events of one randomised run: a hash over all events, the text
/// of the last KeptEvents events, counts by kind, and the first violation of an
/// invariant.
class EventLog {
public:
  static constexpr std::size_t KeptEvents = 25;

  /// Sets the step number that the following events are recorded with.
  void setStep(std::uint64_t Step) { m_Step = Step; }
  void add(const std::string &Kind, const std::string &Text);
  /// Counts an event without adding it to the hash or to the last events.
  void count(const std::string &Kind) { ++m_Counts[Kind]; }
  /// Records the first violation; later calls have no effect.
  void recordViolation(const std::string &Invariant, const std::string &Text);

  std::uint64_t hash() const { return m_Hash; }
  const std::map<std::string, std::uint64_t> &counts() const {
    return m_Counts;
  }
  const std::deque<std::string> &lastEvents() const { return m_LastEvents; }
  bool isViolated() const { return !m_Violation.empty(); }
  const std::string &violation() const { return m_Violation; }
  const std::string &invariant() const { return m_Invariant; }

private:
  std::uint64_t m_Step = 0;
  std::uint64_t m_Hash = 0;
  std::map<std::string, std::uint64_t> m_Counts;
  std::deque<std::string> m_LastEvents;
  std::string m_Violation;
  std::string m_Invariant;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_EVENT_LOG_H
