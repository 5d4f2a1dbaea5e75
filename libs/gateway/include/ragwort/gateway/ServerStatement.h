//===- ServerStatement.h - What a response says of its server -------------===//
//
// Beside the answer itself, the head of a response states how its server is
// doing. Read here without deciding what follows from it.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_SERVERSTATEMENT_H
#define RAGWORT_GATEWAY_SERVERSTATEMENT_H

#include "ragwort/base/HeaderField.h"
#include "ragwort/base/Time.h"
#include "ragwort/gateway/ProtocolNames.h"
#include "ragwort/http/HttpTypes.h"
#include <optional>
#include <string_view>
#include <vector>

namespace ragwort::gateway {

inline constexpr unsigned StatusMisdirected = 421;
inline constexpr unsigned StatusUnavailable = 503;

struct ServerStatement {
  /// Another instance has the server's address now and has declined.
  bool IsReplaced = false;
  /// The server is leaving.
  bool IsLeaving = false;
  /// The server asks this node to send it nothing for this time.
  std::optional<Duration> Pause;
  /// Requests per second that it takes from all nodes together.
  std::optional<double> RateLimit;
  /// Whether the response shows if the server has a rate limit. One to a
  /// request that it did not run may come without.
  bool IsRateLimitKnown = false;
  /// Fields that cannot be understood.
  HeaderFields Malformed;
};

/// Reads the response of the server \p Instance.
///
/// \code
///   ServerStatement Stated = readStatement(Parser.head(), Names, Server.Id);
///   if (Stated.IsLeaving) ...
/// \endcode
ServerStatement readStatement(const http::ResponseHead &Head,
                              const ProtocolNames &Names,
                              std::string_view Instance);

/// The time for which the server keeps an idle connection open; 0 if it does
/// not say.
Duration keepAliveTime(const http::ResponseHead &Head);

} // namespace ragwort::gateway

#endif
