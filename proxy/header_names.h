#ifndef FULMARWINCH_PROXY_HEADER_NAMES_H
#define FULMARWINCH_PROXY_HEADER_NAMES_H

#include <string>

namespace fulmarwinch {

/// Names of the HTTP header fields that the proxy reads or sets. The platform
/// adapter supplies them.
struct HeaderNames {
  /// ID that the client assigns to one attempt of a request.
  std::string m_RequestId;
  /// Time until the sender's deadline for the response, in milliseconds.
  std::string m_DeadlineMs;
  /// API key of the caller's organisation; never forwarded.
  std::string m_ApiKey;
  /// Name of the caller's organisation, set by the proxy.
  std::string m_Organisation;
  /// Model that the request is for.
  std::string m_Model;
  /// Number of prompt tokens and maximum number of output tokens, separated by
  /// a comma.
  std::string m_TokenCounts;
  /// Parts of the prompt in order, as comma-separated entries ID:TOKENS. All
  /// but the last may be shared with other requests.
  std::string m_PromptParts;
  /// The client's estimate of the number of output tokens.
  std::string m_EstimatedOutputTokens;
  /// ID of the backend server that the request is addressed to.
  std::string m_ExpectedServer;
  /// ID of the last stream event that the client received.
  std::string m_LastEventId;
  /// Present in a response if the backend server did not execute the request.
  std::string m_NotExecuted;
  /// Present in all responses of a backend server that leaves.
  std::string m_ServerLeaving;
  /// Requests per second that a backend server takes from all nodes together,
  /// as a decimal number. Present in its responses while it has such a limit.
  std::string m_RateLimit;
  /// ID of the backend server whose failure caused the response.
  std::string m_FailedServer;
  /// Digest with which a client verifies that a response comes unaltered from
  /// the backend server.
  std::string m_ResponseDigest;
  /// Priority with which a backend server admits waiting requests; 0 is the
  /// highest.
  std::string m_Priority;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_HEADER_NAMES_H
