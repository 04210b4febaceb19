#ifndef FULMARWINCH_PROXY_STORE_SESSION_H
#define FULMARWINCH_PROXY_STORE_SESSION_H

#include "core/event_log.h"
#include "core/metrics.h"
#include "core/object_feed.h"
#include "proxy/platform_binding.h"

#include "asio/io_context.hpp"

#include <functional>
#include <string>

namespace fulmarwinch {

/// All calls of this process to the platform's store. Notices from the answers
/// when the store has returned from a copy, and keeps what belongs to an
/// earlier era from its callers: an answer from before the restoration counts
/// as missing, and a write whose condition names an object of an earlier era is
/// not sent, since the number may be that of an object which its caller never
/// read.
class StoreSession : public ObjectFeed {
public:
  /// Called with the new era.
  using RestorationHandler = std::function<void(StoreEra)>;

  /// \p Loop, \p Platform, \p Log and \p Counters must outlive the session.
  StoreSession(asio::io_context &Loop, const PlatformBinding &Platform,
               EventLog &Log, Metrics &Counters);

  /// Returns \p Platform with the calls of this session in place of its own.
  PlatformBinding bind(PlatformBinding Platform);
  void setOnRestored(RestorationHandler OnRestored) {
    m_OnRestored = std::move(OnRestored);
  }
  /// Latest era that an answer has named; 0 if none has.
  StoreEra era() const { return m_Era; }

  void list(const std::string &Kind,
            std::function<void(ObjectsListed)> Done) override;
  void watch(const std::string &Kind, StorePosition Since, Duration Wait,
             std::function<void(ObjectsWatched)> Done) override;
  /// Starts one read or conditional write.
  void start(StoreAction Action, std::function<void(StoreCompletion)> Done);

private:
  void onEraNamed(StoreEra Era);
  bool isOutdated(StoreEra Era) const { return Era != 0 && Era < m_Era; }

  asio::io_context &m_Loop;
  const PlatformBinding &m_Platform;
  EventLog &m_Log;
  Metrics &m_Counters;
  RestorationHandler m_OnRestored;
  StoreEra m_Era = 0;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_STORE_SESSION_H
