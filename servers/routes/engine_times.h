#ifndef FULMARWINCH_SERVERS_ROUTES_ENGINE_TIMES_H
#define FULMARWINCH_SERVERS_ROUTES_ENGINE_TIMES_H

#include "servers/routes/traffic_configuration.h"

namespace fulmarwinch {

/// Duration of the token steps of one pass of a full batch of \p Model.
Duration writingTimeOfPass(const EngineSpec &Engine, const std::string &Model);

/// Time by which \p PromptTokens lengthen the queue of prompts of a batch that
/// writes as well: each pass reads one chunk and then takes its token steps.
Duration readingTime(const EngineSpec &Engine, const std::string &Model,
                     std::uint64_t PromptTokens);

} // namespace fulmarwinch

#endif // FULMARWINCH_SERVERS_ROUTES_ENGINE_TIMES_H
