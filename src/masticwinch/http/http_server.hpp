#pragma once

#include "masticwinch/http/http_message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace masticwinch {

/// What a listening HTTP server is bound to and accepts.
struct HttpServerOptions {
  std::string Address = "127.0.0.1";
  /// 0 lets the system choose; `port()` tells which.
  std::uint16_t Port = 0;
  /// Threads that read and write connections and call the handler.
  std::size_t Threads = 1;
  std::size_t MaxHeaderBytes = 16 * 1024;
  std::size_t MaxBodyBytes = 1024 * 1024;
  /// Connections beyond this number are not accepted until others close.
  std::size_t MaxConnections = 4096;
};

/// Faults that a stand-in puts into an answer on purpose.
struct HttpAnswerFault {
  /// States the whole length, sends half of the body and closes.
  bool Truncate = false;
};

/// One request that waits for its answer. The first answer counts; later ones
/// are dropped. Safe to use from any thread, also after the caller left.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest &request() const = 0;
  virtual void respond(HttpResponse response) = 0;
  virtual void respondWithFault(HttpResponse response,
                                HttpAnswerFault fault) = 0;

  /// Calls the function once if the caller's connection closes before the
  /// answer was given, from a thread of the server; at once if it has closed.
  virtual void onCallerGone(std::function<void()> function) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// Why a server could not start.
struct HttpServerError {
  std::string Reason;
};

/// HTTP/1.1 server. Requests with too long a header or body, or that are not
/// HTTP, get an error answer or a closed connection and never reach the
/// handler.
class HttpServer {
public:
  HttpServer(HttpServerOptions options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds and starts the threads. Throws `std::runtime_error` with the
  /// address and the reason when it can't bind.
  void start();

  /// The port that is bound, after `start`.
  std::uint16_t port() const;

  /// Answers from now on close their connection, so that callers with a
  /// kept-alive connection go elsewhere.
  void closeConnectionsAfterAnswers();

  /// Stops accepting, closes what is open and joins the threads.
  void stop();

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace masticwinch
