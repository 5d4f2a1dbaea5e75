//===- Archived.h - Values as bytes of a portable archive -----------------===//
//
// For the datagrams and documents of one type each. What a type's serialize()
// refuses by an exception comes back as a status.
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
///   std::string Bytes = toArchive(Beat);
///   absl::StatusOr<PeerHeartbeat> Back = fromArchive<PeerHeartbeat>(Bytes);
/// \endcode
template <class T> std::string toArchive(T Value) {
  std::ostringstream Text;
  cereal::PortableBinaryOutputArchive Archive(Text);
  Archive(Value);
  return Text.str();
}

/// Never throws; fails on torn bytes and on bytes behind the value.
template <class T> absl::StatusOr<T> fromArchive(std::string_view Bytes) {
  T Value;
  try {
    std::istringstream Text{std::string(Bytes)};
    cereal::PortableBinaryInputArchive Archive(Text);
    Archive(Value);
    if (Text.peek() != std::istringstream::traits_type::eof())
      return absl::InvalidArgumentError("bytes behind the message");
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
  return Value;
}

/// The same for a datagram, which also fails beyond \p MaxBytes.
template <class T>
absl::StatusOr<T> fromDatagram(std::string_view Datagram, size_t MaxBytes) {
  if (Datagram.size() > MaxBytes)
    return absl::InvalidArgumentError("datagram is larger than " +
                                      std::to_string(MaxBytes) + " bytes");
  return fromArchive<T>(Datagram);
}

/// The protocol number that a datagram begins with, to tell which type to
/// decode; nothing if it is too short.
inline std::optional<uint16_t> protocolOf(std::string_view Bytes) {
  constexpr size_t ByteOrderMark = 1;
  if (Bytes.size() < ByteOrderMark + sizeof(uint16_t))
    return std::nullopt;
  auto Low = static_cast<uint8_t>(Bytes[ByteOrderMark]);
  auto High = static_cast<uint8_t>(Bytes[ByteOrderMark + 1]);
  return static_cast<uint16_t>(Bytes[0] != 0 ? Low | High << 8
                                             : High | Low << 8);
}

} // namespace ragwort::wire

#endif
