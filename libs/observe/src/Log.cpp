//===- Log.cpp - Event log on top of easylogging++ ------------------------===//
#include "ragwort/observe/Log.h"
#include "ragwort/observe/BoundedOutput.h"
#include <atomic>
#include <cstdio>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace ragwort {

namespace {

std::atomic<LogLevel> LowestLevel = LogLevel::Info;

std::string &nodeName() {
  static std::string Name;
  return Name;
}

bool needsQuotes(std::string_view Value) {
  if (Value.empty())
    return true;
  for (char Character : Value) {
    auto Code = static_cast<unsigned char>(Character);
    if (Code <= ' ' || Code >= 0x7f || Character == '"' || Character == '=' ||
        Character == '\\')
      return true;
  }
  return false;
}

void writeLine(LogLevel Level, const std::string &Line) {
  switch (Level) {
  case LogLevel::Debug:
    LOG(DEBUG) << Line;
    return;
  case LogLevel::Info:
    LOG(INFO) << Line;
    return;
  case LogLevel::Warning:
    LOG(WARNING) << Line;
    return;
  case LogLevel::Error:
    LOG(ERROR) << Line;
    return;
  }
}

/// Replaces the default output of easylogging++.
class BoundedDispatch : public el::LogDispatchCallback {
public:
  static std::unique_ptr<BoundedOutput> &output() {
    static std::unique_ptr<BoundedOutput> Output;
    return Output;
  }

protected:
  void handle(const el::LogDispatchData *Data) override {
    const el::LogMessage *Message = Data->logMessage();
    bool IsRoutine = Message->level() == el::Level::Info ||
                     Message->level() == el::Level::Debug;
    output()->write(Message->logger()->logBuilder()->build(Message, true),
                    IsRoutine ? LinePriority::Routine : LinePriority::Important,
                    SteadyClock().now());
  }
};

} // namespace

void useBoundedLogOutput(int Descriptor) {
  BoundedDispatch::output() =
      std::make_unique<BoundedOutput>(Descriptor, BoundedOutput::Limits());
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<BoundedDispatch>("bounded-output");
}

void configureLog(LogLevel Lowest, std::string_view Node) {
  LowestLevel = Lowest;
  nodeName() = Node;
  el::Configurations Config;
  Config.setToDefault();
  Config.setGlobally(el::ConfigurationType::ToFile, "false");
  Config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  // In easylogging++, %M is the month and %m the minute.
  Config.setGlobally(el::ConfigurationType::Format,
                     "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
  el::Loggers::reconfigureAllLoggers(Config);
}

LogLevel parseLogLevel(std::string_view Name, LogLevel Default) {
  if (Name == "debug")
    return LogLevel::Debug;
  if (Name == "info")
    return LogLevel::Info;
  if (Name == "warning")
    return LogLevel::Warning;
  if (Name == "error")
    return LogLevel::Error;
  return Default;
}

std::string escapeLogValue(std::string_view Value) {
  if (!needsQuotes(Value))
    return std::string(Value);
  std::string Result = "\"";
  for (char Character : Value) {
    auto Code = static_cast<unsigned char>(Character);
    if (Character == '"' || Character == '\\') {
      Result.push_back('\\');
      Result.push_back(Character);
    } else if (Code < ' ' || Code >= 0x7f) {
      char Escape[5];
      std::snprintf(Escape, sizeof(Escape), "\\x%02x", Code);
      Result += Escape;
    } else {
      Result.push_back(Character);
    }
  }
  Result.push_back('"');
  return Result;
}

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  if (Level < LowestLevel.load(std::memory_order_relaxed))
    return;
  std::string Line = "node=" + escapeLogValue(nodeName());
  Line += " event=" + escapeLogValue(Event);
  for (const LogField &Field : Fields) {
    Line.push_back(' ');
    Line += Field.Key;
    Line.push_back('=');
    Line += escapeLogValue(Field.Value);
  }
  writeLine(Level, Line);
}

} // namespace ragwort
