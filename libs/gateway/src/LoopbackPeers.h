//===- LoopbackPeers.h - Scripted servers and callers for tests -----------===//
//
// Backend servers and callers on loopback, on the event loop of the gateway
// under test.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_LOOPBACKPEERS_H
#define RAGWORT_GATEWAY_LOOPBACKPEERS_H

#include "ragwort/gateway/Gateway.h"
#include <cppunit/TestAssert.h>
#include <deque>

namespace ragwort::gateway {

inline constexpr const char *RequestIdHeader = "Ragwort-Request-Id";

inline std::string idOf(const std::string &Request) {
  std::string Mark = std::string(RequestIdHeader) + ": ";
  size_t At = Request.find(Mark);
  if (At == std::string::npos)
    return "";
  At += Mark.size();
  return Request.substr(At, Request.find('\r', At) - At);
}

inline std::string answer(const std::string &Status, const std::string &Id,
                          const std::string &Extra, const std::string &Body) {
  return "HTTP/1.1 " + Status + "\r\nRagwort-Request-Id: " + Id + "\r\n" +
         Extra + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

inline const std::string Stamp = "Ragwort-Answer-Stamp: s\r\n";

/// A backend server that answers each request with the next entry of its
/// script.
class ScriptedServer {
public:
  /// Receives the request's bytes and returns the bytes to write. If they end
  /// with Close, the connection closes after they are written; with Reset, it
  /// closes immediately; with Crash, the server ends. Silence alone writes
  /// nothing.
  using Responder = std::function<std::string(const std::string &)>;
  static inline const std::string Close = "\x01close";
  static inline const std::string Reset = "\x01reset";
  static inline const std::string Crash = "\x01crash";
  static inline const std::string Silence = "\x01silence";

  explicit ScriptedServer(asio::io_context &Io)
      : Acceptor(Io, asio::ip::tcp::endpoint(
                         asio::ip::make_address("127.0.0.1"), 0)) {
    accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

  /// Writes \p Text on the connection that was accepted last.
  void sendLate(const std::string &Text) { Held.back()->send(Text); }
  /// Writes \p Text on the connection that was accepted at \p Index.
  void sendOn(size_t Index, const std::string &Text) {
    Held.at(Index)->send(Text);
  }

  /// Closes all connections and stops listening, as a process that ends does.
  void crash() {
    IsRunning = false;
    error_code Error; // Ignored: closing twice has no effect.
    Acceptor.close(Error);
    for (const auto &C : Held)
      C->close();
  }
  bool isRunning() const { return IsRunning; }

  std::deque<Responder> Script;
  /// Answers the requests for which Script has no entry.
  Responder Always;
  std::vector<std::string> Requests;
  int Connections = 0;
  int ClosedByGateway = 0;
  int ResetByGateway = 0;

private:
  struct Connection : SocketHandler {
    explicit Connection(ScriptedServer &Owner, asio::io_context &Io)
        : Owner(Owner), Socket(std::make_shared<StreamSocket>(Io)) {}
    void onBytes(std::string_view Bytes) override {
      RequestParser Probe(65536);
      Buffer += Bytes;
      size_t Taken = Probe.feed(Buffer);
      if (Probe.stage() != ParseStage::Done)
        return;
      std::string Request = Buffer.substr(0, Taken);
      Buffer.erase(0, Taken);
      Owner.Requests.push_back(Request);
      Responder Next = Owner.Always;
      if (!Owner.Script.empty()) {
        Next = Owner.Script.front();
        Owner.Script.pop_front();
      }
      if (Next)
        send(Next(Request));
    }
    void onEnd(SocketEnd End) override {
      ++Owner.ClosedByGateway;
      Owner.ResetByGateway += End == SocketEnd::Broken;
    }
    void send(std::string Text) {
      if (Text == Silence)
        return;
      bool Closes = Text.ends_with(Close);
      bool Resets = Text.ends_with(Reset);
      bool Crashes = Text.ends_with(Crash);
      if (Closes || Resets || Crashes) // All three have the same length.
        Text.resize(Text.size() - Close.size());
      Socket->write(Text);
      if (Closes)
        Socket->closeAfterWrite();
      if (Resets)
        Socket->close();
      if (Crashes)
        Owner.crash();
    }
    void close() { Socket->close(); }
    ScriptedServer &Owner;
    std::shared_ptr<StreamSocket> Socket;
    std::string Buffer;
  };

  void accept() {
    Acceptor.async_accept([this](error_code Error, asio::ip::tcp::socket S) {
      if (Error)
        return;
      ++Connections;
      auto &Io =
          static_cast<asio::io_context &>(Acceptor.get_executor().context());
      auto C = std::make_shared<Connection>(*this, Io);
      Held.push_back(C);
      C->Socket->setHandler(C.get());
      C->Socket->adopt(std::move(S));
      accept();
    });
  }

  asio::ip::tcp::acceptor Acceptor;
  std::vector<std::shared_ptr<Connection>> Held;
  bool IsRunning = true;
};

/// Options of a gateway on a free port of loopback.
inline GatewayOptions loopbackOptions(double RetryAllowance) {
  GatewayOptions Options;
  Options.Listen = {"127.0.0.1", 0};
  Options.DataCentre = "here";
  Options.RetryLimits = {0.2, RetryAllowance, std::chrono::seconds(10)};
  return Options;
}

/// Runs the loop until \p IsDone, for at most five seconds, and fails the test
/// if it is not done then.
template <class Condition>
void runLoopUntil(asio::io_context &Io, Condition IsDone) {
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!IsDone() && std::chrono::steady_clock::now() < End)
    Io.run_for(std::chrono::milliseconds(2));
  CPPUNIT_ASSERT(IsDone());
}

/// A caller's connection.
struct Caller : SocketHandler {
  explicit Caller(asio::io_context &Io)
      : Socket(std::make_shared<StreamSocket>(Io)) {
    Socket->setHandler(this);
  }
  ~Caller() override { Socket->close(); }
  void onConnected() override { Socket->write(ToSend); }
  void onBytes(std::string_view Bytes) override { Received += Bytes; }
  void onEnd(SocketEnd End) override {
    IsEnded = true;
    WasBroken = End == SocketEnd::Broken;
  }
  std::shared_ptr<StreamSocket> Socket;
  std::string ToSend;
  std::string Received;
  bool IsEnded = false;
  bool WasBroken = false;
};

} // namespace ragwort::gateway

#endif
