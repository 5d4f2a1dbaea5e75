//===- RequestQuarantine.cpp - Finds and refuses parts that crash servers
//--===//
#include "ragwort/quarantine/RequestQuarantine.h"
#include "ragwort/base/Hash.h"
#include "ragwort/observe/Log.h"
#include <algorithm>
#include <bit>
#include <limits>
#include <utility>

namespace ragwort::quarantine {

namespace {

// Crashes of a part from which on nodes tell each other its counts.
constexpr size_t CrashesForTestimony = 2;

uint16_t saturated(uint32_t Count) {
  constexpr uint32_t Most = std::numeric_limits<uint16_t>::max();
  return static_cast<uint16_t>(std::min(Count, Most));
}

int64_t seconds(Duration Length) {
  return std::chrono::duration_cast<std::chrono::seconds>(Length).count();
}

} // namespace

void RequestQuarantine::onRequest(PartKeys Parts, TimePoint Now) {
  History.addRequest(Parts, Now);
}

void RequestQuarantine::onSurvived(PartKeys Parts, TimePoint SentAt,
                                   TimePoint Now) {
  History.addSurvival(Parts, Now);
  for (PartKey Part : Parts) {
    auto Found = Suspects.find(Part);
    if (Found == Suspects.end())
      continue;
    Suspect &S = Found->second;
    auto First =
        std::find_if(S.Crashes.begin(), S.Crashes.end(),
                     [&S](const Crash &Each) { return Each.At > S.ClearedAt; });
    if (First == S.Crashes.end() || SentAt <= First->At)
      continue;
    clear(Part, S, Now);
    S.TellClearedUntil = Now + ForwardTime;
  }
}

void RequestQuarantine::clear(PartKey Part, Suspect &S, TimePoint Now) {
  if (size_t Count = crashes(S); Count >= CrashesForTestimony)
    logEvent(LogLevel::Info, "prompt-part-cleared",
             {{"part", toString(Part)}, {"crashes", Count}});
  S.ClearedAt = Now;
}

void RequestQuarantine::onCrash(RunKey Run, PartKeys Parts, TimePoint Now) {
  auto Explanation =
      std::find_if(Parts.begin(), Parts.end(),
                   [&](PartKey Part) { return isQuarantined(Part, Now); });
  if (Explanation != Parts.end())
    Parts = Parts.subspan(static_cast<size_t>(Explanation - Parts.begin()), 1);
  for (PartKey Part : Parts) {
    CrashWitness Witness{Part, Run};
    addWitness(Witness, Now);
    OwnWitnesses.emplace_back(Witness, Now + ForwardTime);
  }
  while (OwnWitnesses.size() > MaxDigestEntries)
    OwnWitnesses.pop_front();
}

void RequestQuarantine::addWitness(const CrashWitness &Witness, TimePoint Now) {
  if (isQuarantined(Witness.Part, Now)) {
    explain(Witness.Run, Now);
    return;
  }
  if (isExplained(Witness.Run))
    return;
  Suspect &S = suspectOf(Witness.Part);
  if (std::any_of(S.Crashes.begin(), S.Crashes.end(),
                  [&](const Crash &Each) { return Each.Run == Witness.Run; }))
    return;
  if (S.Crashes.size() >= MaxRunsPerSuspect)
    S.Crashes.erase(S.Crashes.begin());
  S.Crashes.push_back({Witness.Run, Now});
  S.LastCrashAt = Now;
}

RequestQuarantine::Suspect &RequestQuarantine::suspectOf(PartKey Part) {
  if (!Suspects.contains(Part) && Suspects.size() >= MaxSuspects) {
    auto Least = std::min_element(
        Suspects.begin(), Suspects.end(), [](const auto &A, const auto &B) {
          return std::pair(crashes(A.second), A.second.LastCrashAt) <
                 std::pair(crashes(B.second), B.second.LastCrashAt);
        });
    Suspects.erase(Least);
  }
  return Suspects[Part];
}

size_t RequestQuarantine::crashes(const Suspect &S) {
  return static_cast<size_t>(
      std::count_if(S.Crashes.begin(), S.Crashes.end(),
                    [&S](const Crash &Each) { return Each.At > S.ClearedAt; }));
}

void RequestQuarantine::addTestimony(uint64_t Peer,
                                     const PartTestimony &Testimony,
                                     TimePoint Now) {
  auto Found = Suspects.find(Testimony.Part);
  if (Found == Suspects.end())
    return;
  Suspect &S = Found->second;
  if (S.PeerCounts.contains(Peer) || S.PeerCounts.size() < MaxPeersPerSuspect)
    S.PeerCounts[Peer] = {Testimony.Requests, Testimony.Survivals};
  // The peer repeats the news; crashes in the meantime still count.
  if (Testimony.IsCleared && Now - S.ClearedAt > ForwardTime)
    clear(Testimony.Part, S, Now);
}

void RequestQuarantine::onPeerDigest(std::string_view Peer,
                                     const QuarantineDigest &Digest,
                                     TimePoint Now) {
  restore(Digest.Quarantined, Peer, Now);
  for (const CrashWitness &Witness : Digest.Witnesses)
    addWitness(Witness, Now);
  uint64_t PeerKey = hash64(Peer);
  for (const PartTestimony &Testimony : Digest.Testimonies)
    addTestimony(PeerKey, Testimony, Now);
}

void RequestQuarantine::restore(std::span<const QuarantinedPart> Parts,
                                std::string_view Source, TimePoint Now) {
  for (const QuarantinedPart &Each : Parts) {
    auto Known = Quarantines.find(Each.Part);
    if (Each.RemainingSeconds == 0 ||
        (Known != Quarantines.end() && Known->second.Times >= Each.Times))
      continue;
    Duration Remaining = std::min<Duration>(
        std::chrono::seconds(Each.RemainingSeconds), MaxQuarantine);
    logEvent(LogLevel::Warning, "prompt-part-quarantined",
             {{"part", toString(Each.Part)},
              {"source", Source},
              {"for_s", seconds(Remaining)},
              {"times", int(Each.Times)}});
    setQuarantine(Each.Part, Now + Remaining, Each.Times, Now);
  }
}

void RequestQuarantine::setQuarantine(PartKey Part, TimePoint Until,
                                      uint8_t Times, TimePoint Now) {
  if (!Quarantines.contains(Part) && Quarantines.size() >= MaxQuarantined)
    Quarantines.erase(std::min_element(Quarantines.begin(), Quarantines.end(),
                                       [](const auto &A, const auto &B) {
                                         return A.second.Until < B.second.Until;
                                       }));
  Quarantines[Part] = {Until, Times};
  if (auto Found = Suspects.find(Part); Found != Suspects.end()) {
    std::vector<Crash> Crashes = std::move(Found->second.Crashes);
    Suspects.erase(Found);
    for (const Crash &Each : Crashes)
      explain(Each.Run, Now);
  }
}

void RequestQuarantine::explain(RunKey Run, TimePoint Now) {
  if (isExplained(Run))
    return;
  if (Explained.size() >= MaxExplainedRuns)
    Explained.pop_front();
  Explained.push_back({Run, Now});
  for (auto &[Part, S] : Suspects)
    std::erase_if(S.Crashes,
                  [Run](const Crash &Each) { return Each.Run == Run; });
}

bool RequestQuarantine::isExplained(RunKey Run) const {
  return std::any_of(Explained.begin(), Explained.end(),
                     [Run](const Crash &Each) { return Each.Run == Run; });
}

bool RequestQuarantine::isQuarantined(PartKey Part, TimePoint Now) const {
  auto Found = Quarantines.find(Part);
  return Found != Quarantines.end() && Now < Found->second.Until;
}

TraitCounts RequestQuarantine::fleetCounts(PartKey Part,
                                           const Suspect &S) const {
  TraitCounts Sum = History.counts(Part);
  for (const auto &[Peer, Counts] : S.PeerCounts) {
    Sum.Requests += Counts.Requests;
    Sum.Survivals += Counts.Survivals;
  }
  return Sum;
}

size_t RequestQuarantine::neededCrashes(PartKey Part,
                                        uint32_t Survivals) const {
  // The part was quarantined before and is being tried again.
  if (Quarantines.contains(Part))
    return 1;
  return MinCrashes + static_cast<size_t>(std::bit_width(Survivals));
}

std::vector<RequestQuarantine::Candidate>
RequestQuarantine::candidates(TimePoint Now) const {
  std::vector<Candidate> Result;
  for (const auto &[Part, S] : Suspects) {
    Candidate C;
    C.Part = Part;
    C.Crashes = crashes(S);
    C.Counts = fleetCounts(Part, S);
    size_t Needed = neededCrashes(Part, C.Counts.Survivals);
    bool MayArrive = Now - S.LastCrashAt < DecisionDelay && Needed > 1 &&
                     C.Crashes < MaxUndecidedCrashes;
    if (C.Crashes < Needed || MayArrive)
      continue;
    C.Excess = C.Crashes - Needed;
    Result.push_back(C);
  }
  std::sort(Result.begin(), Result.end(),
            [](const Candidate &A, const Candidate &B) {
              return std::pair(B.Excess, A.Counts.Requests) <
                     std::pair(A.Excess, B.Counts.Requests);
            });
  return Result;
}

void RequestQuarantine::update(TimePoint Now) {
  expire(Now);
  if (Now - Start < LearningTime)
    return;
  // Each quarantine explains crashes, after which others may no longer be
  // suspected.
  for (std::vector<Candidate> Found = candidates(Now); !Found.empty();
       Found = candidates(Now)) {
    const Candidate First = Found.front();
    auto End =
        std::find_if(Found.begin(), Found.end(), [&](const Candidate &C) {
          return C.Excess != First.Excess ||
                 C.Counts.Requests != First.Counts.Requests;
        });
    if (End - Found.begin() > 1 && First.Crashes < MaxUndecidedCrashes)
      return;
    std::for_each(Found.begin(), End,
                  [&](const Candidate &C) { quarantine(C, Now); });
  }
}

void RequestQuarantine::quarantine(const Candidate &C, TimePoint Now) {
  auto Before = Quarantines.find(C.Part);
  uint8_t Times = 1;
  if (Before != Quarantines.end())
    Times = std::max<uint8_t>(Before->second.Times,
                              static_cast<uint8_t>(Before->second.Times + 1));
  logEvent(LogLevel::Warning, "prompt-part-quarantined",
           {{"part", toString(C.Part)},
            {"source", "evidence"},
            {"for_s", seconds(length(Times))},
            {"times", int(Times)},
            {"crashes", C.Crashes},
            {"requests", C.Counts.Requests},
            {"survivals", C.Counts.Survivals}});
  setQuarantine(C.Part, Now + length(Times), Times, Now);
}

Duration RequestQuarantine::length(uint8_t Times) {
  Duration Result = FirstQuarantine;
  for (uint8_t I = 1; I < Times && Result < MaxQuarantine; ++I)
    Result *= 2;
  return std::min(Result, MaxQuarantine);
}

Duration RequestQuarantine::endDelay(PartKey Part) const {
  return Duration(static_cast<int64_t>(
      (Seed ^ Part) % static_cast<uint64_t>(EndSpread.count())));
}

void RequestQuarantine::expire(TimePoint Now) {
  std::erase_if(Suspects, [Now](const auto &Item) {
    return Now - Item.second.LastCrashAt > EvidenceLifetime;
  });
  std::erase_if(Quarantines, [Now](const auto &Item) {
    return Now > Item.second.Until + length(Item.second.Times);
  });
  while (!Explained.empty() && Now - Explained.front().At > EvidenceLifetime)
    Explained.pop_front();
  while (!OwnWitnesses.empty() && Now >= OwnWitnesses.front().second)
    OwnWitnesses.pop_front();
}

std::optional<TimePoint>
RequestQuarantine::quarantinedUntil(PartKeys Parts, TimePoint Now) const {
  if (Quarantines.empty())
    return std::nullopt;
  for (PartKey Part : Parts)
    if (auto Found = Quarantines.find(Part); Found != Quarantines.end())
      if (TimePoint End = Found->second.Until + endDelay(Part); Now < End)
        return End;
  return std::nullopt;
}

std::vector<QuarantinedPart>
RequestQuarantine::quarantined(TimePoint Now) const {
  std::vector<QuarantinedPart> Result;
  for (const auto &[Part, Q] : Quarantines)
    if (int64_t Left = seconds(Q.Until - Now); Left > 0)
      Result.push_back({Part, static_cast<uint32_t>(Left), Q.Times});
  return Result;
}

QuarantineDigest RequestQuarantine::takeDigest(TimePoint Now) {
  QuarantineDigest Result;
  for (const auto &[Witness, Until] : OwnWitnesses)
    if (Now < Until)
      Result.Witnesses.push_back(Witness);
  for (const auto &[Part, S] : Suspects) {
    TraitCounts Own = History.counts(Part);
    bool IsCleared = Now < S.TellClearedUntil;
    bool IsAsked = Own.Requests > 0 && crashes(S) >= CrashesForTestimony;
    if ((IsCleared || IsAsked) && Result.Testimonies.size() < MaxDigestEntries)
      Result.Testimonies.push_back(
          {Part, saturated(Own.Requests), saturated(Own.Survivals), IsCleared});
  }
  if (Now < NextQuarantinedAt || Quarantines.empty())
    return Result;
  NextQuarantinedAt = Now + QuarantinedInterval;
  Result.Quarantined = quarantined(Now);
  if (Result.Quarantined.size() > MaxDigestEntries) {
    NextQuarantined %= Result.Quarantined.size();
    std::rotate(Result.Quarantined.begin(),
                Result.Quarantined.begin() +
                    static_cast<ptrdiff_t>(NextQuarantined),
                Result.Quarantined.end());
    Result.Quarantined.resize(MaxDigestEntries);
    NextQuarantined += MaxDigestEntries;
  }
  return Result;
}

std::string RequestQuarantine::describe(TimePoint Now) const {
  std::string Text;
  for (const auto &[Part, S] : Suspects) {
    TraitCounts Counts = fleetCounts(Part, S);
    Text += "part " + toString(Part) +
            " suspected crashes=" + std::to_string(crashes(S)) +
            " requests=" + std::to_string(Counts.Requests) +
            " survivals=" + std::to_string(Counts.Survivals) + "\n";
  }
  for (const QuarantinedPart &Each : quarantined(Now))
    Text += "part " + toString(Each.Part) +
            " quarantined for_s=" + std::to_string(Each.RemainingSeconds) +
            " times=" + std::to_string(Each.Times) + "\n";
  return Text;
}

} // namespace ragwort::quarantine
