//===- MessageForm.cpp - What a message must be beyond its syntax ---------===//
#include "ragwort/http/MessageForm.h"
#include <algorithm>

namespace ragwort::http {

namespace {

constexpr std::string_view LengthField = "Content-Length";
constexpr std::string_view CodingField = "Transfer-Encoding";
constexpr unsigned StatusNoContent = 204;

bool isDigits(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return C >= '0' && C <= '9';
  });
}

bool isFraming(const HeaderField &Field) {
  return isSameHeaderName(Field.Name, LengthField) ||
         isSameHeaderName(Field.Name, CodingField);
}

} // namespace

std::string_view framingFault(std::span<const HeaderField> Fields) {
  const HeaderField *Framing = nullptr;
  for (const HeaderField &Field : Fields) {
    if (!isFraming(Field))
      continue;
    if (Framing)
      return "several fields state the body's end";
    Framing = &Field;
  }
  if (!Framing)
    return "";
  if (isSameHeaderName(Framing->Name, LengthField))
    return isDigits(Framing->Value) ? "" : "malformed length";
  // Names of codings are case-insensitive, as header names are.
  return isSameHeaderName(Framing->Value, "chunked")
             ? ""
             : "unknown transfer coding";
}

std::string_view responseFault(unsigned Status,
                               std::span<const HeaderField> Fields) {
  if (!isFinalStatus(Status) && !isInterimStatus(Status))
    return "unknown status";
  if (std::string_view Fault = framingFault(Fields); !Fault.empty())
    return Fault;
  if (!isInterimStatus(Status) && Status != StatusNoContent)
    return "";
  std::string_view Length = findHeader(Fields, LengthField);
  bool HasBody = !findHeader(Fields, CodingField).empty() ||
                 Length.find_first_not_of('0') != std::string_view::npos;
  return HasBody ? "a body where the status allows none" : "";
}

bool hasFoldedField(std::string_view Head) {
  for (size_t At = Head.find('\n'); At != std::string_view::npos;
       At = Head.find('\n', At + 1))
    if (At + 1 < Head.size() && (Head[At + 1] == ' ' || Head[At + 1] == '\t'))
      return true;
  return false;
}

bool beginsResponse(std::string_view Bytes) {
  return StatusLineBegin.starts_with(Bytes.substr(0, StatusLineBegin.size()));
}

} // namespace ragwort::http
