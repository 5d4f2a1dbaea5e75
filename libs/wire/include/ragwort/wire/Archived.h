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
#include <sstream>
#include <string>
#include <string_view>

namespace ragwort::wire {

/// \code
///   std::string Bytes = toArchive(Beat);
///   absl::StatusOr<PeerBeat> Back = fromArchive<PeerBeat>(Bytes);
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

} // namespace ragwort::wire

#endif
