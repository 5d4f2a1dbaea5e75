//===- RequestQuarantine.h - Finds and refuses what crashes servers -------===//
//
// A part of a prompt may crash every server that begins to answer it, and so
// may one whole request that comes again and again. Such a trait is found by
// the crashes at which it was present, and requests with it are refused from
// then on. Each node decides by itself from its own and its peers' evidence; a
// decision of one node holds for all.
//
// A trait is suspected of a crash if a request with it was at a server when
// that run of the server ended. It is cleared as soon as a later request with
// it survives. Of several suspects, the one with the most crashes for its
// earlier survivals is quarantined. It explains its crashes, which then count
// for no other trait. A request explains them for other requests only: a part
// of it may still be the cause, which is shown by crashes under further
// requests with the part.
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

/// A request was at a server when that run of it ended.
struct CrashWitness {
  RunKey Run = 0;
  Fingerprint Request = 0;
  /// The parts of its prompt that are suspected with it.
  std::vector<PartKey> Parts;
};

/// What one node has seen of a suspect.
struct TraitTestimony {
  Trait Subject;
  uint16_t Requests = 0;
  uint16_t Survivals = 0;
  /// A request sent after the suspect's first known crash has survived.
  bool IsCleared = false;
};

struct QuarantinedTrait {
  Trait Subject;
  uint32_t RemainingSeconds = 0;
  /// How often it has been quarantined.
  uint8_t Times = 1;
};

/// What a node tells its peers.
struct QuarantineDigest {
  static constexpr uint16_t Protocol = 1007;

  std::vector<CrashWitness> Witnesses;
  std::vector<TraitTestimony> Testimonies;
  std::vector<QuarantinedTrait> Quarantined;
};

/// The quarantine that a request falls under.
struct ActiveQuarantine {
  Trait Subject;
  TimePoint Until;
};

/// \code
///   Quarantine.onRequest(Traits, Now);
///   if (auto Active = Quarantine.find(Traits, Now))
///     refuse(Active->Until - Now);
///   ...
///   Quarantine.onCrash(Run, Traits, Now);  // or onSurvived()
///   Quarantine.update(Now);                // some times a second
/// \endcode
class RequestQuarantine {
public:
  /// Crashes that quarantine a request of which no repeat has survived. Fewer
  /// than for a part: refusing one request harms few callers, another crash of
  /// a rank harms all that its group serves.
  static constexpr size_t MinRequestCrashes = 2;
  /// Crashes that quarantine a part of which no request has survived.
  static constexpr size_t MinPartCrashes = 3;
  /// Of the crashes of a part, how many must be under other requests than the
  /// one with the most.
  static constexpr size_t MinOtherCrashes = 2;
  /// So many requests that cannot be told apart are quarantined together rather
  /// than let one of them crash another server.
  static constexpr size_t MaxTiedRequests = 3;
  /// Crashes after which suspects are quarantined that cannot be told apart.
  static constexpr size_t MaxUndecidedCrashes = 5;
  /// Time after a suspect's last crash in which its peers' evidence and counts
  /// arrive; a decision waits for it below MaxUndecidedCrashes.
  static constexpr Duration DecisionDelay = std::chrono::milliseconds(500);
  /// A node decides nothing for this long after its start, in which it hears
  /// its peers.
  static constexpr Duration LearningTime = std::chrono::seconds(2);
  static constexpr Duration FirstQuarantine = std::chrono::minutes(10);
  /// Factor from one quarantine of a trait to its next.
  static constexpr int QuarantineGrowth = 8;
  static constexpr Duration MaxQuarantine = std::chrono::hours(24);
  /// Nodes let a quarantine end at times spread over this, so that one of them
  /// tries the trait first.
  static constexpr Duration EndSpread = std::chrono::minutes(1);
  /// After its end, a quarantine is remembered for this long; meanwhile one
  /// crash renews it.
  static constexpr Duration EndedLifetime = MaxQuarantine;
  /// Suspicions and explained crashes are forgotten after this time.
  static constexpr Duration EvidenceLifetime = std::chrono::minutes(10);
  /// Time for which own evidence is repeated to peers.
  static constexpr Duration ForwardTime = std::chrono::milliseconds(2000);
  static constexpr Duration QuarantinedInterval =
      std::chrono::milliseconds(1000);
  static constexpr size_t MaxSuspects = 1024;
  static constexpr size_t MaxCrashesPerSuspect = 64;
  static constexpr size_t MaxPeersPerSuspect = 64;
  static constexpr size_t MaxExplainedRuns = 256;
  static constexpr size_t MaxQuarantined = 256;
  /// Maximum number of entries of each kind in a digest.
  static constexpr size_t MaxDigestEntries = 64;

  RequestQuarantine(uint64_t Seed, TimePoint Start)
      : Seed(Seed), Start(Start) {}

