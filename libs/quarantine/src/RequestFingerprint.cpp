//===- RequestFingerprint.cpp - Recognises a request that comes again -----===//
#include "ragwort/quarantine/RequestFingerprint.h"
#include "ragwort/base/Hash.h"

namespace ragwort::quarantine {

Fingerprint fingerprintOf(const http::Request &Message,
                          std::string_view Organisation,
                          std::string_view PromptParts) {
  std::string_view Content = Message.Body;
  if (Content.empty())
    Content = PromptParts;
  Fingerprint Result = 0;
  for (std::string_view Field :
       {std::string_view(Message.Method), Message.header("Host"),
        std::string_view(Message.Target), Organisation, Content})
    Result = hash64(Field, Result);
  return Result;
}

} // namespace ragwort::quarantine
