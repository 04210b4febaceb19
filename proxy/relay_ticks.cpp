#include "proxy/relay_ticks.h"
#include "proxy/request_relay.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fulmarwinch {

void tickActiveRequests(RequestRelayContext &Context, MonotonicTime Now) {
  std::vector<std::shared_ptr<RequestRelay>> Sent;
  std::vector<std::pair<WaitingRank, std::shared_ptr<RequestRelay>>> Waiting;
  Sent.reserve(Context.m_ActiveRequests.size());
  for (const std::shared_ptr<RequestRelay> &Relay : Context.m_ActiveRequests) {
    if (const auto Rank = Relay->waitingRank())
      Waiting.emplace_back(*Rank, Relay);
    else
      Sent.push_back(Relay);
  }
  for (const std::shared_ptr<RequestRelay> &Relay : Sent)
    Relay->tick(Now);
  std::stable_sort(Waiting.begin(), Waiting.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  Context.m_FullPools.beginTick();
  for (const auto &[Rank, Relay] : Waiting)
    Relay->tick(Now);
}

} // namespace fulmarwinch
