//===- Codec.h - Frames and datagrams with authentication -----------------===//
//
// A frame is: length of what follows (4 bytes, little endian), key id (1),
// sequence (8), cereal payload, tag (16). The tag covers the session name,
// the direction, the sequence and the payload, so that a recorded frame is
// rejected when it is replayed. A datagram has the same parts without the
// length.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_WIRE_CODEC_H
#define RAGWORT_WIRE_CODEC_H

#include "ragwort/wire/Authenticator.h"
#include "ragwort/wire/Messages.h"
#include <absl/status/statusor.h>
#include <cstddef>
#include <string>
#include <string_view>

namespace ragwort::wire {

/// Bytes of the length field before each frame.
inline constexpr size_t LengthBytes = 4;
/// Largest frame, without its length field.
inline constexpr size_t MaxFrameBytes = MaxBodyBytes + 256 * KiB;
/// Largest datagram that the system sends or accepts.
inline constexpr size_t MaxDatagramBytes = 1400;

/// Reads the length field of a frame.
/// \returns the bytes that follow, or InvalidArgument when out of bounds.
absl::StatusOr<size_t> parseFrameLength(std::string_view LengthField);

/// Serializes \p M without framing. Fails when a field exceeds its bound.
absl::StatusOr<std::string> serializeMessage(const Message &M);

/// Parses the output of serializeMessage(). Never throws and never allocates
/// more than the bounds in Bounded.h allow.
absl::StatusOr<Message> parseMessage(std::string_view Payload);

/// Which end of a connection a frame comes from.
enum class Direction : uint8_t { FromClient = 'c', FromServer = 's' };

/// Codec of one connection, for both directions. Not safe for use by two
/// threads at once.
///
/// \code
///   FrameCodec Codec(Keys, Direction::FromClient);
///   absl::StatusOr<std::string> Bytes = Codec.encode(Hello{...});
/// \endcode
class FrameCodec {
public:
  FrameCodec(const Keyring &Keys, Direction Self);

  /// Binds all later frames to the session that the nonces of both hellos name.
  void startSession(std::string_view ClientNonce, std::string_view ServerNonce);

  /// The frame with its length field, ready to be written.
  absl::StatusOr<std::string> encode(const Message &M);

  /// Authenticates and parses a frame whose length field has been removed.
  absl::StatusOr<Message> decode(std::string_view Frame);

private:
  std::string context(Direction From, uint64_t Sequence) const;

  Authenticator Auth;
  Direction Self;
  std::string Session;
  // Invariant: each direction counts its frames from zero without gaps, so a
  // dropped, repeated or reordered frame fails its tag.
  uint64_t NextSent = 0;
  uint64_t NextReceived = 0;
};

/// Codec of heartbeats. Not safe for use by two threads at once.
class DatagramCodec {
public:
  explicit DatagramCodec(const Keyring &Keys);
  absl::StatusOr<std::string> encode(const Heartbeat &H);
  absl::StatusOr<Heartbeat> decode(std::string_view Datagram);

private:
  Authenticator Auth;
};

} // namespace ragwort::wire

#endif
