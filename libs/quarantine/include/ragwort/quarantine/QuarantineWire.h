//===- QuarantineWire.h - Encoding of what nodes tell of quarantines ------===//
#ifndef RAGWORT_QUARANTINE_QUARANTINEWIRE_H
#define RAGWORT_QUARANTINE_QUARANTINEWIRE_H

#include "ragwort/quarantine/RequestQuarantine.h"
#include <absl/status/statusor.h>

namespace ragwort::quarantine {

/// \returns datagrams of at most \p MaxDatagramBytes, none if \p Digest is
/// empty. The limit must leave room for MaxDigestEntries entries without lists.
std::vector<std::string> encodeQuarantine(const QuarantineDigest &Digest,
                                          size_t MaxDatagramBytes);
/// Never throws. Fails on truncated, oversized and unrelated datagrams.
absl::StatusOr<QuarantineDigest> decodeQuarantine(std::string_view Datagram,
                                                  size_t MaxDatagramBytes);

} // namespace ragwort::quarantine

#endif
