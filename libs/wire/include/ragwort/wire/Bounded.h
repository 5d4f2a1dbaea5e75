//===- Bounded.h - Length-checked fields for cereal archives --------------===//
//
// cereal trusts a length prefix and allocates that much memory. These helpers
// check the prefix against the field's bound first, so that a forged length
// cannot cause a large allocation.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_WIRE_BOUNDED_H
#define RAGWORT_WIRE_BOUNDED_H

#include "ragwort/base/Bytes.h"
#include <cereal/cereal.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ragwort::wire {

/// Bounds of variable-length fields, in bytes or in elements.
inline constexpr size_t MaxNameBytes = 256;
inline constexpr size_t MaxTextBytes = 8 * KiB;
inline constexpr size_t MaxBodyBytes = 4 * MiB;
inline constexpr size_t MaxHeaders = 64;
inline constexpr size_t MaxListLength = 16'384;

/// Reads or writes a length prefix and checks it against \p Max.
/// \throws cereal::Exception when the length exceeds \p Max.
template <class Archive>
size_t transferLength(Archive &Ar, size_t Actual, size_t Max) {
  cereal::size_type Length = Actual;
  Ar(cereal::make_size_tag(Length));
  if (Length > Max)
    throw cereal::Exception("field length " + std::to_string(Length) +
                            " exceeds its bound " + std::to_string(Max));
  return static_cast<size_t>(Length);
}

/// Transfers the protocol number at the start of a datagram.
/// \throws cereal::Exception when it differs from \p Expected.
template <class Archive> void transferProtocol(Archive &Ar, uint16_t Expected) {
  uint16_t Protocol = Expected;
  Ar(Protocol);
  if (Protocol != Expected)
    throw cereal::Exception("protocol version " + std::to_string(Protocol) +
                            " instead of " + std::to_string(Expected));
}

/// Transfers a flag. A byte that is neither 0 nor 1 is rejected, since loading
/// it into a bool is undefined behaviour.
/// \throws cereal::Exception when the byte is neither 0 nor 1.
template <class Archive> void transferFlag(Archive &Ar, bool &Flag) {
  auto Byte = static_cast<uint8_t>(Flag);
  Ar(Byte);
  if (Byte > 1)
    throw cereal::Exception("byte " + std::to_string(Byte) + " is not a flag");
  Flag = Byte == 1;
}

/// Transfers an enumerator in one byte. A byte beyond \p Last is rejected.
/// \throws cereal::Exception when the byte is beyond \p Last.
template <class Archive, class E>
void transferEnum(Archive &Ar, E &Value, E Last) {
  auto Byte = static_cast<uint8_t>(Value);
  Ar(Byte);
  if (Byte > static_cast<uint8_t>(Last))
    throw cereal::Exception("enumerator " + std::to_string(Byte) +
                            " is out of range");
  Value = static_cast<E>(Byte);
}

/// Transfers a value that may be absent.
template <class Archive, class T>
void transferOptional(Archive &Ar, std::optional<T> &Value) {
  bool IsPresent = Value.has_value();
  transferFlag(Ar, IsPresent);
  if (!IsPresent) {
    Value.reset();
    return;
  }
  if (!Value)
    Value.emplace();
  Ar(*Value);
}

/// Transfers a string of at most \p Max bytes.
template <class Archive>
void transferText(Archive &Ar, std::string &Text, size_t Max) {
  Text.resize(transferLength(Ar, Text.size(), Max));
  Ar(cereal::binary_data(Text.data(), Text.size()));
}

/// Transfers a list of at most \p Max elements, one element at a time, so that
/// a truncated input fails before much memory is allocated.
template <class Archive, class T>
void transferList(Archive &Ar, std::vector<T> &List, size_t Max) {
  size_t Length = transferLength(Ar, List.size(), Max);
  if constexpr (Archive::is_loading::value) {
    List.clear();
    for (size_t I = 0; I < Length; ++I)
      Ar(List.emplace_back());
  } else {
    for (T &Element : List)
      Ar(Element);
  }
}

} // namespace ragwort::wire

#endif
