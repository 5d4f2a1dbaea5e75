//===- GatewayCost.cpp - Processor time and memory that a gateway takes ---===//
//
// Runs a gateway on one thread, and its callers and backend servers on another.
// Prints the gateway thread's processor time for a request and for an event,
// and the memory of an open stream. Compare builds by pairs of runs.
//
//===----------------------------------------------------------------------===//
#include "ragwort/gateway/Gateway.h"
#include "ragwort/observe/Log.h"
#include <cstdlib>
#include <ctime>
#include <future>
#include <iostream>
#include <malloc.h>
#include <thread>

namespace {

using namespace ragwort;
using gateway::StreamSocket;

constexpr int Requests = 20'000;
constexpr int Callers = 16;
constexpr int Streams = 400;
constexpr int EventsPerStream = 30;

std::string fieldOf(const std::string &Message, const std::string &Name) {
  size_t At = Message.find(Name + ": ") + Name.size() + 2;
  return Message.substr(At, Message.find('\r', At) - At);
}

std::string answerHead(const std::string &Request) {
  return "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " +
         fieldOf(Request, "Ragwort-Request-Id") +
         "\r\nRagwort-Answer-Stamp: s\r\nKeep-Alive: timeout=60\r\n";
}

/// A connection of the peers' side.
struct Peer : gateway::SocketHandler {
  explicit Peer(asio::io_context &Io)
      : Socket(std::make_shared<StreamSocket>(Io)) {
    Socket->setHandler(this);
  }
  ~Peer() override { Socket->close(); }
  void onConnected() override { OnOpen(); }
  void onBytes(std::string_view Bytes) override {
    Received += Bytes;
    OnBytes();
  }
  void onEnd(gateway::SocketEnd) override { OnClosed(); }
  std::shared_ptr<StreamSocket> Socket;
  std::string Received;
  std::function<void()> OnOpen = [] {};
  std::function<void()> OnBytes = [] {};
  std::function<void()> OnClosed = [] {};
};

/// Answers a whole request at once; begins a stream for /stream/.
class Server {
public:
  explicit Server(asio::io_context &Io)
      : Io(Io), Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }
  uint16_t port() const { return Acceptor.local_endpoint().port(); }
  /// Writes event \p Id to every stream.
  void writeEvent(int Id) {
    std::string Event = "id: " + std::to_string(Id) + "\ndata: 0123456789\n\n";
    char Size[16];
    std::snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
    for (Peer *Stream : Open)
      Stream->Socket->write(Size + Event + "\r\n");
  }
  size_t streams() const { return Open.size(); }

private:
  void accept() {
    Acceptor.async_accept([this](auto Error, asio::ip::tcp::socket S) {
      if (Error)
        return;
      Peers.push_back(std::make_unique<Peer>(Io));
      Peer &P = *Peers.back();
      P.OnBytes = [this, &P] { answer(P); };
      P.Socket->adopt(std::move(S));
      accept();
    });
  }
  void answer(Peer &P) {
    if (P.Received.find("\r\n\r\n") == std::string::npos)
      return;
    std::string Request = std::exchange(P.Received, {});
    if (Request.starts_with("GET /stream/")) {
      P.Socket->write(answerHead(Request) +
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n");
      Open.push_back(&P);
    } else {
      P.Socket->write(answerHead(Request) + "Content-Length: 800\r\n\r\n" +
                      std::string(800, 'x'));
    }
  }

  asio::io_context &Io;
  asio::ip::tcp::acceptor Acceptor;
  std::vector<std::unique_ptr<Peer>> Peers;
  std::vector<Peer *> Open;
};

gateway::Route route(const char *Prefix, gateway::Repeatability Repeat) {
  gateway::Route R;
  R.Name = Prefix;
  R.Host = "h";
  R.PathPrefix = Prefix;
  R.Repeat = Repeat;
  R.IsStream = Repeat == gateway::Repeatability::Resumable;
  R.MaxAttempts = 2;
  R.Timeout = std::chrono::seconds(60);
  R.TargetLatency = std::chrono::seconds(20);
  R.Split.push_back({"s", 1});
  return R;
}

std::unique_ptr<gateway::Gateway> makeGateway(asio::io_context &Io,
                                              MetricsRegistry &Metrics,
                                              uint16_t ServerPort) {
  gateway::GatewayOptions Options;
  Options.Listen = {"127.0.0.1", 0};
  Options.DataCentre = "here";
  Options.RetryLimits = {0.2, 100, std::chrono::seconds(10)};
  auto Node = std::make_unique<gateway::Gateway>(
      Io, Options, gateway::ProtocolNames(), Metrics);
  if (!Node->listen().ok())
    std::abort();
  auto Config = std::make_shared<gateway::TrafficConfig>();
  Config->Version = 1;
  Config->addRoute(route("/safe/", gateway::Repeatability::Idempotent));
  Config->addRoute(route("/stream/", gateway::Repeatability::Resumable));
  Node->applyConfig(std::move(Config));
  dispatch::BackendInstance B;
  B.Id = "i";
  B.Service = "s";
  B.Address = "127.0.0.1:" + std::to_string(ServerPort);
  B.DataCentre = "here";
  B.Slots = 2 * Streams;
  Node->directory().replaceAll({B}, {0, 1}, std::nullopt);
  Node->onDirectoryChanged();
  return Node;
}

std::string request(const char *Path, int Id) {
  return "GET " + std::string(Path) +
         " HTTP/1.1\r\nHost: h\r\nRagwort-Request-Id: r" + std::to_string(Id) +
         "\r\n\r\n";
}

/// The event loop of a gateway on a thread of its own.
class GatewayThread {
public:
  explicit GatewayThread(uint16_t ServerPort)
      : Node(makeGateway(Io, Metrics, ServerPort)), Port(Node->port()),
        Thread([this] { Io.run(); }) {}
  ~GatewayThread() {
    Io.stop();
    Thread.join();
  }
  uint16_t port() const { return Port; }
  /// Processor time of the thread so far, in microseconds.
  double cpuMicros() {
    std::promise<double> Result;
    asio::post(Io, [&] {
      timespec At{};
      ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &At);
      Result.set_value(static_cast<double>(At.tv_sec) * 1e6 +
                       static_cast<double>(At.tv_nsec) / 1e3);
    });
    return Result.get_future().get();
  }

private:
  asio::io_context Io;
  MetricsRegistry Metrics;
  std::unique_ptr<gateway::Gateway> Node;
  const uint16_t Port;
  std::thread Thread;
};

