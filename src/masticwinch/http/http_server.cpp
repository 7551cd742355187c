#include "masticwinch/http/http_server.hpp"

#include "masticwinch/http/internal/admission.hpp"
#include "masticwinch/http/internal/connection_table.hpp"
#include "masticwinch/http/internal/refusing_socket.hpp"
#include "masticwinch/http/internal/request_target.hpp"
#include "masticwinch/http/internal/response_rules.hpp"
#include "masticwinch/http/percent_encoding.hpp"

#include <asio.hpp>
#include <fmt/format.h>
#include <restinio/all.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <regex>
#include <shared_mutex>
#include <stdexcept>
#include <thread>
#include <variant>
#include <vector>

namespace masticwinch {

namespace {

/// One request in the handler and one read ahead, so that a closed connection
/// is detected while the handler processes the first one.
constexpr std::size_t MaxPipelinedRequests = 2;
constexpr std::chrono::seconds WriteTimeout{30};
/// Effectively unlimited: the handler enforces its own deadlines, `Admission`
/// those of connections without a request in progress.
constexpr std::chrono::hours HandlingTimeout{24};
constexpr std::chrono::hours ReadTimeout{24 * 365};

/// Whether RESTinio is calling the handler on this thread. A response that is
/// sent during that call makes RESTinio start reading the next request twice,
/// and the second read discards what the first one received. Such responses are
/// therefore posted and sent after the call.
thread_local bool InsideHandler = false;

struct HandlerScope {
  HandlerScope() { InsideHandler = true; }
  ~HandlerScope() { InsideHandler = false; }
  HandlerScope(const HandlerScope &) = delete;
  HandlerScope &operator=(const HandlerScope &) = delete;
};

/// An event loop that can be shut down before it is destroyed, which discards
/// the pending operations and the connections that they keep alive.
class EventLoop : public asio::io_context {
public:
  using asio::io_context::shutdown;
};

using RestinioRequest = restinio::request_handle_t;

std::size_t headerBytes(const restinio::http_request_header_t &header) {
  std::size_t bytes = 0;
  header.for_each_field(
      [&](const auto &it) { bytes += it.name().size() + it.value().size(); });
  return bytes;
}

} // namespace

/// State of the server, shared with exchanges, which may outlive it.
struct HttpServer::Implementation
    : std::enable_shared_from_this<HttpServer::Implementation> {
  class Exchange;
  struct Listener;
  struct ParserErrorLogger;
  struct Traits;
  using RestinioServer = restinio::http_server_t<Traits>;

  Implementation(HttpServerOptions options, HttpHandler handler)
      : Options(std::move(options)), Handler(std::move(handler)),
        Admission(std::make_shared<internal::Admission>(
            Options.MaxConnections, Options.MaxHeldBytes, Options.Timeouts)) {}

  void open();
  void close();
  void closeExpiredConnections();
  void handle(const RestinioRequest &request);
  void write(const RestinioRequest &request, HttpResponse response,
             HttpAnswerFault fault);
  std::shared_ptr<void> trackWrite(std::uint64_t connection, std::size_t bytes);
  std::optional<HttpResponse>
  findRequestError(const RestinioRequest &request) const;

  const HttpServerOptions Options;
  const HttpHandler Handler;
  std::uint16_t BoundPort = 0;
  std::atomic<bool> CloseAfterAnswers = false;

  /// Held shared while a response is passed to RESTinio, exclusively while the
  /// event loop is destroyed.
  std::shared_mutex LoopMutex;
  std::unique_ptr<EventLoop> Loop;
  std::unique_ptr<RestinioServer> Server;
  std::unique_ptr<asio::steady_timer> TimeoutTimer;
  std::vector<std::thread> Threads;

  internal::ConnectionTable Connections;
  /// Shared with the connections' sockets.
  const std::shared_ptr<internal::Admission> Admission;
};

/// The exchange that is passed to the handler.
class HttpServer::Implementation::Exchange final
    : public HttpExchange,
      public internal::PendingRequest {
public:
  Exchange(std::shared_ptr<Implementation> server, RestinioRequest handle,
           HttpRequest request, std::shared_ptr<void> held)
      : Server(std::move(server)), Connection(handle->connection_id()),
        Handle(std::move(handle)), Request(std::move(request)),
        Held(std::move(held)) {}

  ~Exchange() override;

  const HttpRequest &request() const override { return Request; }

  void respond(HttpResponse response) override {
    respondWithFault(std::move(response), {});
  }

  void respondWithFault(HttpResponse response, HttpAnswerFault fault) override;

  void onCallerGone(std::function<void()> function) override;

  void abandon(bool callerGone) override;

private:
  RestinioRequest takeHandle();

  const std::shared_ptr<Implementation> Server;
  const std::uint64_t Connection;
  std::mutex Mutex;
  /// Empty once the request was answered or abandoned.
  RestinioRequest Handle;
  bool CallerGone = false;
  std::function<void()> OnGone;
  const HttpRequest Request;
  /// Counts the request's bytes as held.
  const std::shared_ptr<void> Held;
};

struct HttpServer::Implementation::Listener {
  // The name is RESTinio's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void state_changed(const restinio::connection_state::notice_t &notice) {
    using namespace restinio::connection_state;
    if (std::holds_alternative<accepted_t>(notice.cause())) {
      const std::uint64_t connection = notice.connection_id();
      const bool admitted = Server->Admission->opened(connection);
      internal::RefusingSocket::connectNextReader(Server->Admission, connection,
                                                  admitted);
    } else if (std::holds_alternative<closed_t>(notice.cause())) {
      Server->Admission->closed(notice.connection_id());
      Server->Connections.closed(notice.connection_id());
    }
  }

