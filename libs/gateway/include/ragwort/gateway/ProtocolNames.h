//===- ProtocolNames.h - Header names between callers and servers ---------===//
//
// The gateway speaks HTTP with header names of its deployment. An adapter
// fills them in once; no other code spells them.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_PROTOCOLNAMES_H
#define RAGWORT_GATEWAY_PROTOCOLNAMES_H

#include <string>

namespace ragwort::gateway {

/// The defaults are the project's own interface.
struct ProtocolNames {
  /// Names one try of a caller. Servers echo it, which tells a late answer to
  /// another request from this one's.
  std::string RequestId = "Ragwort-Request-Id";
  /// Milliseconds that the sender will still wait.
  std::string TimeLeftMillis = "Ragwort-Time-Left-Ms";
  /// Set to the instance that a request is meant for; another one declines it.
  std::string ExpectedInstance = "Ragwort-Expected-Instance";
  /// Set to the organisation that holds the caller's key.
  std::string Organisation = "Ragwort-Organisation";
  /// Set to how urgent a request is among those that wait at a server.
  std::string Urgency = "Ragwort-Urgency";
  /// Present on a server's statement that it has not run a request.
  std::string NotRun = "Ragwort-Not-Run";
  /// Names the instance that answered.
  std::string AnsweringInstance = "Ragwort-Instance";
  /// Names the instance whose loss made another one decline.
  std::string InstanceAtFault = "Ragwort-Instance-At-Fault";
  /// A server's proof that it made the answer. Successes without it are not
  /// passed on.
  std::string AnswerStamp = "Ragwort-Answer-Stamp";
  /// Id of the last event that a resumed stream's caller has.
  std::string LastEventId = "Last-Event-Id";
  /// Requires a version of the model's weights. Never taken from callers.
  std::string ExpectedWeights = "Ragwort-Expected-Weights";
};

} // namespace ragwort::gateway

#endif
