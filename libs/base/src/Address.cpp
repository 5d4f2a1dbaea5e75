//===- Address.cpp - Parsing and printing of addresses --------------------===//
#include "ragwort/base/Address.h"
#include <arpa/inet.h>
#include <charconv>

namespace ragwort {

namespace {

bool isIp(const std::string &Text) {
  in6_addr Parsed;
  return inet_pton(AF_INET, Text.c_str(), &Parsed) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), &Parsed) == 1;
}

} // namespace

std::optional<Address> parseAddress(std::string_view Text) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return std::nullopt;
  std::string_view Ip = Text.substr(0, Colon);
  bool IsBracketed = Ip.front() == '[' && Ip.back() == ']';
  if (IsBracketed)
    Ip = Ip.substr(1, Ip.size() - 2);
  if (!IsBracketed && Ip.find(':') != Ip.npos)
    return std::nullopt;
  std::string Number(Ip);
  if (Ip.find('\0') != Ip.npos || !isIp(Number))
    return std::nullopt;
  uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Error != std::errc() || Rest != End)
    return std::nullopt;
  return Address{std::move(Number), Port};
}

std::string toString(const Address &A) {
  bool IsV6 = A.Ip.find(':') != std::string::npos;
  return (IsV6 ? "[" + A.Ip + "]" : A.Ip) + ":" + std::to_string(A.Port);
}

} // namespace ragwort