  Implementation *Server;
};

/// Logger for RESTinio. RESTinio reports a parser error only through its log,
/// just before it shuts the connection down on the same thread; the logger sets
/// the error response that this shutdown sends.
struct HttpServer::Implementation::ParserErrorLogger {
  explicit ParserErrorLogger(Implementation *server) : Server(server) {}

  template <class Message> void trace(const Message &) const {}
  template <class Message> void info(const Message &) const {}
  template <class Message> void warn(const Message &) const {}
  template <class Message> void error(const Message &message) const {
    static const std::regex ParserError(
        R"(\[connection:(\d+)\] parser error (\w+):.*)");
    const std::string text = message();
    std::smatch match;
    if (std::regex_match(text, match, ParserError) &&
        Server->Connections.isIdle(std::stoull(match[1]))) {
      internal::RefusingSocket::respondAtNextShutdown(
          internal::serializeFinalResponse(
              internal::parserErrorResponse(match[2].str())));
    }
  }

  Implementation *Server;
};

struct HttpServer::Implementation::Traits : restinio::default_traits_t {
  // The names are RESTinio's.
  // NOLINTBEGIN(readability-identifier-naming)
  using connection_state_listener_t = Listener;
  using logger_t = ParserErrorLogger;
  using stream_socket_t = internal::RefusingSocket;
  static constexpr bool use_connection_count_limiter = true;
  // NOLINTEND(readability-identifier-naming)
};

HttpServer::Implementation::Exchange::~Exchange() {
  if (Handle) {
    respond(errorResponse(500, "internal", "the request was dropped"));
  }
}

RestinioRequest HttpServer::Implementation::Exchange::takeHandle() {
  RestinioRequest handle;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    handle = std::move(Handle);
    Handle.reset();
    OnGone = nullptr;
  }
  if (handle) {
    Server->Connections.remove(Connection, this);
  }
  return handle;
}

void HttpServer::Implementation::Exchange::respondWithFault(
    HttpResponse response, HttpAnswerFault fault) {
  const std::shared_lock<std::shared_mutex> lock(Server->LoopMutex);
  if (const RestinioRequest handle = takeHandle()) {
    Server->write(handle, std::move(response), fault);
  }
}

void HttpServer::Implementation::Exchange::onCallerGone(
    std::function<void()> function) {
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    if (!CallerGone) {
      if (Handle) {
        OnGone = std::move(function);
      }
      return;
    }
  }
  function();
}

