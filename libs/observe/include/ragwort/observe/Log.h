//===- Log.h - One line of key=value pairs per event ----------------------===//
//
// Wraps easylogging++ so that every line has the same format: time, level, node
// name, event name, then the fields in the order given.
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

/// Sets the lowest level that is written and the node name in every line. Must
/// be called once, before other threads start.
void configureLog(LogLevel Lowest, std::string_view Node);

/// Sends all lines to \p Descriptor through a BoundedOutput, which never blocks
/// and, with a slow reader, drops lines below warning before others.
void useBoundedLogOutput(int Descriptor);

/// Parses debug, info, warning or error; returns \p Default for other names.
LogLevel parseLogLevel(std::string_view Name, LogLevel Default);

/// Writes one event to standard output, or to the descriptor that was given to
/// useBoundedLogOutput().
///
/// \code
///   logEvent(LogLevel::Info, "request-finished",
///            {{"request", Id}, {"outcome", "completed"}});
/// \endcode
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields);

/// Formats the value of a `key=value` pair: quoted and escaped if it is empty
/// or has spaces, quotes, `=`, backslashes, control or non-ASCII characters.
std::string escapeLogValue(std::string_view Value);

} // namespace ragwort

#endif
