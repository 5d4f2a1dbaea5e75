//===- RequestHead.h - Head of a request to a backend server --------------===//
//
// Forwards what the caller sent, apart from the fields that concern only its
// connection and those that the gateway sets itself.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_REQUESTHEAD_H
#define RAGWORT_GATEWAY_REQUESTHEAD_H

#include "ragwort/base/Time.h"
#include "ragwort/gateway/ProtocolNames.h"
#include "ragwort/http/HttpTypes.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwort::gateway {

/// The fields that the gateway sets, whatever the caller sent.
struct SystemFields {
  Duration TimeLeft{0};
  std::string_view Instance;
  /// Empty on public routes.
  std::string_view Organisation;
  /// Set for streams; 0 is the most urgent.
  std::optional<uint32_t> Priority;
  /// The last event that the caller has got in this response, if it has begun.
  std::optional<uint64_t> LastEventId;
};

/// The size of a request to a model; 0 where it is unknown.
struct RequestTokens {
  uint32_t Prompt = 0;
  /// The expected number of answer tokens, at most the greatest allowed.
  uint32_t Answer = 0;
};

RequestTokens readTokens(const http::Request &Message,
                         const ProtocolNames &Names);

/// The request line and the header fields, with the empty line after them.
///
/// \code
///   Socket->write(makeRequestHead(Message, Names, Fields) + Message.Body);
/// \endcode
std::string makeRequestHead(const http::Request &Message,
                            const ProtocolNames &Names,
                            const SystemFields &Fields);

} // namespace ragwort::gateway

#endif
