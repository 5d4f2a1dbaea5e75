//===- HttpTypes.h - Requests and responses -------------------------------===//
//
// These types don't depend on Boost.Beast, so that only this library's sources
// include it.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_HTTP_HTTPTYPES_H
#define RAGWORT_HTTP_HTTPTYPES_H

#include "ragwort/base/Bytes.h"
#include "ragwort/base/HeaderField.h"
#include <string>
#include <string_view>

namespace ragwort::http {

/// Most bytes of a message that are kept while they are not yet a complete
/// head, chunk header or trailer section, which parsers need as a whole.
inline constexpr size_t MaxUnfinishedFramingBytes = 64 * KiB;

/// A request with its complete body.
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

/// A response with its complete body.
struct Response {
  ResponseHead Head;
  std::string Body;
};

constexpr bool isSuccess(unsigned Status) {
  return Status >= 200 && Status < 300;
}
/// A response to HEAD has a head only.
constexpr bool isHead(std::string_view Method) { return Method == "HEAD"; }
constexpr bool isServerFailure(unsigned Status) { return Status >= 500; }

/// Creates a response whose only header is its content type.
Response makeResponse(unsigned Status, std::string_view ContentType,
                      std::string Body);

/// Whether a header applies to one connection only and is never forwarded.
/// Includes Host and the fields that delimit the body.
bool isHopByHop(std::string_view Name);

} // namespace ragwort::http

#endif
