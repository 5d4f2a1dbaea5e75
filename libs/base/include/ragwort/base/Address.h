//===- Address.h - IP number and port -------------------------------------===//
//
// Processes find each other by IP numbers; host names are never resolved.
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

/// An address of the form `ip:port`; IPv6 in brackets.
///
/// \code
///   std::optional<Address> A = parseAddress("127.0.0.1:8080");
/// \endcode
struct Address {
  std::string Ip;
  uint16_t Port = 0;
  friend auto operator<=>(const Address &, const Address &) = default;
};

/// Parses an address. Host names are refused.
std::optional<Address> parseAddress(std::string_view Text);

/// The form that parseAddress() reads.
std::string toString(const Address &A);

} // namespace ragwort

#endif
