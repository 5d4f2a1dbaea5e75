//===- MessageParser.cpp - Incremental HTTP/1.1 parsing over Boost.Beast --===//
#include "ragwort/gateway/MessageParser.h"
#include "ragwort/http/MessageForm.h"
#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <limits>

namespace ragwort::gateway {

namespace {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using boost::system::error_code;

// Responses come from the deployment's own backend servers; their heads are
// small.
constexpr uint32_t MaxResponseHeadBytes = 65536;
using http::StatusLineBegin;
constexpr std::string_view StatusLineForm = "HTTP/1.1 200";

bool isDigit(char C) { return C >= '0' && C <= '9'; }

bool isStatusLine(std::string_view Line) {
  size_t Size = StatusLineForm.size();
  if (!Line.starts_with(StatusLineBegin) || Line.size() < Size ||
      (Line.size() > Size && Line[Size] != ' '))
    return false;
  return isDigit(Line[7]) && Line[8] == ' ' && isDigit(Line[9]) &&
         isDigit(Line[10]) && isDigit(Line[11]);
}

/// Whether a part of a head holds the status line of another response: the
/// first one broke off there.
bool holdsStatusLine(std::string_view Text) {
  for (size_t At = Text.find(StatusLineBegin); At != std::string_view::npos;
       At = Text.find(StatusLineBegin, At + 1))
    if (isStatusLine(Text.substr(At)))
      return true;
  return false;
}

// Collects header fields and body bytes. Shared by requests and responses.
template <bool IsRequest>
class Collector : public bhttp::basic_parser<IsRequest> {
public:
  Collector() {
    this->eager(true);
    // The code that uses the parser limits the body size. boost::none, meant
    // for "no limit", cannot be used: Boost 1.74 treats it as a limit of zero.
    this->body_limit(std::numeric_limits<uint64_t>::max());
  }

  size_t feedBytes(std::string_view Bytes) {
    size_t Taken = 0;
    if (!IsHeadDone)
      rejectFoldedFields(Bytes);
    while (Taken < Bytes.size() && !Failed && !this->is_done()) {
      error_code Error;
      size_t Now = this->put(
          boost::asio::const_buffer(Bytes.data() + Taken, Bytes.size() - Taken),
          Error);
      Taken += Now;
      if (Error == bhttp::error::need_more)
        break;
      if (Error) {
        Failed = true;
        FailedBy = Error;
      }
      if (Now == 0)
        break;
    }
    // Beast waits for the end of a chunk header or a trailer section and limits
    // only the length of heads.
    if (IsHeadDone && !this->is_done() &&
        Bytes.size() - Taken > http::MaxUnfinishedFramingBytes)
      Failed = true;
    return Taken;
  }

  ParseStage stage() const {
    if (Failed)
      return ParseStage::Failed;
    if (this->is_done())
      return ParseStage::Done;
    return IsHeadDone ? ParseStage::Body : ParseStage::Head;
  }

  HeaderFields Fields;
  std::string Body;
  bool Failed = false;
  error_code FailedBy;
  bool IsHeadDone = false;

protected:
  void rejectFoldedFields(std::string_view Bytes) {
    size_t HeadEnd = Bytes.find("\r\n\r\n");
    if (HeadEnd != std::string_view::npos)
      Failed |= http::hasFoldedField(Bytes.substr(0, HeadEnd));
  }
  /// Why the head is malformed; empty if it is not.
  virtual std::string_view headFault() const = 0;

