//===- MessageForm.h - What a message must be beyond its syntax -----------===//
//
// Rules on the start line and the fields of a message that say where its body
// ends. Boost.Beast parses the syntax and leaves these to its user. Two
// programs that disagree on one of them take different bytes for the next
// message.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_HTTP_MESSAGEFORM_H
#define RAGWORT_HTTP_MESSAGEFORM_H

#include "ragwort/base/HeaderField.h"
#include <span>
#include <string_view>

namespace ragwort::http {

/// What the status line of each response begins with.
inline constexpr std::string_view StatusLineBegin = "HTTP/1.";

/// Whether a response with the status precedes the final one. 101 does not: the
/// system never asks for another protocol.
constexpr bool isInterimStatus(unsigned Status) {
  return Status == 100 || Status == 102 || Status == 103;
}

/// Whether HTTP allows the status in the response that ends a request.
constexpr bool isFinalStatus(unsigned Status) {
  return Status >= 200 && Status < 600;
}

/// Why the fields of a message leave its end open; empty if they don't.
///
/// \code
///   if (!framingFault(Message.Headers).empty())
///     refuse(400);
/// \endcode
std::string_view framingFault(std::span<const HeaderField> Fields);

/// Why a response with the status and fields is malformed; empty if it is not.
std::string_view responseFault(unsigned Status,
                               std::span<const HeaderField> Fields);

/// Whether a head, up to its empty line, has a field that is folded over
/// several lines. Parsers join such lines in different ways.
bool hasFoldedField(std::string_view Head);

/// Whether the bytes that follow a message, of which there is at least one, may
/// be a response.
bool beginsResponse(std::string_view Bytes);

} // namespace ragwort::http

#endif
