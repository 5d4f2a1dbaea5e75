//===- Address.h - IP address and port ------------------------------------===//
//
// Processes contact each other by IP address; host names are never resolved.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_BASE_ADDRESS_H
#define RAGWORT_BASE_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwort {

/// An address of the form `ip:port`; an IPv6 address is written in brackets.
///
/// \code
///   std::optional<Address> A = parseAddress("127.0.0.1:8080");
/// \endcode
struct Address {
  std::string Ip;
  uint16_t Port = 0;
  friend auto operator<=>(const Address &, const Address &) = default;
};

/// Parses an address. \returns nothing for host names and malformed text.
std::optional<Address> parseAddress(std::string_view Text);

/// Formats \p A in the form that parseAddress() accepts.
std::string toString(const Address &A);

} // namespace ragwort

#endif
