//===- MessageParser.h - Incremental HTTP/1.1 parsing over Boost.Beast ----===//
//
// Turns bytes, in pieces of any size, into message heads and bodies.
// Independent of sockets, so that tests can feed it truncated and malicious
// input.
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

/// Parses one request. Fields that leave its end open (http::framingFault) are
/// malformed, since the gateway and a backend server could disagree on where
/// the request ends (request smuggling). So are folded fields.
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

  /// \returns the number of bytes consumed. The caller passes the others again,
  /// followed by newly received ones. After stage Done they belong to the next
  /// message.
  size_t feed(std::string_view Bytes);
  ParseStage stage() const;
  ParseFailure failure() const;
  /// Method, target and header fields are valid from stage Body on. The body
  /// grows with each feed().
  const http::Request &request() const;
  http::Request takeRequest();
  /// Whether the caller allows another request on the connection.
  bool isKeepAlive() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

/// Parses one response. A head with a http::responseFault is malformed, and so
/// is one that holds a folded field or the status line of another response: the
/// first one broke off there.
class ResponseParser {
public:
  ResponseParser();
  ~ResponseParser();
  ResponseParser(ResponseParser &&) noexcept;
  ResponseParser &operator=(ResponseParser &&) noexcept;

  /// Call before feed() if the response is to a HEAD request and has no body.
  void expectNoBody();
  /// As RequestParser::feed().
  size_t feed(std::string_view Bytes);
  /// The server closed the connection in order. Completes a response without a
  /// declared length; fails one that is incomplete.
  void feedEnd();
  ParseStage stage() const;
  const http::ResponseHead &head() const;
  /// \returns the body bytes received since the last call.
  std::string takeBody();
  /// Whether the connection can be used for another request.
  bool isKeepAlive() const;
  /// Whether the response itself shows where its body ends. Otherwise it ends
  /// with the connection.
  bool isFramed() const;
  /// Whether this is a 1xx response, which the final response follows.
  bool isInterim() const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

/// Whether the head of a response with the header field \p Name begins in
/// \p Body; it may go on in \p Rest. If \p Value is not empty, the field must
/// have it. A server that answers again before it has finished its first answer
/// makes the second a part of the first one's body. Takes linear time.
bool holdsResponseHead(std::string_view Body, std::string_view Rest,
                       std::string_view Name, std::string_view Value = {});

/// Whether the head of another response begins in \p Body and breaks off at the
/// end of \p Rest, the bytes received after it. At least \p Shortest bytes of
/// it must have arrived: fewer could be text.
bool endsInResponseHead(std::string_view Body, std::string_view Rest,
                        size_t Shortest);

} // namespace ragwort::gateway

#endif