void HttpServer::Implementation::Exchange::abandon(bool callerGone) {
  RestinioRequest handle;
  std::function<void()> function;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    handle = std::move(Handle);
    Handle.reset();
    function = std::move(OnGone);
    OnGone = nullptr;
    CallerGone = callerGone && handle != nullptr;
  }
  if (callerGone && function) {
    function();
  }
}

void HttpServer::Implementation::open() {
  Loop = std::make_unique<EventLoop>();
  const auto limits = restinio::incoming_http_msg_limits_t{}
                          .max_url_size(Options.MaxHeaderBytes)
                          .max_field_name_size(Options.MaxHeaderBytes)
                          .max_field_value_size(Options.MaxHeaderBytes + 1)
                          .max_body_size(Options.MaxBodyBytes);
  Server = std::make_unique<RestinioServer>(
      restinio::external_io_context(*Loop), [&](auto &settings) {
        settings.address(Options.Address)
            .port(Options.Port)
            .protocol(asio::ip::make_address(Options.Address).is_v6()
                          ? asio::ip::tcp::v6()
                          : asio::ip::tcp::v4())
            .incoming_http_msg_limits(limits)
            .max_parallel_connections(Options.MaxConnections +
                                      ConnectionsInPassing)
            .max_pipelined_requests(MaxPipelinedRequests)
            .read_next_http_message_timelimit(ReadTimeout)
            .write_http_response_timelimit(WriteTimeout)
            .handle_request_timeout(HandlingTimeout)
            .logger(this)
            .connection_state_listener(
                std::make_shared<Listener>(Listener{this}))
            .socket_options_setter(
                [](auto &it) { it.set_option(asio::ip::tcp::no_delay(true)); })
            .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &it) {
              BoundPort = it.local_endpoint().port();
            })
            .request_handler([this](const RestinioRequest &request) {
              handle(request);
              return restinio::request_accepted();
            });
      });
  Server->open_sync();
  TimeoutTimer = std::make_unique<asio::steady_timer>(*Loop);
  closeExpiredConnections();
  for (std::size_t i = 0; i < std::max<std::size_t>(Options.Threads, 1); ++i) {
    Threads.emplace_back([loop = Loop.get()] {
      const auto work = asio::make_work_guard(*loop);
      loop->run();
    });
  }
}

void HttpServer::Implementation::closeExpiredConnections() {
  TimeoutTimer->expires_after(Admission->closeExpired());
  TimeoutTimer->async_wait([this](const asio::error_code &ec) {
    if (!ec) {
      closeExpiredConnections();
    }
  });
}

void HttpServer::Implementation::close() {
  if (!Loop) {
    return;
  }
  std::promise<void> closed;
  asio::post(*Loop, [&] {
    Server->close_sync();
    closed.set_value();
  });
  closed.get_future().wait();
  Connections.waitForWrites(StopWriteTimeout);
  Loop->stop();
  for (std::thread &it : Threads) {
    it.join();
  }
  Threads.clear();

  const std::unique_lock<std::shared_mutex> lock(LoopMutex);
  Connections.abandonAll();
  TimeoutTimer.reset();
  // Connections refer to the acceptor, so they are destroyed first.
  Loop->shutdown();
  Server.reset();
  Loop.reset();
}

std::optional<HttpResponse> HttpServer::Implementation::findRequestError(
    const RestinioRequest &request) const {
  const restinio::http_request_header_t &header = request->header();
  if (headerBytes(header) > Options.MaxHeaderBytes) {
    return errorResponse(431, "headers_too_long",
                         "the headers are longer than allowed");
  }
  if (!percentDecode(header.path())) {
    return errorResponse(400, "malformed_target",
                         "the path has a malformed percent sequence", "path");
  }
  if (header.connection() == restinio::http_connection_header_t::upgrade) {
    return errorResponse(400, "upgrade_refused",
                         "the connection can't be upgraded", "Connection");
  }
  return std::nullopt;
}

