//===- RequestQuarantine.cpp - Finds and refuses what crashes servers -----===//
#include "ragwort/quarantine/RequestQuarantine.h"
#include "ragwort/base/Hash.h"
#include "ragwort/observe/Log.h"
#include <algorithm>
#include <bit>
#include <limits>
#include <set>
#include <utility>

namespace ragwort::quarantine {

namespace {

// Crashes of a suspect from which on nodes tell each other its counts.
constexpr size_t CrashesForTestimony = 2;
// Candidates that are compared with each other; the others wait.
constexpr size_t MaxCandidates = 64;

uint16_t saturated(uint32_t Count) {
  constexpr uint32_t Most = std::numeric_limits<uint16_t>::max();
  return static_cast<uint16_t>(std::min(Count, Most));
}

int64_t seconds(Duration Length) {
  return std::chrono::duration_cast<std::chrono::seconds>(Length).count();
}

std::string describe(const Trait &T) {
  return std::string(toString(T.Kind)) + " " + toString(T.Key);
}

} // namespace

void RequestQuarantine::onRequest(const RequestTraits &Traits, TimePoint Now) {
  History.addRequest(Traits, Now);
}

void RequestQuarantine::onSurvived(const RequestTraits &Traits,
                                   TimePoint SentAt, TimePoint Now) {
  History.addSurvival(Traits, Now);
  for (const Trait &T : Traits.all()) {
    auto Found = Suspects.find(T);
    if (Found == Suspects.end())
      continue;
    Suspect &S = Found->second;
    auto First =
        std::find_if(S.Crashes.begin(), S.Crashes.end(),
                     [&S](const Crash &Each) { return Each.At > S.ClearedAt; });
    if (First == S.Crashes.end() || SentAt <= First->At)
      continue;
    clear(T, S, Now);
    S.TellClearedUntil = Now + ForwardTime;
  }
}

void RequestQuarantine::clear(const Trait &T, Suspect &S, TimePoint Now) {
  if (size_t Count = crashes(S, Now).Runs; Count >= CrashesForTestimony)
    logEvent(LogLevel::Info, "suspect-cleared",
             {{"kind", toString(T.Kind)},
              {"key", toString(T.Key)},
              {"crashes", Count}});
  S.ClearedAt = Now;
}

void RequestQuarantine::onCrash(RunKey Run, const RequestTraits &Traits,
                                TimePoint Now) {
  CrashWitness Witness{Run, Traits.fingerprint(), {}};
  for (const Trait &T : Traits.parts())
    Witness.Parts.push_back(T.Key);
  // What is known to be the cause leaves nothing else to suspect.
  auto Cause =
      std::find_if(Traits.parts().begin(), Traits.parts().end(),
                   [&](const Trait &T) { return isQuarantined(T, Now); });
  if (Cause != Traits.parts().end())
    Witness.Parts = {Cause->Key};
  else if (isQuarantined(Traits.all().front(), Now))
    Witness.Parts.clear();
  addWitness(Witness, Now);
  OwnWitnesses.emplace_back(std::move(Witness), Now + ForwardTime);
  while (OwnWitnesses.size() > MaxDigestEntries)
    OwnWitnesses.pop_front();
}

void RequestQuarantine::addWitness(const CrashWitness &Witness, TimePoint Now) {
  const RequestTraits Traits(Witness.Request, Witness.Parts);
  if (std::any_of(Traits.parts().begin(), Traits.parts().end(),
                  [&](const Trait &T) { return isQuarantined(T, Now); })) {
    explain(Witness.Run, {}, Now);
    return;
  }
  if (isQuarantined(Traits.all().front(), Now))
    explain(Witness.Run, std::span(&Witness.Request, 1), Now);
  for (const Trait &T : Traits.all())
    addCrash(T, Witness, Now);
}

void RequestQuarantine::addCrash(const Trait &T, const CrashWitness &Witness,
                                 TimePoint Now) {
  if (isQuarantined(T, Now) || isExplained(Witness.Run, Witness.Request))
    return;
  Suspect &S = suspectOf(T);
  if (std::any_of(S.Crashes.begin(), S.Crashes.end(), [&](const Crash &Each) {
        return Each.Run == Witness.Run && Each.Request == Witness.Request;
      }))
    return;
  if (S.Crashes.size() >= MaxCrashesPerSuspect)
    S.Crashes.erase(S.Crashes.begin());
  S.Crashes.push_back({Witness.Run, Witness.Request, Now});
  S.LastCrashAt = Now;
}

RequestQuarantine::Suspect &RequestQuarantine::suspectOf(const Trait &T) {
  if (!Suspects.contains(T) && Suspects.size() >= MaxSuspects) {
    auto Least = std::min_element(
        Suspects.begin(), Suspects.end(), [](const auto &A, const auto &B) {
          return std::pair(A.second.Crashes.size(), A.second.LastCrashAt) <
                 std::pair(B.second.Crashes.size(), B.second.LastCrashAt);
        });
    Suspects.erase(Least);
  }
  return Suspects[T];
}

RequestQuarantine::CrashCounts RequestQuarantine::crashes(const Suspect &S,
                                                          TimePoint Now) {
  std::set<RunKey> Runs;
  std::set<RunKey> Settled;
  std::map<Fingerprint, std::set<RunKey>> ByRequest;
  for (const Crash &Each : S.Crashes)
    if (Each.At > S.ClearedAt) {
      Runs.insert(Each.Run);
      ByRequest[Each.Request].insert(Each.Run);
      if (Now - Each.At >= DecisionDelay)
        Settled.insert(Each.Run);
    }
  const std::set<RunKey> *Most = &Runs;
  for (const auto &[Request, OfRequest] : ByRequest)
    if (Most == &Runs || OfRequest.size() > Most->size())
      Most = &OfRequest;
  auto Others =
      std::count_if(Settled.begin(), Settled.end(),
                    [Most](RunKey Run) { return !Most->contains(Run); });
  return {Runs.size(), static_cast<size_t>(Others)};
}

void RequestQuarantine::addTestimony(uint64_t Peer,
                                     const TraitTestimony &Testimony,
                                     TimePoint Now) {
  auto Found = Suspects.find(Testimony.Subject);
  if (Found == Suspects.end())
    return;
  Suspect &S = Found->second;
  if (S.PeerCounts.contains(Peer) || S.PeerCounts.size() < MaxPeersPerSuspect)
    S.PeerCounts[Peer] = {Testimony.Requests, Testimony.Survivals};
  // The peer repeats the news; crashes in the meantime still count.
  if (Testimony.IsCleared && Now - S.ClearedAt > ForwardTime)
    clear(Testimony.Subject, S, Now);
}

void RequestQuarantine::onPeerDigest(std::string_view Peer,
                                     const QuarantineDigest &Digest,
                                     TimePoint Now) {
  restore(Digest.Quarantined, Peer, Now);
  for (const CrashWitness &Witness : Digest.Witnesses)
    addWitness(Witness, Now);
  uint64_t PeerKey = hash64(Peer);
  for (const TraitTestimony &Testimony : Digest.Testimonies)
    addTestimony(PeerKey, Testimony, Now);
}

void RequestQuarantine::restore(std::span<const QuarantinedTrait> Traits,
                                std::string_view Source, TimePoint Now) {
  std::vector<QuarantinedTrait> News;
  for (const QuarantinedTrait &Each : Traits) {
    auto Known = Quarantines.find(Each.Subject);
    if (Each.RemainingSeconds == 0 ||
        (Known != Quarantines.end() && Known->second.Times >= Each.Times))
      continue;
    News.push_back(Each);
    News.back().RemainingSeconds = std::min(
        Each.RemainingSeconds, static_cast<uint32_t>(seconds(MaxQuarantine)));
    logEvent(LogLevel::Warning, "quarantined",
             {{"kind", toString(Each.Subject.Kind)},
              {"key", toString(Each.Subject.Key)},
              {"source", Source},
              {"for_s", News.back().RemainingSeconds},
              {"times", int(Each.Times)}});
  }
  setQuarantines(News, Now);
}

void RequestQuarantine::setQuarantines(std::span<const QuarantinedTrait> Traits,
                                       TimePoint Now) {
  std::vector<Fingerprint> Requests;
  for (const QuarantinedTrait &Each : Traits)
    if (Each.Subject.Kind == TraitKind::WholeRequest)
      Requests.push_back(Each.Subject.Key);
  for (const auto &[T, RemainingSeconds, Times] : Traits) {
    if (!Quarantines.contains(T) && Quarantines.size() >= MaxQuarantined)
      Quarantines.erase(std::min_element(Quarantines.begin(), Quarantines.end(),
                                         [](const auto &A, const auto &B) {
                                           return A.second.Until <
                                                  B.second.Until;
                                         }));
    Quarantines[T] = {Now + std::chrono::seconds(RemainingSeconds), Times};
    auto Found = Suspects.find(T);
    if (Found == Suspects.end())
      continue;
    std::vector<Crash> Crashes = std::move(Found->second.Crashes);
    Suspects.erase(Found);
    bool IsPart = T.Kind == TraitKind::PromptPart;
    for (const Crash &Each : Crashes)
      explain(Each.Run, IsPart ? std::span<const Fingerprint>() : Requests,
              Now);
  }
}

void RequestQuarantine::explain(RunKey Run,
                                std::span<const Fingerprint> Requests,
                                TimePoint Now) {
  auto Known =
      std::find_if(Explained.begin(), Explained.end(),
                   [Run](const Explanation &Each) { return Each.Run == Run; });
  if (Known == Explained.end()) {
    if (Explained.size() >= MaxExplainedRuns)
      Explained.pop_front();
    Explained.push_back({Run, Now, {Requests.begin(), Requests.end()}});
    Known = std::prev(Explained.end());
  } else if (Requests.empty()) {
    Known->Requests.clear();
  }
  for (auto &[T, S] : Suspects)
    std::erase_if(S.Crashes, [&](const Crash &Each) {
      return Each.Run == Run && isExplained(Run, Each.Request);
    });
}

bool RequestQuarantine::isExplained(RunKey Run, Fingerprint Request) const {
  return std::any_of(
      Explained.begin(), Explained.end(), [&](const Explanation &Each) {
        return Each.Run == Run &&
               std::find(Each.Requests.begin(), Each.Requests.end(), Request) ==
                   Each.Requests.end();
      });
}

bool RequestQuarantine::isQuarantined(const Trait &T, TimePoint Now) const {
  auto Found = Quarantines.find(T);
  return Found != Quarantines.end() && Now < Found->second.Until;
}

TraitCounts RequestQuarantine::fleetCounts(const Trait &T,
                                           const Suspect &S) const {
  TraitCounts Sum = History.counts(T);
  for (const auto &[Peer, Counts] : S.PeerCounts) {
    Sum.Requests += Counts.Requests;
    Sum.Survivals += Counts.Survivals;
  }
  return Sum;
}

size_t RequestQuarantine::neededCrashes(const Trait &T,
                                        uint32_t Survivals) const {
  // The trait was quarantined before and is being tried again.
  if (Quarantines.contains(T))
    return 1;
  size_t Unsurvived =
      T.Kind == TraitKind::WholeRequest ? MinRequestCrashes : MinPartCrashes;
  return Unsurvived + static_cast<size_t>(std::bit_width(Survivals));
}

bool RequestQuarantine::isBefore(const Candidate &A, const Candidate &B) {
  if (A.Excess != B.Excess)
    return A.Excess > B.Excess;
  // A request explains its crashes at least as well as its parts do.
  if (A.Subject.Kind != B.Subject.Kind)
    return A.Subject.Kind == TraitKind::WholeRequest;
  // The number of requests tells parts apart, but not repeats of requests.
  return A.Subject.Kind == TraitKind::PromptPart &&
         A.Counts.Requests < B.Counts.Requests;
}

bool RequestQuarantine::sharesRun(const Trait &A, const Trait &B) const {
  const std::vector<Crash> &OfB = Suspects.at(B).Crashes;
  const std::vector<Crash> &OfA = Suspects.at(A).Crashes;
  return std::any_of(OfA.begin(), OfA.end(), [&](const Crash &Each) {
    return std::any_of(OfB.begin(), OfB.end(), [&](const Crash &Other) {
      return Each.Run == Other.Run;
    });
  });
}

std::vector<RequestQuarantine::Candidate>
RequestQuarantine::candidates(TimePoint Now) const {
  std::vector<Candidate> Result;
  for (const auto &[T, S] : Suspects) {
    if (S.Crashes.size() < MinRequestCrashes && !Quarantines.contains(T))
      continue;
    Candidate C;
    C.Subject = T;
    CrashCounts Crashes = crashes(S, Now);
    C.Crashes = Crashes.Runs;
    C.Counts = fleetCounts(T, S);
    size_t Needed = neededCrashes(T, C.Counts.Survivals);
    C.IsSettled = Now - S.LastCrashAt >= DecisionDelay || Needed == 1 ||
                  C.Crashes >= MaxUndecidedCrashes;
    bool IsOneRequest = T.Kind == TraitKind::PromptPart && Needed > 1 &&
                        Crashes.OtherRuns < MinOtherCrashes;
    if (C.Crashes < Needed || IsOneRequest)
      continue;
    C.Excess = C.Crashes - Needed;
    Result.push_back(C);
  }
  std::sort(Result.begin(), Result.end(), isBefore);
  if (Result.size() > MaxCandidates)
    Result.resize(MaxCandidates);
  return Result;
}

std::vector<RequestQuarantine::Candidate>
RequestQuarantine::decidable(TimePoint Now) const {
  std::vector<Candidate> Found = candidates(Now);
  for (const Candidate &C : Found) {
    if (!C.IsSettled)
      continue;
    // Other suspects of the same crashes that are no less likely.
    std::vector<Candidate> Result = {C};
    bool IsLessLikely = false;
    bool IsAllSettled = true;
    for (const Candidate &Other : Found)
      if (Other.Subject != C.Subject && !isBefore(C, Other) &&
          sharesRun(C.Subject, Other.Subject)) {
        IsLessLikely |= isBefore(Other, C);
        IsAllSettled &= Other.IsSettled;
        Result.push_back(Other);
      }
    bool IsFew = C.Subject.Kind == TraitKind::WholeRequest &&
                 Result.size() <= MaxTiedRequests && IsAllSettled;
    if (Result.size() == 1 ||
        (!IsLessLikely && (IsFew || C.Crashes >= MaxUndecidedCrashes)))
      return Result;
  }
  return {};
}

void RequestQuarantine::update(TimePoint Now) {
  expire(Now);
  if (Now - Start < LearningTime)
    return;
  // Each quarantine explains crashes, after which others may no longer be
  // suspected.
  for (std::vector<Candidate> Found = decidable(Now); !Found.empty();
       Found = decidable(Now))
    quarantine(Found, Now);
}

void RequestQuarantine::quarantine(std::span<const Candidate> Found,
                                   TimePoint Now) {
  std::vector<QuarantinedTrait> Traits;
  for (const Candidate &C : Found) {
    auto Before = Quarantines.find(C.Subject);
    uint8_t Times = 1;
    if (Before != Quarantines.end())
      Times = std::max<uint8_t>(Before->second.Times,
                                static_cast<uint8_t>(Before->second.Times + 1));
    auto ForSeconds = static_cast<uint32_t>(seconds(length(Times)));
    logEvent(LogLevel::Warning, "quarantined",
             {{"kind", toString(C.Subject.Kind)},
              {"key", toString(C.Subject.Key)},
              {"source", "evidence"},
              {"for_s", ForSeconds},
              {"times", int(Times)},
              {"crashes", C.Crashes},
              {"tied", Found.size()},
              {"requests", C.Counts.Requests},
              {"survivals", C.Counts.Survivals}});
    Traits.push_back({C.Subject, ForSeconds, Times});
  }
  setQuarantines(Traits, Now);
}

Duration RequestQuarantine::length(uint8_t Times) {
  Duration Result = FirstQuarantine;
  for (uint8_t I = 1; I < Times && Result < MaxQuarantine; ++I)
    Result *= QuarantineGrowth;
  return std::min(Result, MaxQuarantine);
}

Duration RequestQuarantine::endDelay(const Trait &T) const {
  return Duration(static_cast<int64_t>(
      (Seed ^ T.Key) % static_cast<uint64_t>(EndSpread.count())));
}

void RequestQuarantine::expire(TimePoint Now) {
  std::erase_if(Suspects, [Now](const auto &Item) {
    return Now - Item.second.LastCrashAt > EvidenceLifetime;
  });
  std::erase_if(Quarantines, [Now](const auto &Item) {
    return Now > Item.second.Until + EndedLifetime;
  });
  while (!Explained.empty() && Now - Explained.front().At > EvidenceLifetime)
    Explained.pop_front();
  while (!OwnWitnesses.empty() && Now >= OwnWitnesses.front().second)
    OwnWitnesses.pop_front();
}

std::optional<ActiveQuarantine>
RequestQuarantine::find(const RequestTraits &Traits, TimePoint Now) const {
  if (Quarantines.empty())
    return std::nullopt;
  for (const Trait &T : Traits.all())
    if (auto Found = Quarantines.find(T); Found != Quarantines.end())
      if (TimePoint End = Found->second.Until + endDelay(T); Now < End)
        return ActiveQuarantine{T, End};
  return std::nullopt;
}

std::vector<QuarantinedTrait>
RequestQuarantine::quarantined(TimePoint Now) const {
  std::vector<QuarantinedTrait> Result;
  for (const auto &[T, Q] : Quarantines)
    if (int64_t Left = seconds(Q.Until - Now); Left > 0)
      Result.push_back({T, static_cast<uint32_t>(Left), Q.Times});
  return Result;
}

QuarantineDigest RequestQuarantine::takeDigest(TimePoint Now) {
  QuarantineDigest Result;
  for (const auto &[Witness, Until] : OwnWitnesses)
    if (Now < Until)
      Result.Witnesses.push_back(Witness);
  for (const auto &[T, S] : Suspects) {
    TraitCounts Own = History.counts(T);
    bool IsCleared = Now < S.TellClearedUntil;
    bool IsAsked = Own.Requests > 0 &&
                   S.Crashes.size() >= CrashesForTestimony &&
                   crashes(S, Now).Runs >= CrashesForTestimony;
    if ((IsCleared || IsAsked) && Result.Testimonies.size() < MaxDigestEntries)
      Result.Testimonies.push_back(
          {T, saturated(Own.Requests), saturated(Own.Survivals), IsCleared});
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
  for (const auto &[T, S] : Suspects) {
    TraitCounts Counts = fleetCounts(T, S);
    Text += ragwort::quarantine::describe(T) +
            " suspected crashes=" + std::to_string(crashes(S, Now).Runs) +
            " requests=" + std::to_string(Counts.Requests) +
            " survivals=" + std::to_string(Counts.Survivals) + "\n";
  }
  for (const QuarantinedTrait &Each : quarantined(Now))
    Text += ragwort::quarantine::describe(Each.Subject) +
            " quarantined for_s=" + std::to_string(Each.RemainingSeconds) +
            " times=" + std::to_string(Each.Times) + "\n";
  return Text;
}

} // namespace ragwort::quarantine
