//===- MessageParser.h - Incremental HTTP/1.1 parsing over Boost.Beast ----===//
//
// Bytes go in as they arrive, heads and body bytes come out. No socket is
// involved, so that torn and hostile input can be played in tests.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_MESSAGEPARSER_H
#define RAGWORT_GATEWAY_MESSAGEPARSER_H

#include "ragwort/http/HttpTypes.h"
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace ragwort::gateway {

/// How far a message has been read.
enum class ParseStage : uint8_t { Head, Body, Done, Failed };

/// Why a request was not accepted.
enum class ParseFailure : uint8_t { None, Malformed, HeadTooLarge };

/// Reads one request. Conflicting or repeated lengths are malformed, since two
/// readers could disagree on where the request ends.
///
/// \code
///   RequestParser P(MaxHeaderBytes);
///   Buffer.erase(0, P.feed(Buffer));
///   if (P.stage() == ParseStage::Done) ...
/// \endcode
class RequestParser {
public:
  explicit RequestParser(uint32_t MaxHeaderBytes);
  ~RequestParser();

  /// \returns the bytes taken. Untaken bytes are given again with more behind
  /// them; behind stage Done they belong to the next message.
  size_t feed(std::string_view Bytes);
  ParseStage stage() const;
  ParseFailure failure() const;
  /// Method, target and header fields, from stage Body on; the body grows with
  /// feed().
  const http::Request &request() const;
  http::Request takeRequest();
  /// Whether the caller allows another request on the connection.
  bool isKeepAlive() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

/// Reads one response.
class ResponseParser {
public:
  ResponseParser();
  ~ResponseParser();
  ResponseParser(ResponseParser &&) noexcept;
  ResponseParser &operator=(ResponseParser &&) noexcept;

  /// The response answers HEAD and has no body.
  void expectNoBody();
  /// As RequestParser::feed().
  size_t feed(std::string_view Bytes);
  /// The connection was closed in order. Completes a response without length.
  void feedEnd();
  ParseStage stage() const;
  const http::ResponseHead &head() const;
  /// Body bytes that were not taken before.
  std::string takeBody();
  bool isKeepAlive() const;
  /// The response is a 1xx that the final one follows.
  bool isInterim() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace ragwort::gateway

#endif
