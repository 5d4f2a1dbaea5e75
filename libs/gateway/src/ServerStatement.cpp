//===- ServerStatement.cpp - What a response says of its server -----------===//
#include "ragwort/gateway/ServerStatement.h"
#include "ragwort/dispatch/SelfReports.h"
#include <charconv>

namespace ragwort::gateway {

namespace {

constexpr std::string_view RetryAfterField = "Retry-After";
constexpr std::string_view LeavingValue = "1";

bool isRunAnswer(const http::ResponseHead &Head, const ProtocolNames &Names) {
  return Head.Status >= 200 && Head.Status < 300 &&
         !Head.header(Names.AnswerStamp).empty();
}

void readLeaving(const http::ResponseHead &Head, const ProtocolNames &Names,
                 ServerStatement &Result) {
  std::string_view Value = Head.header(Names.Leaving);
  if (Value == LeavingValue)
    Result.IsLeaving = !Result.IsReplaced;
  else if (!Value.empty())
    Result.Malformed.push_back({Names.Leaving, std::string(Value)});
}

void readPause(const http::ResponseHead &Head, ServerStatement &Result) {
  std::string_view Value = Head.header(RetryAfterField);
  if (Head.Status != StatusUnavailable || Value.empty())
    return;
  Result.Pause = dispatch::parsePause(Value);
  if (!Result.Pause)
    Result.Malformed.push_back(
        {std::string(RetryAfterField), std::string(Value)});
}

void readRateLimit(const http::ResponseHead &Head, const ProtocolNames &Names,
                   ServerStatement &Result) {
  std::string_view Value = Head.header(Names.RateLimit);
  if (Value.empty()) {
    Result.IsRateLimitKnown = isRunAnswer(Head, Names);
    return;
  }
  std::optional<double> PerSecond = dispatch::parseDecimal(Value);
  if (!PerSecond)
    Result.Malformed.push_back({Names.RateLimit, std::string(Value)});
  else if (!Result.IsReplaced) {
    Result.RateLimit = PerSecond;
    Result.IsRateLimitKnown = true;
  }
}

} // namespace

ServerStatement readStatement(const http::ResponseHead &Head,
                              const ProtocolNames &Names,
                              std::string_view Instance) {
  ServerStatement Result;
  std::string_view Answering = Head.header(Names.AnsweringInstance);
  Result.IsReplaced = Head.Status == StatusMisdirected && !Answering.empty() &&
                      Answering != Instance;
  readLeaving(Head, Names, Result);
  readPause(Head, Result);
  readRateLimit(Head, Names, Result);
  return Result;
}

Duration keepAliveTime(const http::ResponseHead &Head) {
  constexpr std::string_view Parameter = "timeout=";
  std::string_view Value = Head.header("Keep-Alive");
  size_t At = Value.find(Parameter);
  if (At == std::string_view::npos)
    return Duration(0);
  Value.remove_prefix(At + Parameter.size());
  uint32_t Seconds = 0;
  std::from_chars(Value.data(), Value.data() + Value.size(), Seconds);
  return std::chrono::seconds(Seconds);
}

} // namespace ragwort::gateway
