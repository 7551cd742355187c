#include "masticwinch/http/http_client.hpp"

#include "masticwinch/http/internal/curl_call.hpp"
#include "masticwinch/http/internal/host_calls.hpp"
#include "masticwinch/http/internal/socket_table.hpp"
#include "masticwinch/http/internal/socket_watch.hpp"
#include "masticwinch/metrics/process_metrics.hpp"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <map>

namespace masticwinch {

namespace {

/// Size of libcurl's connection cache, over all hosts.
constexpr long MaxIdleConnections = 1024;

/// Initializes libcurl once per process.
void initializeCurl() {
  static const CURLcode Code = curl_global_init(CURL_GLOBAL_ALL);
  (void)Code;
}

} // namespace

using internal::CurlCall;
using internal::HostCalls;
using internal::SocketTable;
using internal::SocketWatch;

struct HttpClient::Implementation
    : std::enable_shared_from_this<HttpClient::Implementation> {
  explicit Implementation(asio::io_context &loop)
      : Loop(loop), Timer(loop), Multi(curl_multi_init()),
        PerHost(
            loop,
            [this](HttpCallId id, HttpCall call, HttpCallDone done) {
              begin(id, std::move(call), std::move(done));
            },
            [this](const HttpCallDone &done) {
              ++WithoutConnection;
              done({HttpOutcome::NoConnection,
                    {},
                    false,
                    "too many calls to the host"});
            }) {
    curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, &onSocket);
    curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, &onTimer);
    curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(Multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
    if (const std::uint64_t limit = descriptorLimit(); limit > 0) {
      curl_multi_setopt(Multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                        static_cast<long>(limit / HttpClientDescriptorDivisor));
    }
  }

  ~Implementation() {
    for (const auto &[id, call] : Calls) {
      curl_multi_remove_handle(Multi, call->handle());
    }
    Calls.clear();
    curl_multi_cleanup(Multi);
  }

  HttpCallId start(HttpCall call, HttpCallDone done);
  void cancel(HttpCallId id);

  /// Hands a call to libcurl.
  void begin(HttpCallId id, HttpCall call, HttpCallDone done);
  /// Ends a call that libcurl doesn't take.
  void reject(HttpCallId id, HttpCallDone done, const char *reason);

  /// CURLOPT_OPENSOCKETFUNCTION and CURLOPT_CLOSESOCKETFUNCTION.
  static curl_socket_t onOpen(void *self, curlsocktype, curl_sockaddr *address);
  static int onClose(void *self, curl_socket_t socket);

  /// CURLMOPT_SOCKETFUNCTION: libcurl changes the events to monitor on a
  /// socket.
  static int onSocket(CURL *easy, curl_socket_t socket, int what, void *self,
                      void *);
  /// CURLMOPT_TIMERFUNCTION: libcurl sets or cancels its timeout.
  static int onTimer(CURLM *multi, long timeoutMs, void *self);

  void setTimer(long timeoutMs);
  void handleSocketEvent(curl_socket_t socket, int events);
  void finishCompletedCalls();
  void finish(HttpCallId id, HttpCallResult result);
  void postDone(HttpCallDone done, HttpCallResult result);

  asio::io_context &Loop;
  asio::steady_timer Timer;
  CURLM *Multi;
  HttpCallId LastId = 0;
  std::map<HttpCallId, std::unique_ptr<CurlCall>> Calls;
  std::map<curl_socket_t, std::shared_ptr<SocketWatch>> Watches;
  SocketTable Sockets;
  HostCalls PerHost;
  std::uint64_t WithoutConnection = 0;
};

HttpCallId HttpClient::Implementation::start(HttpCall call, HttpCallDone done) {
  const HttpCallId id = ++LastId;
  PerHost.add(id, std::move(call), std::move(done));
  return id;
}

void HttpClient::Implementation::begin(HttpCallId id, HttpCall call,
                                       HttpCallDone done) {
  auto started = std::make_unique<CurlCall>(id, std::move(call), done);
  if (!started->prepare()) {
    reject(id, std::move(done), "the call is malformed");
    return;
  }
  CURL *easy = started->handle();
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &onOpen);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &onClose);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
  if (const CURLMcode code = curl_multi_add_handle(Multi, easy)) {
    reject(id, std::move(done), curl_multi_strerror(code));
    return;
  }
  Calls.emplace(id, std::move(started));
}

void HttpClient::Implementation::reject(HttpCallId id, HttpCallDone done,
                                        const char *reason) {
  asio::post(Loop,
             [self = weak_from_this(), id, done = std::move(done), reason] {
               if (const auto client = self.lock()) {
                 client->PerHost.ended(id);
                 done({HttpOutcome::NotSent, {}, false, reason});
               }
             });
}