void HttpServer::Implementation::handle(const RestinioRequest &request) {
  const HandlerScope scope;
  std::shared_ptr<void> held =
      Admission->beginHandling(request->connection_id());
  if (std::optional<HttpResponse> error = findRequestError(request)) {
    write(request, std::move(*error), {});
    return;
  }
  const restinio::http_request_header_t &header = request->header();
  HttpRequest received;
  received.Method = header.method().c_str();
  const internal::RequestTarget target =
      internal::splitTarget(header.request_target());
  received.Path = std::string(target.Path);
  received.Query = std::string(target.Query);
  received.Body = request->body();
  if (!target.Authority.empty()) {
    // It stands in place of any Host field (RFC 9112, 3.2.2).
    received.Headers.add("Host", std::string(target.Authority));
  }
  header.for_each_field(
      [&](const auto &it) { received.Headers.add(it.name(), it.value()); });
  const auto exchange = std::make_shared<Exchange>(
      shared_from_this(), request, std::move(received), std::move(held));
  Connections.add(request->connection_id(), exchange);
  Handler(exchange);
}

/// Counts a response as being written, and its request as in progress, until
/// the returned token is destroyed.
std::shared_ptr<void>
HttpServer::Implementation::trackWrite(std::uint64_t connection,
                                       std::size_t bytes) {
  Admission->responseBegan(connection, bytes);
  std::shared_ptr<void> pending = Connections.trackWrite(connection);
  return std::shared_ptr<void>(this, [pending = std::move(pending),
                                      admission = Admission, connection,
                                      bytes](void *) mutable {
    admission->responseEnded(connection, bytes);
    admission->answered(connection);
    pending.reset();
  });
}

void HttpServer::Implementation::write(const RestinioRequest &request,
                                       HttpResponse response,
                                       HttpAnswerFault fault) {
  const restinio::http_status_line_t status(
      restinio::http_status_code_t(response.Status),
      internal::reasonPhrase(response.Status));
  auto output =
      request->create_response<restinio::user_controlled_output_t>(status);
  for (const HttpHeader &it : response.Headers.lines()) {
    if (internal::isSendableHeader(it)) {
      output.append_header(it.Name, it.Value);
    }
  }
  if (CloseAfterAnswers || fault.Truncate) {
    output.connection_close();
  }
  if (request->header().method() == restinio::http_method_head()) {
    response.Body.clear();
  }
  output.set_content_length(response.Body.size());
  if (fault.Truncate) {
    response.Body.resize(response.Body.size() / 2);
  }
  const std::size_t bytes = response.Body.size();
  if (!response.Body.empty()) {
    output.set_body(std::move(response.Body));
  }
  auto finish = [output = std::move(output),
                 pending =
                     trackWrite(request->connection_id(), bytes)]() mutable {
    output.done([pending = std::move(pending)](const auto &) {});
  };
  if (InsideHandler) {
    asio::post(*Loop, std::move(finish));
  } else {
    finish();
  }
}

HttpServer::HttpServer(HttpServerOptions options, HttpHandler handler)
    : Impl(std::make_shared<Implementation>(std::move(options),
                                            std::move(handler))) {}

HttpServer::~HttpServer() { stop(); }

void HttpServer::start() {
  const HttpServerOptions &options = Impl->Options;
  try {
    Impl->open();
  } catch (const std::exception &ex) {
    Impl->Server.reset();
    Impl->Loop.reset();
    throw std::runtime_error(fmt::format(
        "can't listen on {}:{}: {}", options.Address, options.Port, ex.what()));
  }
}

std::uint16_t HttpServer::port() const { return Impl->BoundPort; }

HttpConnectionCounts HttpServer::connections() const {
  return Impl->Admission->counts();
}

void HttpServer::closeConnectionsAfterAnswers(bool close) {
  Impl->CloseAfterAnswers = close;
}

void HttpServer::setTimeouts(const HttpTimeouts &timeouts) {
  Impl->Admission->setTimeouts(timeouts);
}

void HttpServer::stop() { Impl->close(); }

} // namespace masticwinch