class Measurement {
public:
  Measurement() : Backend(Io), Node(Backend.port()) {}

  /// \returns the processor time of one request.
  double requestMicros() {
    int Left = Requests;
    std::vector<std::unique_ptr<Peer>> All;
    double Before = Node.cpuMicros();
    for (int I = 0; I < Callers; ++I) {
      Peer &P = addCaller(All);
      P.OnOpen = [&P, &Left] { P.Socket->write(request("/safe/", Left)); };
      P.OnBytes = [&P, &Left] {
        if (!P.Received.ends_with(std::string(800, 'x')))
          return;
        P.Received.clear();
        if (--Left > 0)
          P.Socket->write(request("/safe/", Left));
      };
    }
    while (Left > 0)
      Io.run_one();
    return (Node.cpuMicros() - Before) / Requests;
  }

  struct StreamCost {
    double EventMicros;
    double Bytes;
  };
  /// Bytes include what the peers hold of a stream.
  StreamCost streamCost() {
    size_t HeldBefore = ::mallinfo2().uordblks;
    std::vector<std::unique_ptr<Peer>> All;
    for (int I = 0; I < Streams; ++I) {
      Peer &P = addCaller(All);
      P.OnOpen = [&P, I] { P.Socket->write(request("/stream/", I)); };
    }
    while (Backend.streams() < Streams)
      Io.run_one();
    double Before = Node.cpuMicros();
    for (int Id = 1; Id <= EventsPerStream; ++Id) {
      Backend.writeEvent(Id);
      std::string Last = "id: " + std::to_string(Id) + "\n";
      for (auto &P : All) {
        while (P->Received.find(Last) == std::string::npos)
          Io.run_one();
        P->Received.clear();
      }
    }
    StreamCost Result{};
    Result.EventMicros =
        (Node.cpuMicros() - Before) / (Streams * EventsPerStream);
    Result.Bytes =
        static_cast<double>(::mallinfo2().uordblks - HeldBefore) / Streams;
    return Result;
  }

private:
  Peer &addCaller(std::vector<std::unique_ptr<Peer>> &All) {
    All.push_back(std::make_unique<Peer>(Io));
    Peer &P = *All.back();
    P.OnClosed = [&P] {
      std::cerr << "connection closed after: " << P.Received << std::endl;
      std::quick_exit(1);
    };
    P.Socket->connect(endpointOf<asio::ip::tcp>({"127.0.0.1", Node.port()}),
                      std::chrono::seconds(5));
    return P;
  }

  asio::io_context Io;
  Server Backend;
  GatewayThread Node;
};

} // namespace

int main() {
  // The log's cost is not part of the comparison.
  configureLog(LogLevel::Error, "cost");
  ::mallopt(M_ARENA_MAX, 1);
  Measurement Run;
  double RequestMicros = Run.requestMicros();
  auto [EventMicros, Bytes] = Run.streamCost();
  std::cout << "request_us=" << RequestMicros << " event_us=" << EventMicros
            << " stream_bytes=" << Bytes << std::endl;
  // The peers' connections are open still.
  std::quick_exit(0);
}
