//===- ScriptedHttpServer.h - A server that writes what a test says -------===//
#ifndef RAGWORT_TESTING_UNIT_SCRIPTEDHTTPSERVER_H
#define RAGWORT_TESTING_UNIT_SCRIPTEDHTTPSERVER_H

#include "ragwort/transport/Asio.h"
#include <boost/asio/read_until.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ragwort {

/// Listens on loopback and answers each request with the next entry of its
/// script. Call stop() and run the loop to its end before destruction.
class ScriptedHttpServer {
public:
  /// Receives the head of the request and returns the bytes to write. If they
  /// end with Close, the connection closes after they are written.
  using Responder = std::function<std::string(const std::string &)>;
  static inline const std::string Close = "\x01close";

  explicit ScriptedHttpServer(asio::io_context &Io)
      : Io(Io),
        Acceptor(Io, endpointOf<asio::ip::tcp>(Address{"127.0.0.1", 0})) {
    accept();
  }

  Address address() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }
  void setScript(const std::vector<std::string> &Texts) {
    for (const std::string &Text : Texts)
      Script.push_back([Text](const std::string &) { return Text; });
  }
  /// Writes \p Text on the connection that was accepted at \p Index.
  void write(size_t Index, const std::string &Text) {
    asio::write(*Sockets.at(Index), asio::buffer(Text));
  }
  size_t connections() const { return Sockets.size(); }
  void stop() {
    Acceptor.close();
    for (auto &Each : Sockets)
      Each->close();
  }

  std::deque<Responder> Script;

private:
  asio::awaitable<void> serve(asio::ip::tcp::socket &Socket) {
    std::string Received;
    error_code Error;
    while (!Error) {
      size_t End = co_await asio::async_read_until(
          Socket, asio::dynamic_buffer(Received), "\r\n\r\n",
          asio::redirect_error(asio::use_awaitable, Error));
      if (Error || Script.empty())
        co_return;
      Responder Next = std::move(Script.front());
      Script.pop_front();
      std::string Text = Next(Received.substr(0, End));
      Received.erase(0, End);
      bool Closes = Text.ends_with(Close);
      if (Closes)
        Text.resize(Text.size() - Close.size());
      co_await asio::async_write(
          Socket, asio::buffer(Text),
          asio::redirect_error(asio::use_awaitable, Error));
      if (Closes)
        Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Error);
    }
  }

  void accept() {
    Acceptor.async_accept([this](error_code Error, asio::ip::tcp::socket S) {
      if (Error)
        return;
      Sockets.push_back(std::make_unique<asio::ip::tcp::socket>(std::move(S)));
      asio::co_spawn(Io, serve(*Sockets.back()), asio::detached);
      accept();
    });
  }

  asio::io_context &Io;
  asio::ip::tcp::acceptor Acceptor;
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> Sockets;
};

/// Runs \p Test on \p Io to its end, and then what is left after \p Server
/// stopped.
inline void runWith(asio::io_context &Io, ScriptedHttpServer &Server,
                    std::function<asio::awaitable<void>()> Test) {
  std::exception_ptr Failure;
  asio::co_spawn(Io, std::move(Test), [&](std::exception_ptr Error) {
    Failure = Error;
    Io.stop();
  });
  Io.run();
  Io.restart();
  Server.stop();
  Io.run();
  if (Failure)
    std::rethrow_exception(Failure);
}

} // namespace ragwort

#endif
