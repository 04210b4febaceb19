#ifndef FULMARWINCH_SERVERS_ROUTES_ENGINE_TIMES_H
#define FULMARWINCH_SERVERS_ROUTES_ENGINE_TIMES_H

#include "servers/routes/traffic_configuration.h"

namespace fulmarwinch {

/// Returns the time of the decode steps in one pass of a full batch of
/// \p Model.
Duration decodeTimePerPass(const EngineSpec &Engine, const std::string &Model);

/// Returns the time that the prefill of \p PromptTokens takes alone, without
/// the decode steps of the passes in which it is done.
Duration chunkPrefillTime(const EngineSpec &Engine, const std::string &Model,
                          std::uint64_t PromptTokens);

/// Returns the time by which the prefill of \p PromptTokens extends the prefill
/// backlog of a group that also decodes. With chunked prefill, each pass
/// prefills one chunk and then runs its decode steps, which count as well.
Duration prefillTime(const EngineSpec &Engine, const std::string &Model,
                     std::uint64_t PromptTokens);

/// Returns the part of a group's time that a request of \p Model takes if the
/// batch is full: its prefill, its part of the decode steps and its share of
/// the passes. The time is the work of the request in group-seconds.
Duration groupTime(const EngineSpec &Engine, const std::string &Model,
                   std::uint64_t PromptTokens, std::uint64_t OutputTokens);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTES_ENGINE_TIMES_H