void HttpClient::Implementation::cancel(HttpCallId id) {
  if (HttpCallDone waiting = PerHost.remove(id)) {
    postDone(std::move(waiting),
             {HttpOutcome::Cancelled, {}, false, "cancelled"});
    return;
  }
  const auto it = Calls.find(id);
  if (it == Calls.end()) {
    return;
  }
  const std::unique_ptr<CurlCall> call = std::move(it->second);
  Calls.erase(it);
  const bool maybeSent = call->mayHaveBeenSent();
  // Removing a running transfer closes its connection.
  curl_multi_remove_handle(Multi, call->handle());
  PerHost.ended(id);
  postDone(call->takeDone(),
           {HttpOutcome::Cancelled, {}, maybeSent, "cancelled"});
}

curl_socket_t HttpClient::Implementation::onOpen(void *self, curlsocktype,
                                                 curl_sockaddr *address) {
  return static_cast<Implementation *>(self)->Sockets.open(*address);
}

int HttpClient::Implementation::onClose(void *self, curl_socket_t socket) {
  return static_cast<Implementation *>(self)->Sockets.close(socket);
}

void HttpClient::Implementation::postDone(HttpCallDone done,
                                          HttpCallResult result) {
  asio::post(Loop, [self = weak_from_this(), done = std::move(done),
                    result = std::move(result)]() mutable {
    if (self.lock()) {
      done(std::move(result));
    }
  });
}

int HttpClient::Implementation::onSocket(CURL *, curl_socket_t socket, int what,
                                         void *self, void *) {
  auto &client = *static_cast<Implementation *>(self);
  const auto it = client.Watches.find(socket);
  if (what == CURL_POLL_REMOVE) {
    if (it != client.Watches.end()) {
      it->second->release();
      client.Watches.erase(it);
    }
    client.Sockets.setIdle(socket, BootClock::now());
    return 0;
  }
  client.Sockets.setUsed(socket);
  std::shared_ptr<SocketWatch> watch;
  if (it == client.Watches.end()) {
    watch = std::make_shared<SocketWatch>(
        client.Loop, socket,
        [weak = client.weak_from_this()](curl_socket_t ready, int events) {
          if (const auto locked = weak.lock()) {
            locked->handleSocketEvent(ready, events);
          }
        });
    client.Watches.emplace(socket, watch);
  } else {
    watch = it->second;
  }
  watch->setEvents(what);
  return 0;
}

int HttpClient::Implementation::onTimer(CURLM *, long timeoutMs, void *self) {
  static_cast<Implementation *>(self)->setTimer(timeoutMs);
  return 0;
}

void HttpClient::Implementation::setTimer(long timeoutMs) {
  if (timeoutMs < 0) {
    Timer.cancel();
    return;
  }
  Timer.expires_after(Milliseconds(timeoutMs));
  Timer.async_wait([weak = weak_from_this()](const std::error_code &ec) {
    const auto self = weak.lock();
    if (!ec && self) {
      self->handleSocketEvent(CURL_SOCKET_TIMEOUT, 0);
    }
  });
}

void HttpClient::Implementation::handleSocketEvent(curl_socket_t socket,
                                                   int events) {
  int running = 0;
  curl_multi_socket_action(Multi, socket, events, &running);
  finishCompletedCalls();
}

void HttpClient::Implementation::finishCompletedCalls() {
  int remaining = 0;
  while (const CURLMsg *message = curl_multi_info_read(Multi, &remaining)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    CurlCall *call = CurlCall::fromHandle(message->easy_handle);
    finish(call->id(), call->result(code));
  }
}

void HttpClient::Implementation::finish(HttpCallId id, HttpCallResult result) {
  const auto it = Calls.find(id);
  const std::unique_ptr<CurlCall> call = std::move(it->second);
  Calls.erase(it);
  curl_multi_remove_handle(Multi, call->handle());
  PerHost.ended(id);
  call->takeDone()(std::move(result));
}

HttpClient::HttpClient(asio::io_context &context) {
  initializeCurl();
  Impl = std::make_shared<Implementation>(context);
}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::start(HttpCall call, HttpCallDone done) {
  return Impl->start(std::move(call), std::move(done));
}

void HttpClient::cancel(HttpCallId id) { Impl->cancel(id); }

void HttpClient::closeIdleConnections(Milliseconds idleFor) {
  Impl->Sockets.shutDownIdle(BootClock::now() - idleFor);
}

std::size_t HttpClient::openConnections() const { return Impl->Sockets.size(); }

std::size_t HttpClient::waitingCalls() const { return Impl->PerHost.waiting(); }

std::uint64_t HttpClient::callsWithoutConnection() const {
  return Impl->WithoutConnection;
}

} // namespace masticwinch
