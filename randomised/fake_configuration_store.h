#ifndef FULMARWINCH_RANDOMISED_FAKE_CONFIGURATION_STORE_H
#define FULMARWINCH_RANDOMISED_FAKE_CONFIGURATION_STORE_H

#include "core/store_messages.h"
#include "core/time.h"
#include "servers/configuration/configuration_head.h"
#include "servers/configuration/configuration_view.h"
#include "servers/configuration/configuration_writer.h"
#include "servers/configuration/replica_messages.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace fulmarwinch {

/// In-memory object store with conditional updates, stale reads, lost write
/// responses, delayed writes and outages. It also records the history of
/// accepted configuration changes and throws std::logic_error if a stored head
/// contradicts it.
class FakeConfigurationStore {
public:
  bool m_IsUnavailable = false;
  /// Probability that a read returns an older version of the object.
  double m_StaleReadProbability = 0;
  /// Probability that the store processes a write but its response is lost, so
  /// that the caller gets the outcome Unknown.
  double m_LostWriteResponseProbability = 0;
  /// Probability that a write returns the outcome Unknown and is applied only
  /// at the time of a later write.
  double m_DelayedWriteProbability = 0;

  GetCompleted get(const GetObject &Call, std::mt19937_64 &Random);
  WriteCompleted put(const PutObject &Call, MonotonicTime Now,
                     std::mt19937_64 &Random);
  std::uint64_t revision() const { return m_Revision; }
  /// Returns the version of the configuration head if it changed after the
  /// store revision \p Since, else 0.
  ObjectVersion headVersionIfChangedSince(StorePosition Since) const;
  ObjectVersion versionOf(const std::string &Key) const;
  std::string valueOf(const std::string &Key) const;

  struct AcceptedChange {
    MonotonicTime m_AcceptedAt;
    ConfigurationChange m_Change;
    std::uint64_t m_ContentHash = 0;
  };
  /// Accepted changes by revision, starting with revision 1.
  const std::vector<AcceptedChange> &history() const { return m_History; }
  /// Requests of the writers by plan ID. When the store accepts a change of a
  /// listed plan, each of its entries must still have the base revision that
  /// the request names.
  std::map<std::string, ProposedChange> m_RequestsByPlan;
  std::uint64_t m_ReadCount = 0;
  std::uint64_t m_WriteCount = 0;

private:
  struct StoredVersion {
    ObjectVersion m_Version;
    StorePosition m_StorePosition = 0;
    std::string m_Value;
  };
  bool applyWrite(const PutObject &Call, MonotonicTime Now);
  void requireHeadMatchesHistory(const ConfigurationHead &Head) const;
  void requireBaseRevisions(const ConfigurationChange &Change) const;
  void recordAcceptedHead(const std::string &Value, MonotonicTime Now);

  std::map<std::string, std::vector<StoredVersion>> m_Objects;
  std::uint64_t m_Revision = 0;
  std::vector<AcceptedChange> m_History;
  ConfigurationView::Pointer m_AcceptedView = ConfigurationView::makeEmpty();
  /// Writes that returned the outcome Unknown and are not applied yet.
  std::vector<PutObject> m_DelayedWrites;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_RANDOMISED_FAKE_CONFIGURATION_STORE_H