  /// A request arrived that will be sent to a server.
  void onRequest(const RequestTraits &Traits, TimePoint Now);
  /// A server survived a request that was sent to it at \p SentAt.
  void onSurvived(const RequestTraits &Traits, TimePoint SentAt, TimePoint Now);
  /// \p Run of a server ended while a request with \p Traits was there.
  void onCrash(RunKey Run, const RequestTraits &Traits, TimePoint Now);
  void onPeerDigest(std::string_view Peer, const QuarantineDigest &Digest,
                    TimePoint Now);
  /// Takes over quarantines of another node or from the store.
  void restore(std::span<const QuarantinedTrait> Traits,
               std::string_view Source, TimePoint Now);
  /// Decides about the suspects.
  void update(TimePoint Now);

  /// The quarantine of one of \p Traits, if there is one.
  std::optional<ActiveQuarantine> find(const RequestTraits &Traits,
                                       TimePoint Now) const;
  /// The quarantined traits, with the time that remains for this node's peers.
  std::vector<QuarantinedTrait> quarantined(TimePoint Now) const;
  /// What to tell the peers now.
  QuarantineDigest takeDigest(TimePoint Now);
  size_t suspectCount() const { return Suspects.size(); }
  /// One line per suspected or quarantined trait, for the state dump.
  std::string describe(TimePoint Now) const;

private:
  struct Crash {
    RunKey Run = 0;
    Fingerprint Request = 0;
    TimePoint At;
  };
  struct Suspect {
    // Oldest first; no two have both the same run and the same request.
    std::vector<Crash> Crashes;
    // Crashes until this time do not count.
    TimePoint ClearedAt{};
    // By the hash of the peer's name.
    std::map<uint64_t, TraitCounts> PeerCounts;
    // While set, peers are told that the suspect is cleared.
    TimePoint TellClearedUntil{};
    TimePoint LastCrashAt{};
  };
  struct CrashCounts {
    // Distinct runs.
    size_t Runs = 0;
    // Those without the request that was at the most of them, as far as the
    // peers have had time to tell which requests were there.
    size_t OtherRuns = 0;
  };
  struct Quarantine {
    TimePoint Until;
    uint8_t Times = 1;
  };
  struct Explanation {
    RunKey Run = 0;
    TimePoint At;
    // Only the own parts of these requests are still suspected of the crash.
    std::vector<Fingerprint> Requests;
  };
  struct Candidate {
    Trait Subject;
    size_t Crashes = 0;
    // Crashes beyond the number that is needed.
    size_t Excess = 0;
    // Whether the peers have had time to tell what they know.
    bool IsSettled = false;
    TraitCounts Counts;
  };

  void addWitness(const CrashWitness &Witness, TimePoint Now);
  void addCrash(const Trait &T, const CrashWitness &Witness, TimePoint Now);
  void addTestimony(uint64_t Peer, const TraitTestimony &Testimony,
                    TimePoint Now);
  /// The crash of \p Run is explained by one of \p Requests, or by a part if
  /// there are none.
  void explain(RunKey Run, std::span<const Fingerprint> Requests,
               TimePoint Now);
  void clear(const Trait &T, Suspect &S, TimePoint Now);
  /// Refuses \p Traits and explains their crashes. The requests among them are
  /// not told apart.
  void setQuarantines(std::span<const QuarantinedTrait> Traits, TimePoint Now);
  void quarantine(std::span<const Candidate> Found, TimePoint Now);
  Suspect &suspectOf(const Trait &T);
  void expire(TimePoint Now);
  bool isQuarantined(const Trait &T, TimePoint Now) const;
  bool isExplained(RunKey Run, Fingerprint Request) const;
  TraitCounts fleetCounts(const Trait &T, const Suspect &S) const;
  std::vector<Candidate> candidates(TimePoint Now) const;
  /// Whether \p A is the more likely cause of crashes at which both were.
  static bool isBefore(const Candidate &A, const Candidate &B);
  bool sharesRun(const Trait &A, const Trait &B) const;
  /// One cause, or several that cannot be told apart; empty if the evidence
  /// is not sufficient yet.
  std::vector<Candidate> decidable(TimePoint Now) const;
  static CrashCounts crashes(const Suspect &S, TimePoint Now);
  size_t neededCrashes(const Trait &T, uint32_t Survivals) const;
  static Duration length(uint8_t Times);
  Duration endDelay(const Trait &T) const;

  const uint64_t Seed;
  const TimePoint Start;
  TraitHistory History;
  std::map<Trait, Suspect> Suspects;
  // Includes ended quarantines until they are forgotten.
  std::map<Trait, Quarantine> Quarantines;
  // Runs whose crash a quarantined trait explains, oldest first.
  std::deque<Explanation> Explained;
  // Own evidence and the time until which it is repeated, oldest first.
  std::deque<std::pair<CrashWitness, TimePoint>> OwnWitnesses;
  TimePoint NextQuarantinedAt{};
  // Where the next digest of more than MaxDigestEntries quarantines begins.
  size_t NextQuarantined = 0;
};

} // namespace ragwort::quarantine

#endif
