//===- Codec.cpp - cereal archives, frames and datagrams ------------------===//
#include "ragwort/wire/Codec.h"
#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/variant.hpp>
#include <istream>
#include <ostream>
#include <streambuf>

namespace ragwort::wire {

namespace {

constexpr size_t KeyBytes = 1;
constexpr size_t SequenceBytes = 8;
constexpr size_t PrefixBytes = KeyBytes + SequenceBytes;

/// Stream buffer that appends all output to a string.
class StringSink : public std::streambuf {
public:
  explicit StringSink(std::string &Target) : Target(Target) {}

protected:
  std::streamsize xsputn(const char *Data, std::streamsize Size) override {
    Target.append(Data, static_cast<size_t>(Size));
    return Size;
  }
  int_type overflow(int_type Character) override {
    Target.push_back(static_cast<char>(Character));
    return Character;
  }

private:
  std::string &Target;
};

/// Stream buffer that reads from a view without copying it.
class ViewSource : public std::streambuf {
public:
  explicit ViewSource(std::string_view View) {
    char *Begin = const_cast<char *>(View.data());
    setg(Begin, Begin, Begin + View.size());
  }
  bool isAtEnd() const { return gptr() == egptr(); }
};

void appendNumber(std::string &Target, uint64_t Number, size_t Bytes) {
  for (size_t I = 0; I < Bytes; ++I)
    Target.push_back(static_cast<char>((Number >> (8 * I)) & 0xff));
}

uint64_t parseNumber(std::string_view Bytes) {
  uint64_t Number = 0;
  for (size_t I = 0; I < Bytes.size(); ++I)
    Number |= uint64_t(static_cast<unsigned char>(Bytes[I])) << (8 * I);
  return Number;
}

template <class T> absl::StatusOr<std::string> serializeValue(const T &Value) {
  std::string Bytes;
  try {
    StringSink Sink(Bytes);
    std::ostream Stream(&Sink);
    cereal::PortableBinaryOutputArchive Archive(Stream);
    Archive(Value);
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(std::string("cannot encode message: ") +
                                      Error.what());
  }
  return Bytes;
}

template <class T> absl::StatusOr<T> parseValue(std::string_view Payload) {
  T Value;
  try {
    ViewSource Source(Payload);
    std::istream Stream(&Source);
    cereal::PortableBinaryInputArchive Archive(Stream);
    Archive(Value);
    if (!Source.isAtEnd())
      return absl::InvalidArgumentError("message has trailing bytes");
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(std::string("cannot parse message: ") +
                                      Error.what());
  }
  return Value;
}

/// The parts of a frame or datagram.
struct Parts {
  uint8_t KeyId;
  uint64_t Sequence;
  std::string_view Payload;
  Tag Mac;
};

absl::StatusOr<Parts> split(std::string_view Bytes) {
  if (Bytes.size() < PrefixBytes + TagBytes)
    return absl::InvalidArgumentError(
        "frame of " + std::to_string(Bytes.size()) + " bytes is too short");
  Parts Result;
  Result.KeyId = static_cast<uint8_t>(Bytes[0]);
  Result.Sequence = parseNumber(Bytes.substr(KeyBytes, SequenceBytes));
  Result.Payload =
      Bytes.substr(PrefixBytes, Bytes.size() - PrefixBytes - TagBytes);
  std::string_view Mac = Bytes.substr(Bytes.size() - TagBytes);
  std::copy(Mac.begin(), Mac.end(), Result.Mac.begin());
  return Result;
}

void appendParts(std::string &Target, uint8_t KeyId, uint64_t Sequence,
                 std::string_view Payload, const Tag &Mac) {
  appendNumber(Target, KeyId, KeyBytes);
  appendNumber(Target, Sequence, SequenceBytes);
  Target.append(Payload);
  Target.append(reinterpret_cast<const char *>(Mac.data()), Mac.size());
}

} // namespace

absl::StatusOr<size_t> parseFrameLength(std::string_view LengthField) {
  size_t Length = parseNumber(LengthField);
  if (Length < PrefixBytes + TagBytes || Length > MaxFrameBytes)
    return absl::InvalidArgumentError("frame length " + std::to_string(Length) +
                                      " is out of bounds");
  return Length;
}

absl::StatusOr<std::string> serializeMessage(const Message &M) {
  return serializeValue(M);
}

absl::StatusOr<Message> parseMessage(std::string_view Payload) {
  return parseValue<Message>(Payload);
}

FrameCodec::FrameCodec(const Keyring &Keys, Direction Self)
    : Auth(Keys), Self(Self) {}

void FrameCodec::startSession(std::string_view ClientNonce,
                              std::string_view ServerNonce) {
  Session = std::string(ClientNonce) + "/" + std::string(ServerNonce);
}

std::string FrameCodec::context(Direction From, uint64_t Sequence) const {
  std::string Context = Session;
  Context.push_back(static_cast<char>(From));
  appendNumber(Context, Sequence, SequenceBytes);
  return Context;
}

absl::StatusOr<std::string> FrameCodec::encode(const Message &M) {
  absl::StatusOr<std::string> Payload = serializeMessage(M);
  if (!Payload.ok())
    return Payload.status();
  size_t Length = PrefixBytes + Payload->size() + TagBytes;
  if (Length > MaxFrameBytes)
    return absl::InvalidArgumentError("message of " + std::to_string(Length) +
                                      " bytes exceeds the frame bound");
  uint64_t Sequence = NextSent++;
  Tag Mac = Auth.sign(context(Self, Sequence), *Payload);
  std::string Frame;
  Frame.reserve(LengthBytes + Length);
  appendNumber(Frame, Length, LengthBytes);
  appendParts(Frame, Auth.signingKey(), Sequence, *Payload, Mac);
  return Frame;
}

absl::StatusOr<Message> FrameCodec::decode(std::string_view Frame) {
  absl::StatusOr<Parts> P = split(Frame);
  if (!P.ok())
    return P.status();
  Direction Peer = Self == Direction::FromClient ? Direction::FromServer
                                                 : Direction::FromClient;
  if (P->Sequence != NextReceived ||
      !Auth.verify(P->KeyId, context(Peer, P->Sequence), P->Payload, P->Mac))
    return absl::UnauthenticatedError("frame " + std::to_string(NextReceived) +
                                      " has a wrong tag or sequence");
  ++NextReceived;
  return parseMessage(P->Payload);
}

DatagramCodec::DatagramCodec(const Keyring &Keys) : Auth(Keys) {}

absl::StatusOr<std::string> DatagramCodec::encode(const Heartbeat &H) {
  absl::StatusOr<std::string> Payload = serializeValue(H);
  if (!Payload.ok())
    return Payload.status();
  std::string Datagram;
  appendParts(Datagram, Auth.signingKey(), H.Sequence, *Payload,
              Auth.sign("heartbeat", *Payload));
  if (Datagram.size() > MaxDatagramBytes)
    return absl::InvalidArgumentError("datagram exceeds its bound");
  return Datagram;
}

absl::StatusOr<Heartbeat> DatagramCodec::decode(std::string_view Datagram) {
  absl::StatusOr<Parts> P = split(Datagram);
  if (!P.ok())
    return P.status();
  if (!Auth.verify(P->KeyId, "heartbeat", P->Payload, P->Mac))
    return absl::UnauthenticatedError("datagram has a wrong tag");
  return parseValue<Heartbeat>(P->Payload);
}

} // namespace ragwort::wire
