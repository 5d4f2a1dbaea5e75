//===- QuarantineWire.cpp - Encoding of what nodes tell of quarantines ----===//
#include "ragwort/quarantine/QuarantineWire.h"
#include "ragwort/wire/Archived.h"
#include "ragwort/wire/Bounded.h"
#include <utility>

namespace ragwort::quarantine {

template <class Archive> void serialize(Archive &Ar, Trait &T) {
  wire::transferEnum(Ar, T.Kind, TraitKind::WholeRequest);
  Ar(T.Key);
}

template <class Archive> void serialize(Archive &Ar, CrashWitness &Witness) {
  Ar(Witness.Run, Witness.Request);
  wire::transferList(Ar, Witness.Parts, MaxPromptParts);
}

template <class Archive>
void serialize(Archive &Ar, TraitTestimony &Testimony) {
  Ar(Testimony.Subject, Testimony.Requests, Testimony.Survivals);
  wire::transferFlag(Ar, Testimony.IsCleared);
}

template <class Archive> void serialize(Archive &Ar, QuarantinedTrait &Entry) {
  Ar(Entry.Subject, Entry.RemainingSeconds, Entry.Times);
}

template <class Archive> void serialize(Archive &Ar, QuarantineDigest &Digest) {
  constexpr size_t Most = RequestQuarantine::MaxDigestEntries;
  wire::transferProtocol(Ar, QuarantineDigest::Protocol);
  wire::transferList(Ar, Digest.Witnesses, Most);
  wire::transferList(Ar, Digest.Testimonies, Most);
  wire::transferList(Ar, Digest.Quarantined, Most);
}

namespace {

size_t encodedBytes(const CrashWitness &Witness) {
  return sizeof(Witness.Run) + sizeof(Witness.Request) +
         sizeof(cereal::size_type) + Witness.Parts.size() * sizeof(PartKey);
}

/// As many witnesses a datagram as fit.
void encodeWitnesses(std::span<const CrashWitness> Witnesses, size_t MaxBytes,
                     std::vector<std::string> &Result) {
  const size_t EmptyBytes = wire::toArchive(QuarantineDigest()).size();
  QuarantineDigest Next;
  size_t Bytes = EmptyBytes;
  for (const CrashWitness &Each : Witnesses) {
    if (Bytes + encodedBytes(Each) > MaxBytes) {
      Result.push_back(
          wire::toArchive(std::exchange(Next, QuarantineDigest())));
      Bytes = EmptyBytes;
    }
    Next.Witnesses.push_back(Each);
    Bytes += encodedBytes(Each);
  }
  if (!Next.Witnesses.empty())
    Result.push_back(wire::toArchive(std::move(Next)));
}

} // namespace

std::vector<std::string> encodeQuarantine(const QuarantineDigest &Digest,
                                          size_t MaxDatagramBytes) {
  std::vector<std::string> Result;
  encodeWitnesses(Digest.Witnesses, MaxDatagramBytes, Result);
  if (!Digest.Testimonies.empty())
    Result.push_back(
        wire::toArchive(QuarantineDigest{{}, Digest.Testimonies, {}}));
  if (!Digest.Quarantined.empty())
    Result.push_back(
        wire::toArchive(QuarantineDigest{{}, {}, Digest.Quarantined}));
  return Result;
}

absl::StatusOr<QuarantineDigest> decodeQuarantine(std::string_view Datagram,
                                                  size_t MaxDatagramBytes) {
  return wire::fromDatagram<QuarantineDigest>(Datagram, MaxDatagramBytes);
}

} // namespace ragwort::quarantine
