//===- KeyedMessages.cpp - Keyed outcomes as messages ---------------------===//
#include "KeyedMessages.h"

namespace ragwort::entry {

namespace {

constexpr const char *ReplayHeader = "Ragwort-Replay";
constexpr const char *AnswerNotKeptHeader = "Ragwort-Lost";

} // namespace

wire::Message messageOf(uint64_t Stream, journal::KeyedOutcome Outcome) {
  if (auto *Answered = std::get_if<journal::Answered>(&Outcome)) {
    wire::Answer Answer;
    Answer.Stream = Stream;
    Answer.Status = Answered->Answer.Status;
    Answer.Headers.push_back({"Content-Type", Answered->Answer.ContentType});
    if (Answered->IsReplay)
      Answer.Headers.push_back({ReplayHeader, "1"});
    if (!Answered->Answer.IsKept)
      Answer.Headers.push_back({AnswerNotKeptHeader, "1"});
    Answer.Body = std::move(Answered->Answer.Body);
    return Answer;
  }
  if (auto *NotRun = std::get_if<journal::NotRun>(&Outcome)) {
    wire::Refusal Refusal;
    Refusal.Stream = Stream;
    Refusal.Reason = NotRun->Reason;
    return Refusal;
  }
  if (auto *Redirected = std::get_if<journal::Redirected>(&Outcome)) {
    wire::Redirect Redirect;
    Redirect.Stream = Stream;
    Redirect.OwnerEpoch = Redirected->Owner.OwnerEpoch.Value;
    Redirect.Owner = Redirected->Owner.Owner;
    Redirect.OwnerIncarnation = Redirected->Owner.OwnerIncarnation.Value;
    Redirect.OwnerAddress = toString(Redirected->Owner.OwnerAddress);
    return Redirect;
  }
  wire::BrokenAnswer Broken;
  Broken.Stream = Stream;
  Broken.Detail = std::get<journal::OutcomeUnknown>(Outcome).Detail;
  Broken.IsJournalDown =
      std::get<journal::OutcomeUnknown>(Outcome).IsJournalDown;
  return Broken;
}

std::optional<journal::KeyedOutcome> outcomeOf(wire::Message &&M) {
  if (auto *Answer = std::get_if<wire::Answer>(&M)) {
    journal::Answered Answered;
    Answered.Answer.Status = Answer->Status;
    Answered.Answer.ContentType =
        std::string(findHeader(Answer->Headers, "Content-Type"));
    Answered.Answer.Body = std::move(Answer->Body);
    Answered.IsReplay = !findHeader(Answer->Headers, ReplayHeader).empty();
    Answered.Answer.IsKept =
        findHeader(Answer->Headers, AnswerNotKeptHeader).empty();
    return Answered;
  }
  if (auto *Refusal = std::get_if<wire::Refusal>(&M))
    return journal::NotRun{Refusal->Reason};
  if (auto *Broken = std::get_if<wire::BrokenAnswer>(&M))
    return journal::OutcomeUnknown{Broken->Detail, Broken->IsJournalDown};
  if (auto *Redirect = std::get_if<wire::Redirect>(&M)) {
    journal::Head Owner;
    Owner.OwnerEpoch = Epoch{Redirect->OwnerEpoch};
    Owner.Owner = Redirect->Owner;
    Owner.OwnerIncarnation = Incarnation{Redirect->OwnerIncarnation};
    Owner.OwnerAddress =
        parseAddress(Redirect->OwnerAddress).value_or(Address());
    return journal::Redirected{Owner};
  }
  return std::nullopt;
}

} // namespace ragwort::entry
