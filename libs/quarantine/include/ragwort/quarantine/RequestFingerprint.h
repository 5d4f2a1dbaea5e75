//===- RequestFingerprint.h - Recognises a request that comes again -------===//
#ifndef RAGWORT_QUARANTINE_REQUESTFINGERPRINT_H
#define RAGWORT_QUARANTINE_REQUESTFINGERPRINT_H

#include "ragwort/http/HttpTypes.h"
#include "ragwort/quarantine/RequestTraits.h"
#include <string_view>

namespace ragwort::quarantine {

/// A hash of what \p Message asks for: method, host, target and body, and the
/// organisation that asks. A repeat has the same fingerprint under another
/// request id, at every node. Without a body, \p PromptParts, the list of all
/// parts of the prompt, tells requests apart.
Fingerprint fingerprintOf(const http::Request &Message,
                          std::string_view Organisation,
                          std::string_view PromptParts);

} // namespace ragwort::quarantine

#endif
