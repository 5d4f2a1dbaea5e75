//===- HttpTypes.h - Requests and responses -------------------------------===//
//
// Plain values, so that only this library's sources include Boost.Beast.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_HTTP_HTTPTYPES_H
#define RAGWORT_HTTP_HTTPTYPES_H

#include "ragwort/base/HeaderField.h"
#include <string>
#include <string_view>

namespace ragwort::http {

/// A request with its whole body.
struct Request {
  std::string Method = "GET";
  std::string Target = "/";
  HeaderFields Headers;
  std::string Body;

  std::string_view header(std::string_view Name) const {
    return findHeader(Headers, Name);
  }
};

/// Status line and header fields of a response.
struct ResponseHead {
  unsigned Status = 200;
  HeaderFields Headers;

  std::string_view header(std::string_view Name) const {
    return findHeader(Headers, Name);
  }
};

/// A response with its whole body.
struct Response {
  ResponseHead Head;
  std::string Body;
};

/// A response with one content type.
Response makeResponse(unsigned Status, std::string_view ContentType,
                      std::string Body);

/// Whether a header belongs to one connection and is never passed on. The
/// fields that frame the body count among them.
bool isHopByHop(std::string_view Name);

} // namespace ragwort::http

#endif
