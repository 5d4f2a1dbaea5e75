//===- Log.h - One line of key=value pairs per event ----------------------===//
//
// Wraps easylogging++ so that every line has the same shape: time, level,
// event name, then the fields in the order given.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_OBSERVE_LOG_H
#define RAGWORT_OBSERVE_LOG_H

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace ragwort {

/// Severity of an event, lowest first.
enum class LogLevel { Debug, Info, Warning, Error };

/// One key=value pair of a log line.
struct LogField {
  std::string_view Key;
  std::string Value;

  LogField(std::string_view Key, std::string_view Value)
      : Key(Key), Value(Value) {}
  LogField(std::string_view Key, const std::string &Value)
      : Key(Key), Value(Value) {}
  LogField(std::string_view Key, const char *Value) : Key(Key), Value(Value) {}
  template <std::integral T>
  LogField(std::string_view Key, T Value)
      : Key(Key), Value(std::to_string(Value)) {}
};

/// Sets the lowest level that is written and the node name on every line.
/// Called once, before other threads start.
void configureLog(LogLevel Lowest, std::string_view Node);

/// Sends all lines through a bounded buffer that never blocks: routine lines
/// (below warning) are dropped before others when the reader is slow.
void useBoundedLogOutput(int Descriptor);

/// Parses debug, info, warning or error; anything else gives \p Default.
LogLevel parseLogLevel(std::string_view Name, LogLevel Default);

/// Writes one event to standard output.
///
/// \code
///   logEvent(LogLevel::Info, "request-finished",
///            {{"request", Id}, {"outcome", "completed"}});
/// \endcode
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields);

/// \p Value as it stands behind `key=`: quoted and escaped when it has spaces,
/// quotes, equal signs or control characters.
std::string escapeLogValue(std::string_view Value);

} // namespace ragwort

#endif
