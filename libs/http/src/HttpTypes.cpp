//===- HttpTypes.cpp - Helpers over requests and responses ----------------===//
#include "ragwort/http/HttpTypes.h"

namespace ragwort::http {

Response makeResponse(unsigned Status, std::string_view ContentType,
                      std::string Body) {
  Response R;
  R.Head.Status = Status;
  R.Head.Headers.push_back({"Content-Type", std::string(ContentType)});
  R.Body = std::move(Body);
  return R;
}

bool isHopByHop(std::string_view Name) {
  for (std::string_view Known :
       {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
        "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
        "Content-Length", "Host", "Expect"})
    if (isSameHeaderName(Name, Known))
      return true;
  return false;
}

} // namespace ragwort::http
