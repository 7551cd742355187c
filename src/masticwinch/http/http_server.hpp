#pragma once

#include "masticwinch/common/clock.hpp"
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

/// How many connections a server has and had at once.
struct HttpConnectionCounts {
  std::size_t Open = 0;
  std::size_t Peak = 0;
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

/// How long `HttpServer::stop` waits for answers to be written.
inline constexpr Milliseconds StopWriteLimit{1000};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// HTTP/1.1 server. These requests never reach the handler; each is answered
/// with a JSON error and closes its connection: a body above `MaxBodyBytes`
/// (413), headers above `MaxHeaderBytes` or 80 KiB (431), a target above
/// `MaxHeaderBytes` (414), a malformed percent sequence (400), and bytes that
/// are not HTTP/1.1 (400). A request that can't be parsed and follows one that
/// waits for its answer closes the connection without an answer.
/// Two requests of one connection may be with the handler at once; the answers
/// leave in the order of the requests. A HEAD request is answered without the
/// body.
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

  /// Counts since the start; safe from any thread.
  HttpConnectionCounts connections() const;

  /// Answers from now on close their connection, so that callers with a
  /// kept-alive connection go elsewhere.
  void closeConnectionsAfterAnswers();

  /// Stops accepting, lets answers that were given leave for up to
  /// `StopWriteLimit`, closes what is open and joins the threads. Not to be
  /// called from the handler. Exchanges that are still kept drop their answers.
  void stop();

private:
  struct Implementation;
  std::shared_ptr<Implementation> Impl;
};

} // namespace masticwinch
