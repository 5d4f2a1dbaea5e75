//===- KeyedMessages.cpp - Verdicts between entry nodes -------------------===//
#include "KeyedMessages.h"

namespace ragwort::entry {

namespace {

constexpr const char *ReplayHeader = "Ragwort-Replay";
constexpr const char *LostHeader = "Ragwort-Lost";

} // namespace

wire::Message messageOf(uint64_t Stream, journal::KeyedOutcome V) {
  if (auto *Said = std::get_if<journal::Answered>(&V)) {
    wire::Answer Answer;
    Answer.Stream = Stream;
    Answer.Status = Said->Answer.Status;
    Answer.Headers.push_back({"Content-Type", Said->Answer.ContentType});
    if (Said->IsReplay)
      Answer.Headers.push_back({ReplayHeader, "1"});
    if (!Said->Answer.IsKept)
      Answer.Headers.push_back({LostHeader, "1"});
    Answer.Body = std::move(Said->Answer.Body);
    return Answer;
  }
  if (auto *Not = std::get_if<journal::NotRun>(&V)) {
    wire::Refusal Refusal;
    Refusal.Stream = Stream;
    Refusal.Reason = Not->Reason;
    return Refusal;
  }
  if (auto *To = std::get_if<journal::Redirected>(&V)) {
    wire::Redirect Redirect;
    Redirect.Stream = Stream;
    Redirect.OwnerEpoch = To->Owner.OwnerEpoch.Value;
    Redirect.Owner = To->Owner.Owner;
    Redirect.OwnerIncarnation = To->Owner.OwnerIncarnation.Value;
    Redirect.OwnerAddress = toString(To->Owner.OwnerAddress);
    return Redirect;
  }
  wire::BrokenAnswer Lost;
  Lost.Stream = Stream;
  Lost.Detail = std::get<journal::OutcomeUnknown>(V).Detail;
  Lost.IsJournalDown = std::get<journal::OutcomeUnknown>(V).IsJournalDown;
  return Lost;
}

std::optional<journal::KeyedOutcome> verdictOf(wire::Message &&M) {
  if (auto *Answer = std::get_if<wire::Answer>(&M)) {
    journal::Answered Said;
    Said.Answer.Status = Answer->Status;
    Said.Answer.ContentType =
        std::string(findHeader(Answer->Headers, "Content-Type"));
    Said.Answer.Body = std::move(Answer->Body);
    Said.IsReplay = !findHeader(Answer->Headers, ReplayHeader).empty();
    Said.Answer.IsKept = findHeader(Answer->Headers, LostHeader).empty();
    return Said;
  }
  if (auto *Said = std::get_if<wire::Refusal>(&M))
    return journal::NotRun{Said->Reason};
  if (auto *Lost = std::get_if<wire::BrokenAnswer>(&M))
    return journal::OutcomeUnknown{Lost->Detail, Lost->IsJournalDown};
  if (auto *To = std::get_if<wire::Redirect>(&M)) {
    journal::Head Owner;
    Owner.OwnerEpoch = Epoch{To->OwnerEpoch};
    Owner.Owner = To->Owner;
    Owner.OwnerIncarnation = Incarnation{To->OwnerIncarnation};
    Owner.OwnerAddress = parseAddress(To->OwnerAddress).value_or(Address());
    return journal::Redirected{Owner};
  }
  return std::nullopt;
}

} // namespace ragwort::entry
