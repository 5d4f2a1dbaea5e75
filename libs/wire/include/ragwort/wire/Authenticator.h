//===- Authenticator.h - Authentication of frames -------------------------===//
//
// Frames carry a truncated HMAC-SHA-256 tag. Two keys are valid at a time, so
// that they can be rotated node by node: first every node accepts the new key,
// then every node signs with it, then the old one is dropped.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_WIRE_AUTHENTICATOR_H
#define RAGWORT_WIRE_AUTHENTICATOR_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort::wire {

/// Length of a tag on the wire, in bytes.
inline constexpr size_t TagBytes = 16;

/// A tag over a frame.
using Tag = std::array<uint8_t, TagBytes>;

/// A shared key and the number that identifies it in frames.
struct FrameKey {
  uint8_t Id = 0;
  std::string Secret;
};

/// The keys that a node accepts. The first one is used to sign.
using Keyring = std::vector<FrameKey>;

/// Computes and checks tags. Not safe for use by two threads at once: each
/// connection owns one.
///
/// \code
///   Authenticator Auth({{1, "secret"}});
///   Tag T = Auth.sign("session", Payload);
///   bool Ok = Auth.verify(Auth.signingKey(), "session", Payload, T);
/// \endcode
class Authenticator {
public:
  /// \p Keys must not be empty.
  explicit Authenticator(const Keyring &Keys);
  ~Authenticator();
  Authenticator(Authenticator &&) noexcept;
  Authenticator &operator=(Authenticator &&) noexcept;

  /// Id of the key that sign() uses.
  uint8_t signingKey() const;

  /// Tag over \p Context and \p Payload.
  Tag sign(std::string_view Context, std::string_view Payload);

  /// Whether \p Expected is the tag under key \p KeyId. Compares in constant
  /// time.
  bool verify(uint8_t KeyId, std::string_view Context, std::string_view Payload,
              const Tag &Expected);

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

/// \p Count bytes from the operating system's random generator.
std::string randomBytes(size_t Count);

/// A random 64-bit number other than zero, for incarnations.
uint64_t randomNumber();

} // namespace ragwort::wire

#endif
