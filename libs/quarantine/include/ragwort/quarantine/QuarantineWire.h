//===- QuarantineWire.h - Encoding of what nodes tell of quarantines ------===//
#ifndef RAGWORT_QUARANTINE_QUARANTINEWIRE_H
#define RAGWORT_QUARANTINE_QUARANTINEWIRE_H

#include "ragwort/quarantine/RequestQuarantine.h"
#include <absl/status/statusor.h>

namespace ragwort::quarantine {

/// \returns one datagram for each kind of entry that \p Digest has, each of at
/// most 1,400 bytes.
std::vector<std::string> encodeQuarantine(const QuarantineDigest &Digest);
/// Never throws. Fails on truncated, oversized and unrelated datagrams.
absl::StatusOr<QuarantineDigest> decodeQuarantine(std::string_view Datagram,
                                                  size_t MaxDatagramBytes);

} // namespace ragwort::quarantine

#endif
