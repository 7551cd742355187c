#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/http/http_message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace masticwinch {

/// An HTTP request and the limits that apply to it.
struct HttpCall {
  std::string Method = "GET";
  std::string Url;
  HttpHeaders Headers;
  std::string Body;
  /// Time limit for the whole call, including connecting.
  Milliseconds Timeout{1000};
  Milliseconds ConnectTimeout{1000};
  /// Maximum size of the response body; a longer one fails the call.
  std::size_t MaxAnswerBytes = 1024 * 1024;
  /// Opens a new connection for this call and closes it afterwards. libcurl
  /// resends a request when a reused connection closes before the first byte of
  /// the response, so every request that must not run twice needs this.
  bool FreshConnection = false;
  /// Fails the call instead of resending a body of which a part was sent. The
  /// connection may still be a reused one, unlike with `FreshConnection`.
  bool SendBodyOnce = false;
  /// The call waits while this many calls with a limit run to the same host and
  /// port, so that no more connections to it are open than the largest limit of
  /// such calls; 0 for no limit.
  std::uint32_t MaxCallsToHost = 0;
  /// How long the call may wait for others, in addition to `Timeout`; then it
  /// ends as `NoConnection`.
  Milliseconds MaxQueueTime{300};
};

/// How a call ended.
enum class HttpOutcome : std::uint8_t {
  /// A complete response was received.
  Answered,
  /// No byte of the request was sent: the call was malformed, or the connection
  /// was refused or timed out.
  NotSent,
  TimedOut,
  /// No byte of the request was sent: other calls to the host took too long.
  NoConnection,
  /// The connection closed, or the response was truncated, malformed or had no
  /// length.
  Broken,
  /// The response exceeded a size limit.
  TooLong,
  Cancelled,
};

template <> struct EnumNames<HttpOutcome> {
  static constexpr std::array<EnumName<HttpOutcome>, 7> Table{{
      {HttpOutcome::Answered, "answered"},
      {HttpOutcome::NotSent, "not_sent"},
      {HttpOutcome::TimedOut, "timed_out"},
      {HttpOutcome::NoConnection, "no_connection"},
      {HttpOutcome::Broken, "broken"},
      {HttpOutcome::TooLong, "too_long"},
      {HttpOutcome::Cancelled, "cancelled"},
  }};
};

struct HttpCallResult {
  HttpOutcome Outcome = HttpOutcome::Broken;
  /// Complete only if `Outcome` is `Answered`.
  HttpResponse Response;
  /// False only if it is certain that no byte of the request was sent; also
  /// valid for a cancelled call.
  bool MayHaveBeenSent = true;
  /// Description of a failure, for event lines.
  std::string Detail;
};

/// Calls may use one part in this many of the process's file descriptors;
/// further calls wait for a connection.
inline constexpr std::uint64_t HttpClientDescriptorDivisor = 4;

/// Identifies a running call.
using HttpCallId = std::uint64_t;

using HttpCallDone = std::function<void(HttpCallResult)>;

/// Asynchronous HTTP/1.1 client. All functions and callbacks run on the thread
/// of the Asio event loop. A call that fails, times out or is cancelled closes
/// its connection; only connections whose response was read completely are
/// reused. Proxies, redirects, cookies and compression are not supported.
/// Destroying the client drops pending calls without calling their `done`.
class HttpClient {
public:
  explicit HttpClient(asio::io_context &context);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a call. `done` is called exactly once, never from within `start`.
  HttpCallId start(HttpCall call, HttpCallDone done);

  /// Cancels a call: closes its connection and calls its `done` with
  /// `Cancelled`, not from within `cancel`. Has no effect on a completed call.
  void cancel(HttpCallId id);

  /// Closes the connections that no call has used for this long.
  void closeIdleConnections(Milliseconds idleFor);

  /// Open connections, and calls that wait for one.
  std::size_t openConnections() const;
  std::size_t waitingCalls() const;
  /// Calls that ended as `NoConnection`.
  std::uint64_t callsWithoutConnection() const;

private:
  struct Implementation;
  std::shared_ptr<Implementation> Impl;
};

} // namespace masticwinch
