//===- RecordText.cpp - JSON encoding of journal rows ---------------------===//
#include "ragwort/journal/RecordText.h"
#include <nlohmann/json.hpp>

namespace ragwort::journal {

namespace {

using Json = nlohmann::json;

bool isPrintableJson(const std::string &Text) {
  try {
    Json(Text).dump();
    return true;
  } catch (const Json::exception &) {
    return false;
  }
}

Json attemptJson(const AttemptId &Id) {
  return Json::array({Id.Issuer, Id.Number});
}

AttemptId parseAttempt(const Json &Value) {
  return {Value.at(0).get<uint64_t>(), Value.at(1).get<uint64_t>()};
}

Json recordJson(const Record &R) {
  if (const auto *Start = std::get_if<Intent>(&R))
    return {{"intent", Start->Key.Digest},
            {"fingerprint", Start->Fingerprint},
            {"attempt", attemptJson(Start->Attempt)},
            {"agent", Start->To.Agent},
            {"incarnation", Start->To.AgentIncarnation.Value},
            {"address", toString(Start->To.AgentAddress)}};
  const auto &End = std::get<Conclusion>(R);
  Json Value = {{"conclusion", End.Key.Digest},
                {"attempt", attemptJson(End.Attempt)},
                {"how", static_cast<int>(End.Result)}};
  if (End.Result == AttemptResult::Completed) {
    bool IsKept = End.Answer.IsKept && isPrintableJson(End.Answer.Body) &&
                  isPrintableJson(End.Answer.ContentType);
    Value["status"] = End.Answer.Status;
    Value["kept"] = IsKept;
    Value["type"] = IsKept ? End.Answer.ContentType : "";
    Value["body"] = IsKept ? End.Answer.Body : "";
  }
  return Value;
}

Record parseRecord(const Json &Value) {
  if (Value.contains("intent")) {
    Intent Start;
    Value.at("intent").get_to(Start.Key.Digest);
    Value.at("fingerprint").get_to(Start.Fingerprint);
    Start.Attempt = parseAttempt(Value.at("attempt"));
    Value.at("agent").get_to(Start.To.Agent);
    Value.at("incarnation").get_to(Start.To.AgentIncarnation.Value);
    Start.To.AgentAddress = parseAddress(Value.at("address").get<std::string>())
                                .value_or(Address());
    return Start;
  }
  Conclusion End;
  Value.at("conclusion").get_to(End.Key.Digest);
  End.Attempt = parseAttempt(Value.at("attempt"));
  int Code = Value.at("how").get<int>();
  if (Code < 0 || Code > static_cast<int>(AttemptResult::Unknown))
    throw Json::other_error::create(500, "unknown attempt result", &Value);
  End.Result = static_cast<AttemptResult>(Code);
  if (End.Result == AttemptResult::Completed) {
    Value.at("status").get_to(End.Answer.Status);
    Value.at("kept").get_to(End.Answer.IsKept);
    Value.at("type").get_to(End.Answer.ContentType);
    Value.at("body").get_to(End.Answer.Body);
  }
  return End;
}

absl::Status malformed(const char *What, const Json::exception &Error) {
  return absl::DataLossError(std::string("malformed ") + What +
                             " row: " + Error.what());
}

} // namespace

std::string printHead(const Head &H) {
  return Json{{"epoch", H.OwnerEpoch.Value},
              {"owner", H.Owner},
              {"incarnation", H.OwnerIncarnation.Value},
              {"address", toString(H.OwnerAddress)}}
      .dump();
}

absl::StatusOr<Head> parseHead(std::string_view Text) {
  Head Result;
  try {
    Json Value = Json::parse(Text);
    Value.at("epoch").get_to(Result.OwnerEpoch.Value);
    Value.at("owner").get_to(Result.Owner);
    Value.at("incarnation").get_to(Result.OwnerIncarnation.Value);
    Result.OwnerAddress = parseAddress(Value.at("address").get<std::string>())
                              .value_or(Address());
  } catch (const Json::exception &Error) {
    return malformed("head", Error);
  }
  return Result;
}

std::string printBatch(const Batch &B) {
  Json Records = Json::array();
  for (const Record &R : B.Records)
    Records.push_back(recordJson(R));
  return Json{{"sequence", B.Sequence}, {"id", B.Id}, {"records", Records}}
      .dump();
}

absl::StatusOr<Batch> parseBatch(std::string_view Text) {
  Batch Result;
  try {
    Json Value = Json::parse(Text);
    Value.at("sequence").get_to(Result.Sequence);
    Value.at("id").get_to(Result.Id);
    for (const Json &Item : Value.at("records"))
      Result.Records.push_back(parseRecord(Item));
  } catch (const Json::exception &Error) {
    return malformed("log", Error);
  }
  return Result;
}

} // namespace ragwort::journal
