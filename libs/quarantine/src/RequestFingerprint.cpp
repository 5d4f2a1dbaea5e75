//===- RequestFingerprint.cpp - Recognises a request that comes again -----===//
#include "ragwort/quarantine/RequestFingerprint.h"
#include "ragwort/base/Hash.h"

namespace ragwort::quarantine {

Fingerprint fingerprintOf(const http::Request &Message,
                          std::string_view Organisation) {
  Fingerprint Result = 0;
  for (std::string_view Field :
       {std::string_view(Message.Method), Message.header("Host"),
        std::string_view(Message.Target), Organisation,
        std::string_view(Message.Body)})
    Result = hash64(Field, Result);
  return Result;
}

} // namespace ragwort::quarantine
