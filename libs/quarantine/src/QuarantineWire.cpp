//===- QuarantineWire.cpp - Encoding of what nodes tell of quarantines ----===//
#include "ragwort/quarantine/QuarantineWire.h"
#include "ragwort/wire/Archived.h"
#include "ragwort/wire/Bounded.h"

namespace ragwort::quarantine {

template <class Archive> void serialize(Archive &Ar, CrashWitness &Witness) {
  Ar(Witness.Part, Witness.Run);
}

template <class Archive> void serialize(Archive &Ar, PartTestimony &Testimony) {
  Ar(Testimony.Part, Testimony.Requests, Testimony.Survivals);
  wire::transferFlag(Ar, Testimony.IsCleared);
}

template <class Archive> void serialize(Archive &Ar, QuarantinedPart &Part) {
  Ar(Part.Part, Part.RemainingSeconds, Part.Times);
}

template <class Archive> void serialize(Archive &Ar, QuarantineDigest &Digest) {
  constexpr size_t Most = RequestQuarantine::MaxDigestEntries;
  wire::transferProtocol(Ar, QuarantineDigest::Protocol);
  wire::transferList(Ar, Digest.Witnesses, Most);
  wire::transferList(Ar, Digest.Testimonies, Most);
  wire::transferList(Ar, Digest.Quarantined, Most);
}

std::vector<std::string> encodeQuarantine(const QuarantineDigest &Digest) {
  std::vector<std::string> Result;
  if (!Digest.Witnesses.empty())
    Result.push_back(
        wire::toArchive(QuarantineDigest{Digest.Witnesses, {}, {}}));
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