  void on_field_impl(bhttp::field, beast::string_view Text,
                     beast::string_view Value, error_code &Error) override {
    if (IsHeadDone)
      return; // Trailers are not forwarded.
    if (!IsRequest && holdsStatusLine({Value.data(), Value.size()})) {
      Error = bhttp::error::bad_value;
      return;
    }
    Fields.push_back({std::string(Text), std::string(Value)});
  }
  void on_header_impl(error_code &Error) override {
    IsHeadDone = true;
    if (!headFault().empty())
      Error = bhttp::error::bad_value;
  }
  void on_body_init_impl(boost::optional<uint64_t> const &,
                         error_code &) override {}
  size_t on_body_impl(beast::string_view Bytes, error_code &) override {
    Body.append(Bytes.data(), Bytes.size());
    return Bytes.size();
  }
  void on_chunk_header_impl(uint64_t, beast::string_view,
                            error_code &) override {}
  size_t on_chunk_body_impl(uint64_t, beast::string_view Bytes,
                            error_code &) override {
    Body.append(Bytes.data(), Bytes.size());
    return Bytes.size();
  }
  void on_finish_impl(error_code &) override {}
};

/// \returns both texts in one, which may be in \p Copy.
std::string_view join(std::string_view First, std::string_view Second,
                      std::string &Copy) {
  if (Second.empty())
    return First;
  Copy.append(First).append(Second);
  return Copy;
}

std::string_view withoutBlanks(std::string_view Text) {
  while (Text.starts_with(' '))
    Text.remove_prefix(1);
  while (Text.ends_with(' '))
    Text.remove_suffix(1);
  return Text;
}

/// Result of reading the header lines that a text begins with.
struct FieldSearch {
  bool IsFound = false;
  /// Number of bytes up to the line that is no header line.
  size_t Length = 0;
};

FieldSearch findField(std::string_view Text, std::string_view Name,
                      std::string_view Value) {
  FieldSearch Result;
  while (Result.Length < Text.size()) {
    std::string_view Left = Text.substr(Result.Length);
    size_t End = std::min(Left.find("\r\n"), Left.size());
    std::string_view Line = Left.substr(0, End);
    size_t Colon = Line.find(':');
    if (Colon == std::string_view::npos)
      break;
    Result.Length += std::min(End + 2, Left.size());
    Result.IsFound =
        isSameHeaderName(Line.substr(0, Colon), Name) &&
        (Value.empty() || withoutBlanks(Line.substr(Colon + 1)) == Value);
    if (Result.IsFound)
      break;
  }
  return Result;
}

} // namespace

struct RequestParser::Impl final : Collector<true> {
  explicit Impl(uint32_t MaxHeaderBytes) { header_limit(MaxHeaderBytes); }

  void on_request_impl(bhttp::verb, beast::string_view MethodText,
                       beast::string_view TargetText, int,
                       error_code &) override {
    Message.Method = std::string(MethodText);
    Message.Target = std::string(TargetText);
  }
  void on_response_impl(int, beast::string_view, int, error_code &) override {}
  std::string_view headFault() const override {
    return http::framingFault(Fields);
  }

  http::Request Message;
};

RequestParser::RequestParser(uint32_t MaxHeaderBytes)
    : State(std::make_unique<Impl>(MaxHeaderBytes)) {}
RequestParser::~RequestParser() = default;

size_t RequestParser::feed(std::string_view Bytes) {
  size_t Taken = State->feedBytes(Bytes);
  if (!State->Fields.empty() && State->IsHeadDone &&
      State->Message.Headers.empty())
    State->Message.Headers.swap(State->Fields);
  if (!State->Body.empty()) {
    if (State->Message.Body.empty())
      State->Message.Body.swap(State->Body);
    else
      State->Message.Body += State->Body;
    State->Body.clear();
  }
  return Taken;
}

ParseStage RequestParser::stage() const { return State->stage(); }

ParseFailure RequestParser::failure() const {
  if (!State->Failed)
    return ParseFailure::None;
  return State->FailedBy == bhttp::error::header_limit
             ? ParseFailure::HeadTooLarge
             : ParseFailure::Malformed;
}

const http::Request &RequestParser::request() const { return State->Message; }
http::Request RequestParser::takeRequest() { return std::move(State->Message); }
bool RequestParser::isKeepAlive() const { return State->keep_alive(); }

struct ResponseParser::Impl final : Collector<false> {
  Impl() { header_limit(MaxResponseHeadBytes); }

