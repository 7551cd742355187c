#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/http/http_message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace masticwinch {

/// How long a connection may be without a request in progress; 0 limits
/// nothing. They are checked at intervals of an eighth of the shortest, and of
/// one second at most.
struct HttpTimeouts {
  /// From the first byte of a request to the end of its headers; then 408.
  Milliseconds Header{60'000};
  /// From the end of the headers to that of the body; then 408.
  Milliseconds Body{60'000};
  /// Without a byte of a request, from the opening or the last response on;
  /// then the connection closes.
  Milliseconds Idle{60'000};

  bool operator==(const HttpTimeouts &) const = default;
};

/// Address, threads and limits of an HTTP server.
struct HttpServerOptions {
  std::string Address = "127.0.0.1";
  /// 0 selects an ephemeral port, which `port()` returns.
  std::uint16_t Port = 0;
  /// Number of threads that serve connections and call the handler.
  std::size_t Threads = 1;
  std::size_t MaxHeaderBytes = 16 * 1024;
  std::size_t MaxBodyBytes = 1024 * 1024;
  /// Most bytes that the requests of all connections hold together, as they are
  /// stored: two to three times their length, and records of fields and chunks.
  /// Beyond it, the request that has been unfinished for longest gets 503, or
  /// 413 if it exceeds the limit by itself, and its connection is closed. If
  /// there is none, the request that has arrived is refused. The same limit
  /// holds for unread responses: beyond it, the connection that has held some
  /// for longest is closed.
  std::size_t MaxHeldBytes = 24UL * 1024 * 1024;
  /// At this limit, the connection that has been without a request in progress
  /// for longest is closed to make room for a new one. If all have a request in
  /// progress, the new one gets 503 and is closed.
  std::size_t MaxConnections = 4096;
  HttpTimeouts Timeouts = {};
};

/// Most connections of a server beyond its limit that are open for a moment,
/// until those that are refused or make room are closed.
inline constexpr std::size_t ConnectionsInPassing = 32;

/// Most closed connections of a process that are kept for a second, until the
/// caller has got the response or closes too; further ones are closed at once.
inline constexpr std::size_t MaxLingeringConnections = 32;

/// Numbers of a server's connections.
struct HttpConnectionCounts {
  /// Open connections, now and at the peak, without those that are being
  /// refused or closed for room.
  std::size_t Open = 0;
  std::size_t Peak = 0;
  std::size_t Limit = 0;
  /// Connections since the start.
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  /// Closed without a request in progress, by reason.
  std::uint64_t ClosedForRoom = 0;
  std::uint64_t HeaderTimeouts = 0;
  std::uint64_t BodyTimeouts = 0;
  std::uint64_t IdleTimeouts = 0;
  /// Closed since all connections together held too many bytes.
  std::uint64_t ClosedForMemory = 0;
  /// Bytes held by requests and by unread responses.
  std::size_t RequestBytes = 0;
  std::size_t ResponseBytes = 0;
  std::size_t MaxHeldBytes = 0;
};

/// Fault to inject into a response, for stand-ins in tests.
struct HttpAnswerFault {
  /// Sends the full Content-Length but only half of the body, then closes the
  /// connection.
  bool Truncate = false;
};

/// A request and the means to respond to it. Only the first response is sent;
/// later ones are ignored. Safe to use from any thread, also after the caller
/// disconnected. An exchange that is destroyed without a response sends 500.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest &request() const = 0;
  virtual void respond(HttpResponse response) = 0;
  virtual void respondWithFault(HttpResponse response,
                                HttpAnswerFault fault) = 0;

  /// Registers a function that is called once, on a thread of the server, if
  /// the caller's connection closes before `respond`. If it has already closed,
  /// the function is called immediately. A caller that ends its sending half,
  /// which is all that TCP shows of one that closes its connection, counts as
  /// there until the connection is reset.
  virtual void onCallerGone(std::function<void()> function) = 0;
};

/// How long `HttpServer::stop` waits for pending responses to be written.
inline constexpr Milliseconds StopWriteTimeout{1000};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// HTTP/1.1 server. The following requests never reach the handler; each gets a
/// JSON error response and closes its connection: a body above `MaxBodyBytes`
/// (413), headers above `MaxHeaderBytes` or 80 KiB (431), a target above
/// `MaxHeaderBytes` (414), a malformed percent sequence (400), and bytes that
/// are not HTTP/1.1 (400). A request that can't be parsed and follows one whose
/// response is pending closes the connection without a response.
/// The handler may process two requests of a connection at the same time;
/// responses are sent in the order of the requests. The response to a HEAD
/// request has no body.
class HttpServer {
public:
  HttpServer(HttpServerOptions options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds the address and starts the threads. Throws `std::runtime_error` with
  /// the address and the reason if binding fails.
  void start();

  /// The bound port; valid after `start`.
  std::uint16_t port() const;

  /// Connection counts since the start; safe to call from any thread.
  HttpConnectionCounts connections() const;

  /// From now on closes each connection after the next response, so that
  /// callers with a persistent connection reconnect to another server; or, if
  /// `close` is false, keeps connections open again. Thread-safe.
  void closeConnectionsAfterAnswers(bool close = true);

  /// Replaces the timeouts, also for open connections; safe to call from any
  /// thread.
  void setTimeouts(const HttpTimeouts &timeouts);

  /// Stops accepting, waits up to `StopWriteTimeout` for pending responses to
  /// be written, closes all connections and joins the threads. Must not be
  /// called from the handler. Exchanges that outlive the server ignore their
  /// responses.
  void stop();

private:
  struct Implementation;
  std::shared_ptr<Implementation> Impl;
};

} // namespace masticwinch
