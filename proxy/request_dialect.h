#ifndef FULMARWINCH_PROXY_REQUEST_DIALECT_H
#define FULMARWINCH_PROXY_REQUEST_DIALECT_H

#include <string>

namespace fulmarwinch {

/// Names of the header fields with a meaning for the proxy. The adapter of a
/// platform fills them in.
struct RequestDialect {
  /// Identifies one client attempt.
  std::string m_RequestId;
  /// How long the sender of a request will wait, in milliseconds.
  std::string m_TimeLeftMs;
  /// Key of the caller's organisation; never passed on.
  std::string m_Key;
  /// Name of the caller's organisation, set by the proxy.
  std::string m_Organisation;
  std::string m_Model;
  /// Prompt tokens and the bound on output tokens, separated by a comma.
  std::string m_TokenCounts;
  /// The client's estimate of the output tokens.
  std::string m_LengthHint;
  /// ID of the backend server that a request is meant for.
  std::string m_ExpectedServer;
  std::string m_LastEventId;
  /// Present in a response if the request was not run.
  std::string m_NotRun;
  /// Backend server whose failure caused the response.
  std::string m_ServerAtFault;
  /// Digest by which a client checks that a response is the server's.
  std::string m_ResponseDigest;
  /// Order in which a backend server admits requests; 0 is first.
  std::string m_Urgency;
};

} // namespace fulmarwinch

#endif // FULMARWINCH_PROXY_REQUEST_DIALECT_H
