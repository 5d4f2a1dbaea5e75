//===- PeerBeat.cpp - Heartbeat between gateway nodes ---------------------===//
#include "ragwort/gateway/PeerBeat.h"
#include "ragwort/wire/Bounded.h"
#include <cereal/archives/portable_binary.hpp>
#include <sstream>

namespace ragwort::gateway {

template <class Archive> void serialize(Archive &Ar, InFlightReport &Report) {
  Ar(Report.InstanceKey, Report.Count);
}

template <class Archive> void serialize(Archive &Ar, BackendInstance &B) {
  using wire::MaxNameBytes;
  wire::transferText(Ar, B.Id, MaxNameBytes);
  wire::transferText(Ar, B.Service, MaxNameBytes);
  wire::transferText(Ar, B.Address, MaxNameBytes);
  wire::transferText(Ar, B.DataCentre, MaxNameBytes);
  Ar(B.Slots, B.BornMillis);
  wire::transferFlag(Ar, B.IsDraining);
}

template <class Archive> void serialize(Archive &Ar, DirectorySnapshot &S) {
  Ar(S.Version);
  wire::transferList(Ar, S.Instances, wire::MaxListLength);
}

template <class Archive> void serialize(Archive &Ar, PeerBeat &Beat) {
  uint16_t Protocol = PeerBeat::Protocol;
  Ar(Protocol);
  if (Protocol != PeerBeat::Protocol)
    throw cereal::Exception("heartbeat of protocol version " +
                            std::to_string(Protocol));
  wire::transferText(Ar, Beat.Node, wire::MaxNameBytes);
  Ar(Beat.Incarnation, Beat.ConfigVersion, Beat.DirectoryVersion);
  wire::transferFlag(Ar, Beat.IsLeaving);
  wire::transferList(Ar, Beat.InFlight, MaxBeatBytes);
  size_t Peers = wire::transferLength(Ar, Beat.PeerIps.size(), MaxNamedPeers);
  Beat.PeerIps.resize(Peers);
  for (std::string &Ip : Beat.PeerIps)
    wire::transferText(Ar, Ip, wire::MaxNameBytes);
}

namespace {

template <class T> std::string encode(T Value) {
  std::ostringstream Text;
  cereal::PortableBinaryOutputArchive Archive(Text);
  Archive(Value);
  return Text.str();
}

template <class T> absl::StatusOr<T> decode(std::string_view Bytes) {
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

} // namespace

std::string encodeBeat(const PeerBeat &Beat) { return encode(Beat); }

absl::StatusOr<PeerBeat> decodeBeat(std::string_view Datagram) {
  if (Datagram.size() > MaxBeatBytes)
    return absl::InvalidArgumentError("heartbeat is too large");
  return decode<PeerBeat>(Datagram);
}

std::string encodeDirectory(const DirectorySnapshot &Snapshot) {
  return encode(Snapshot);
}

absl::StatusOr<DirectorySnapshot> decodeDirectory(std::string_view Bytes) {
  return decode<DirectorySnapshot>(Bytes);
}

} // namespace ragwort::gateway
