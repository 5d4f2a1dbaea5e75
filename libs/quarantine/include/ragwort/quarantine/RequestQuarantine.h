//===- RequestQuarantine.h - Finds and refuses parts that crash servers
//----===//
//
// A part of a prompt may crash every server that begins to answer it. Such a
// part is found by the crashes at which it was present, and requests with it
// are refused from then on. Each node decides by itself from its own and its
// peers' evidence; a decision of one node holds for all.
//
// A part is suspected of a crash if a request with it was at a server when that
// run of the server ended. It is cleared as soon as a later request with it
// survives. Of several suspected parts, the one with the most crashes for its
// earlier survivals is quarantined, then the one with the fewest requests; it
// explains its crashes, which then count for no other part.
//
// Pure: without sockets, clocks and threads.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_QUARANTINE_REQUESTQUARANTINE_H
#define RAGWORT_QUARANTINE_REQUESTQUARANTINE_H

#include "ragwort/quarantine/TraitHistory.h"
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace ragwort::quarantine {

/// Identifies one run of a server: a hash of the server's id and start.
using RunKey = uint64_t;

/// A request with the part was at a server when that run of it ended.
struct CrashWitness {
  PartKey Part = 0;
  RunKey Run = 0;
};

/// What one node has seen of a suspected part.
struct PartTestimony {
  PartKey Part = 0;
  uint16_t Requests = 0;
  uint16_t Survivals = 0;
  /// A request sent after the part's first known crash has survived.
  bool IsCleared = false;
};

struct QuarantinedPart {
  PartKey Part = 0;
  uint32_t RemainingSeconds = 0;
  /// How often it has been quarantined.
  uint8_t Times = 1;
};

/// What a node tells its peers.
struct QuarantineDigest {
  static constexpr uint16_t Protocol = 1005;

  std::vector<CrashWitness> Witnesses;
  std::vector<PartTestimony> Testimonies;
  std::vector<QuarantinedPart> Quarantined;
};

/// \code
///   Quarantine.onRequest(Parts, Now);
///   if (auto Until = Quarantine.quarantinedUntil(Parts, Now))
///     refuse(*Until - Now);
///   ...
///   Quarantine.onCrash(Run, Parts, Now);  // or onSurvived()
///   Quarantine.update(Now);               // some times a second
/// \endcode
class RequestQuarantine {
public:
  /// Crashes that quarantine a part no request has survived.
  static constexpr size_t MinCrashes = 3;
  /// Crashes after which parts are quarantined that cannot be told apart.
  static constexpr size_t MaxUndecidedCrashes = 5;
  /// Time after a part's last crash in which its peers' evidence and counts
  /// arrive; a decision waits for it below MaxUndecidedCrashes.
  static constexpr Duration DecisionDelay = std::chrono::milliseconds(500);
  /// A node decides nothing for this long after its start, in which it hears
  /// its peers.
  static constexpr Duration LearningTime = std::chrono::seconds(2);
  static constexpr Duration FirstQuarantine = std::chrono::minutes(10);
  static constexpr Duration MaxQuarantine = std::chrono::hours(24);
  /// Nodes let a quarantine end at times spread over this, so that one of them
  /// tries the part first.
  static constexpr Duration EndSpread = std::chrono::minutes(1);
  /// Suspicions and explained crashes are forgotten after this time.
  static constexpr Duration EvidenceLifetime = std::chrono::minutes(10);
  /// Time for which own evidence is repeated to peers.
  static constexpr Duration ForwardTime = std::chrono::milliseconds(2000);
  static constexpr Duration QuarantinedInterval =
      std::chrono::milliseconds(1000);
  static constexpr size_t MaxSuspects = 256;
  static constexpr size_t MaxRunsPerSuspect = 24;
  static constexpr size_t MaxPeersPerSuspect = 64;
  static constexpr size_t MaxExplainedRuns = 256;
  static constexpr size_t MaxQuarantined = 256;
  /// Maximum number of entries of each kind in a digest.
  static constexpr size_t MaxDigestEntries = 64;

  RequestQuarantine(uint64_t Seed, TimePoint Start)
      : Seed(Seed), Start(Start) {}

  /// A request arrived that will be sent to a server.
  void onRequest(PartKeys Parts, TimePoint Now);
  /// A server survived a request that was sent to it at \p SentAt.
  void onSurvived(PartKeys Parts, TimePoint SentAt, TimePoint Now);
  /// \p Run of a server ended while a request with \p Parts was there.
  void onCrash(RunKey Run, PartKeys Parts, TimePoint Now);
  void onPeerDigest(std::string_view Peer, const QuarantineDigest &Digest,
                    TimePoint Now);
  /// Takes over quarantines of another node or from the store.
  void restore(std::span<const QuarantinedPart> Parts, std::string_view Source,
               TimePoint Now);
  /// Decides about the suspected parts.
  void update(TimePoint Now);

  /// The end of the quarantine of one of \p Parts, if there is one.
  std::optional<TimePoint> quarantinedUntil(PartKeys Parts,
                                            TimePoint Now) const;
  /// The quarantined parts, with the time that remains for this node's peers.
  std::vector<QuarantinedPart> quarantined(TimePoint Now) const;
  /// What to tell the peers now.
  QuarantineDigest takeDigest(TimePoint Now);
  size_t suspectCount() const { return Suspects.size(); }
  /// One line per suspected or quarantined part, for the state dump.
  std::string describe(TimePoint Now) const;

private:
  struct Crash {
    RunKey Run = 0;
    TimePoint At;
  };
  struct Suspect {
    // Distinct runs, oldest first.
    std::vector<Crash> Crashes;
    // Crashes until this time do not count.
    TimePoint ClearedAt{};
    // By the hash of the peer's name.
    std::map<uint64_t, TraitCounts> PeerCounts;
    // While set, peers are told that the part is cleared.
    TimePoint TellClearedUntil{};
    TimePoint LastCrashAt{};
  };
  struct Quarantine {
    TimePoint Until;
    uint8_t Times = 1;
  };
  struct Candidate {
    PartKey Part = 0;
    size_t Crashes = 0;
    // Crashes beyond the number that is needed.
    size_t Excess = 0;
    TraitCounts Counts;
  };

  void addWitness(const CrashWitness &Witness, TimePoint Now);
  void addTestimony(uint64_t Peer, const PartTestimony &Testimony,
                    TimePoint Now);
  void explain(RunKey Run, TimePoint Now);
  void clear(PartKey Part, Suspect &S, TimePoint Now);
  /// Refuses \p Part until \p Until and explains its crashes by it.
  void setQuarantine(PartKey Part, TimePoint Until, uint8_t Times,
                     TimePoint Now);
  void quarantine(const Candidate &C, TimePoint Now);
  Suspect &suspectOf(PartKey Part);
  void expire(TimePoint Now);
  bool isQuarantined(PartKey Part, TimePoint Now) const;
  bool isExplained(RunKey Run) const;
  TraitCounts fleetCounts(PartKey Part, const Suspect &S) const;
  std::vector<Candidate> candidates(TimePoint Now) const;
  static size_t crashes(const Suspect &S);
  size_t neededCrashes(PartKey Part, uint32_t Survivals) const;
  static Duration length(uint8_t Times);
  Duration endDelay(PartKey Part) const;

  const uint64_t Seed;
  const TimePoint Start;
  TraitHistory History;
  std::map<PartKey, Suspect> Suspects;
  // Includes ended quarantines until they are forgotten.
  std::map<PartKey, Quarantine> Quarantines;
  // Runs whose crash a quarantined part explains, oldest first.
  std::deque<Crash> Explained;
  // Own evidence and the time until which it is repeated, oldest first.
  std::deque<std::pair<CrashWitness, TimePoint>> OwnWitnesses;
  TimePoint NextQuarantinedAt{};
  // Where the next digest of more than MaxDigestEntries quarantines begins.
  size_t NextQuarantined = 0;
};

} // namespace ragwort::quarantine

#endif