  void on_request_impl(bhttp::verb, beast::string_view, beast::string_view, int,
                       error_code &) override {}
  void on_response_impl(int Code, beast::string_view Reason, int,
                        error_code &Error) override {
    Head.Status = static_cast<unsigned>(Code);
    if (holdsStatusLine({Reason.data(), Reason.size()}))
      Error = bhttp::error::bad_reason;
  }
  std::string_view headFault() const override {
    return http::responseFault(Head.Status, Fields);
  }

  http::ResponseHead Head;
};

ResponseParser::ResponseParser() : State(std::make_unique<Impl>()) {}
ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser &&) noexcept = default;
ResponseParser &ResponseParser::operator=(ResponseParser &&) noexcept = default;

void ResponseParser::expectNoBody() { State->skip(true); }

size_t ResponseParser::feed(std::string_view Bytes) {
  size_t Taken = State->feedBytes(Bytes);
  if (State->IsHeadDone && State->Head.Headers.empty())
    State->Head.Headers.swap(State->Fields);
  return Taken;
}

void ResponseParser::feedEnd() {
  error_code Error;
  State->put_eof(Error);
  if (Error)
    State->Failed = true;
}

ParseStage ResponseParser::stage() const { return State->stage(); }
const http::ResponseHead &ResponseParser::head() const { return State->Head; }

std::string ResponseParser::takeBody() {
  std::string Result;
  Result.swap(State->Body);
  return Result;
}

bool ResponseParser::isKeepAlive() const {
  return State->keep_alive() && !State->need_eof();
}

bool ResponseParser::isFramed() const { return !State->need_eof(); }

bool ResponseParser::isInterim() const {
  return State->IsHeadDone && http::isInterimStatus(State->Head.Status);
}

bool holdsResponseHead(std::string_view Body, std::string_view Rest,
                       std::string_view Name, std::string_view Value) {
  std::string Copy;
  std::string_view Text = join(Body, Rest, Copy);
  size_t At = Text.find(StatusLineBegin);
  while (At < Body.size()) {
    size_t End = Text.find("\r\n", At);
    if (End == std::string_view::npos)
      return false;
    size_t Next = At + StatusLineBegin.size();
    if (isStatusLine(Text.substr(At, End - At))) {
      FieldSearch Search = findField(Text.substr(End + 2), Name, Value);
      if (Search.IsFound)
        return true;
      // The lines after a later head would be the same.
      Next = End + 2 + Search.Length;
    }
    At = Text.find(StatusLineBegin, Next);
  }
  return false;
}

bool endsInResponseHead(std::string_view Body, std::string_view Rest,
                        size_t Shortest) {
  if (Body.empty())
    return false;
  std::string Copy;
  std::string_view Joined = join(Body, Rest, Copy);
  size_t At = Joined.rfind(StatusLineBegin, Body.size() - 1);
  if (At == std::string::npos) {
    size_t Size = std::min(StatusLineBegin.size(), Joined.size());
    while (Size > Rest.size() &&
           !Joined.ends_with(StatusLineBegin.substr(0, Size)))
      --Size;
    return Size > Rest.size() && Size >= Shortest;
  }
  std::string_view Text = Joined.substr(At);
  size_t End = Text.find("\r\n");
  if (End == std::string_view::npos) {
    std::string Line(Text);
    if (Line.size() < StatusLineForm.size())
      Line += StatusLineForm.substr(Line.size());
    return Text.size() >= Shortest && isStatusLine(Line);
  }
  if (!isStatusLine(Text.substr(0, End)))
    return false;
  std::string_view Fields = Text.substr(End + 2);
  for (size_t Next = 0; !Fields.empty(); Fields.remove_prefix(Next + 2)) {
    Next = Fields.find("\r\n");
    if (Next == std::string_view::npos)
      return true;
    if (Fields.substr(0, Next).find(':') == std::string_view::npos)
      return false; // The empty line after the head, or no head at all.
  }
  return true;
}

} // namespace ragwort::gateway
