//===- RequestHead.cpp - Head of a request to a backend server ------------===//
#include "ragwort/gateway/RequestHead.h"
#include <algorithm>
#include <array>
#include <charconv>

namespace ragwort::gateway {

namespace {

// The least urgent value that servers accept.
constexpr uint32_t LowestUrgency = 9;

void appendField(std::string &Text, std::string_view Name,
                 std::string_view Value) {
  Text += Name;
  Text += ": ";
  Text += Value;
  Text += "\r\n";
}

std::optional<uint32_t> countOf(std::string_view Text) {
  uint32_t Count = 0;
  auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  if (Text.empty() || Parsed.ec != std::errc() ||
      Parsed.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Count;
}

bool isListed(std::string_view List, std::string_view Name) {
  while (!List.empty()) {
    size_t Comma = List.find(',');
    std::string_view Item = List.substr(0, Comma);
    while (!Item.empty() && Item.front() == ' ')
      Item.remove_prefix(1);
    while (!Item.empty() && Item.back() == ' ')
      Item.remove_suffix(1);
    if (isSameHeaderName(Item, Name))
      return true;
    if (Comma == std::string_view::npos)
      break;
    List.remove_prefix(Comma + 1);
  }
  return false;
}

bool isBodyFraming(std::string_view Name) {
  return isSameHeaderName(Name, "Content-Length") ||
         isSameHeaderName(Name, "Transfer-Encoding");
}

/// Whether the gateway sets the field itself or keeps it from servers.
bool isSystemField(std::string_view Name, const ProtocolNames &Names) {
  const std::array<std::string_view, 7> Set = {
      "Authorization",    Names.TimeLeftMillis, Names.ExpectedInstance,
      Names.Organisation, Names.Urgency,        Names.ExpectedWeights,
      Names.LastEventId};
  return std::any_of(Set.begin(), Set.end(), [Name](std::string_view Each) {
    return isSameHeaderName(Name, Each);
  });
}

/// Whether the field concerns only the caller's connection.
bool isPerConnection(std::string_view Name, std::string_view ConnectionField,
                     const ProtocolNames &Names) {
  // These identify the request and are forwarded even if the caller lists them
  // in its Connection header.
  if (isSameHeaderName(Name, "Host") || isSameHeaderName(Name, Names.RequestId))
    return false;
  return http::isHopByHop(Name) || isListed(ConnectionField, Name);
}

} // namespace

RequestTokens readTokens(const http::Request &Message,
                         const ProtocolNames &Names) {
  std::string_view Counts = Message.header(Names.TokenCounts);
  size_t Comma = std::min(Counts.find(','), Counts.size());
  RequestTokens Result;
  Result.Prompt = countOf(Counts.substr(0, Comma)).value_or(0);
  if (Comma < Counts.size())
    Result.Answer = countOf(Counts.substr(Comma + 1)).value_or(0);
  if (auto Hint = countOf(Message.header(Names.LengthHint)))
    Result.Answer = Result.Answer > 0 ? std::min(Result.Answer, *Hint) : *Hint;
  return Result;
}

std::string makeRequestHead(const http::Request &Message,
                            const ProtocolNames &Names,
                            const SystemFields &Fields) {
  std::string_view ConnectionField = Message.header("Connection");
  std::string Text = Message.Method + " " + Message.Target + " HTTP/1.1\r\n";
  bool IsBodyFramed = false;
  for (const HeaderField &Field : Message.Headers) {
    IsBodyFramed |= isBodyFraming(Field.Name);
    if (!isPerConnection(Field.Name, ConnectionField, Names) &&
        !isSystemField(Field.Name, Names))
      appendField(Text, Field.Name, Field.Value);
  }
  if (IsBodyFramed || !Message.Body.empty())
    appendField(Text, "Content-Length", std::to_string(Message.Body.size()));
  int64_t Millis = std::max<int64_t>(1, Fields.TimeLeft.count() / 1000);
  appendField(Text, Names.TimeLeftMillis, std::to_string(Millis));
  appendField(Text, Names.ExpectedInstance, Fields.Instance);
  if (!Fields.Organisation.empty())
    appendField(Text, Names.Organisation, Fields.Organisation);
  if (Fields.Priority)
    appendField(Text, Names.Urgency,
                std::to_string(std::min(*Fields.Priority, LowestUrgency)));
  if (Fields.LastEventId)
    appendField(Text, Names.LastEventId, std::to_string(*Fields.LastEventId));
  else if (std::string_view After = Message.header(Names.LastEventId);
           !After.empty())
    appendField(Text, Names.LastEventId, After);
  Text += "\r\n";
  return Text;
}

} // namespace ragwort::gateway
