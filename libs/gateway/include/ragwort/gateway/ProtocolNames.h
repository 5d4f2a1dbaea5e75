//===- ProtocolNames.h - Names of the HTTP headers of a deployment --------===//
//
// Each deployment has its own header names between callers, gateway and backend
// servers. An adapter sets them here once, so that no other code contains them.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_PROTOCOLNAMES_H
#define RAGWORT_GATEWAY_PROTOCOLNAMES_H

#include <string>

namespace ragwort::gateway {

/// The defaults are the header names of the project's own HTTP interface.
struct ProtocolNames {
  /// Identifies one attempt of a caller. Servers echo it, so that a late
  /// response to another request is not mistaken for the response to this one.
  std::string RequestId = "Ragwort-Request-Id";
  /// Remaining time that the sender will wait, in milliseconds.
  std::string TimeLeftMillis = "Ragwort-Time-Left-Ms";
  /// Id of the instance that the request is for. Any other instance declines
  /// it.
  std::string ExpectedInstance = "Ragwort-Expected-Instance";
  /// Name of the organisation to which the caller's key belongs.
  std::string Organisation = "Ragwort-Organisation";
  /// Urgency among the requests that wait at a server, 0 (most urgent) to 9.
  std::string Urgency = "Ragwort-Urgency";
  /// Present in a response that states that the server has not run the request.
  std::string NotRun = "Ragwort-Not-Run";
  /// Id of the instance that responded.
  std::string AnsweringInstance = "Ragwort-Instance";
  /// Id of the instance whose loss caused another one to decline the request.
  std::string InstanceAtFault = "Ragwort-Instance-At-Fault";
  /// A server's proof that it produced the response. Successful responses
  /// without it are not forwarded.
  std::string AnswerStamp = "Ragwort-Answer-Stamp";
  /// "1" in each response of a server that is leaving.
  std::string Leaving = "Ragwort-Leaving";
  /// The requests per second that a server takes from all nodes together, in
  /// each of its responses while it needs the limit.
  std::string RateLimit = "Ragwort-Rate-Limit";
  /// Id of the last event that the caller of a resumed stream has received.
  std::string LastEventId = "Last-Event-Id";
  /// Number of prompt tokens and greatest number of answer tokens, separated by
  /// a comma.
  std::string TokenCounts = "Ragwort-Token-Counts";
  /// The caller's estimate of the number of answer tokens.
  std::string LengthHint = "Ragwort-Length-Hint";
  /// The parts of the request's prompt in order, as a comma-separated list.
  std::string PromptParts = "Ragwort-Prompt-Parts";
  /// Version of the model's weights that the request requires. Never accepted
  /// from callers.
  std::string ExpectedWeights = "Ragwort-Expected-Weights";
};

} // namespace ragwort::gateway

#endif
