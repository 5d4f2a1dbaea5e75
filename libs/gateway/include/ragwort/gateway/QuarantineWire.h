//===- QuarantineWire.h - Encoding of what nodes tell of quarantines ------===//
#ifndef RAGWORT_GATEWAY_QUARANTINEWIRE_H
#define RAGWORT_GATEWAY_QUARANTINEWIRE_H

#include "ragwort/gateway/PromptQuarantine.h"
#include <absl/status/statusor.h>

namespace ragwort::gateway {

/// \returns one datagram for each kind of entry that \p Digest has, each of at
/// most MaxPeerDatagramBytes.
std::vector<std::string> encodeQuarantine(const QuarantineDigest &Digest);
/// Never throws. Fails on truncated, oversized and unrelated datagrams.
absl::StatusOr<QuarantineDigest> decodeQuarantine(std::string_view Datagram);

} // namespace ragwort::gateway

#endif
