#include "proxy/placement_notices.h"

namespace fulmarwinch {

void reportPlacement(RequestRelayContext &Context) {
  ServerSpeed &Speed = Context.m_Selector.speed();
  for (const SpeedChange &Change : Speed.takeChanges()) {
    if (Change.m_Slowness > 1.0)
      Context.m_Metrics.increment("servers_found_slow_total");
    Context.m_Log.write("server_speed",
                        {{"server", Change.m_Server},
                         {"slowness", Change.m_Slowness},
                         {"own_samples", Change.m_OwnWeight},
                         {"peer_samples", Change.m_PeerWeight}});
  }
  Context.m_Metrics.setGauge("servers_slow",
                             static_cast<double>(Speed.slowServerCount()));
  Context.m_Metrics.setGauge(
      "tokens_held",
      static_cast<double>(Context.m_Selector.heldTokens().ownTotal()));
}

} // namespace fulmarwinch
