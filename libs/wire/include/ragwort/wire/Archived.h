//===- Archived.h - Values in cereal's portable binary format -------------===//
//
// For datagrams and documents that hold one value of a known type. Exceptions
// that the type's serialize() throws are returned as a status.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_WIRE_ARCHIVED_H
#define RAGWORT_WIRE_ARCHIVED_H

#include <absl/status/statusor.h>
#include <cereal/archives/portable_binary.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace ragwort::wire {

/// \code
///   std::string Bytes = toArchive(Heartbeat);
///   absl::StatusOr<PeerHeartbeat> Back = fromArchive<PeerHeartbeat>(Bytes);
/// \endcode
template <class T> std::string toArchive(T Value) {
  std::ostringstream Stream;
  cereal::PortableBinaryOutputArchive Archive(Stream);
  Archive(Value);
  return Stream.str();
}

/// Never throws; fails on truncated or malformed bytes and on trailing bytes.
template <class T> absl::StatusOr<T> fromArchive(std::string_view Bytes) {
  T Value;
  try {
    std::istringstream Stream{std::string(Bytes)};
    cereal::PortableBinaryInputArchive Archive(Stream);
    Archive(Value);
    if (Stream.peek() != std::istringstream::traits_type::eof())
      return absl::InvalidArgumentError("message has trailing bytes");
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
  return Value;
}

/// Like fromArchive(), but also fails on more than \p MaxBytes bytes.
template <class T>
absl::StatusOr<T> fromDatagram(std::string_view Datagram, size_t MaxBytes) {
  if (Datagram.size() > MaxBytes)
    return absl::InvalidArgumentError("datagram is larger than " +
                                      std::to_string(MaxBytes) + " bytes");
  return fromArchive<T>(Datagram);
}

/// The protocol number at the start of a datagram, which determines the type to
/// decode; nothing if the datagram is too short.
inline std::optional<uint16_t> protocolOf(std::string_view Bytes) {
  constexpr size_t ByteOrderBytes = 1;
  if (Bytes.size() < ByteOrderBytes + sizeof(uint16_t))
    return std::nullopt;
  auto Low = static_cast<uint8_t>(Bytes[ByteOrderBytes]);
  auto High = static_cast<uint8_t>(Bytes[ByteOrderBytes + 1]);
  return static_cast<uint16_t>(Bytes[0] != 0 ? Low | High << 8
                                             : High | Low << 8);
}

} // namespace ragwort::wire

#endif
