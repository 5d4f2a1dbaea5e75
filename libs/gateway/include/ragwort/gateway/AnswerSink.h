//===- AnswerSink.h - Receives the answer to a request --------------------===//
#ifndef RAGWORT_GATEWAY_ANSWERSINK_H
#define RAGWORT_GATEWAY_ANSWERSINK_H

#include "ragwort/base/Time.h"
#include "ragwort/dispatch/CallerPace.h"
#include "ragwort/http/HttpTypes.h"
#include <optional>
#include <string>
#include <string_view>

namespace ragwort::gateway {

/// A refusal or failure that the gateway answers itself.
struct LocalReply {
  unsigned Status = 503;
  std::string_view Reason;
  std::optional<Duration> RetryAfter;
  /// For the log only.
  std::string Detail = {};
};

/// Receives the answer to a request, on behalf of the caller. Once
/// beginStream() was called, only endStream() or cut() may end the answer.
class AnswerSink {
public:
  virtual ~AnswerSink() = default;
  virtual void sendLocalReply(const LocalReply &A) = 0;
  virtual void sendResponse(const http::ResponseHead &Head,
                            std::string_view Body) = 0;
  virtual void beginStream(const http::ResponseHead &Head) = 0;
  virtual void continueStream(std::string_view Bytes) = 0;
  virtual void endStream() = 0;
  /// Closes the connection, so that the caller detects the incomplete answer.
  virtual void cut() = 0;
  /// Bytes that have not been written to the caller's connection yet.
  virtual size_t unsent() const = 0;
  /// How the caller reads, as of now.
  virtual dispatch::CallerPace &pace() = 0;
};

} // namespace ragwort::gateway

#endif
