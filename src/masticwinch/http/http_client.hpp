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

/// One request to another process.
struct HttpCall {
  std::string Method = "GET";
  std::string Url;
  HttpHeaders Headers;
  std::string Body;
  /// Limit for the whole call.
  Milliseconds Timeout{1000};
  Milliseconds ConnectTimeout{1000};
  /// A longer answer fails the call.
  std::size_t MaxAnswerBytes = 1024 * 1024;
  /// Opens a connection for this call alone and closes it afterwards. libcurl
  /// sends a request a second time when a reused connection closes before the
  /// first answer byte, so every request that must not run twice needs this.
  bool FreshConnection = false;
};

/// How a call ended.
enum class HttpOutcome : std::uint8_t {
  /// A whole answer was received.
  Answered,
  /// No byte of the request left: the connection was refused or timed out.
  NotSent,
  TimedOut,
  /// The connection closed, or the answer was truncated, malformed or didn't
  /// state its length.
  Broken,
  /// The answer was longer than allowed.
  TooLong,
  Cancelled,
};

template <> struct EnumNames<HttpOutcome> {
  static constexpr std::array<EnumName<HttpOutcome>, 6> Table{{
      {HttpOutcome::Answered, "answered"},
      {HttpOutcome::NotSent, "not_sent"},
      {HttpOutcome::TimedOut, "timed_out"},
      {HttpOutcome::Broken, "broken"},
      {HttpOutcome::TooLong, "too_long"},
      {HttpOutcome::Cancelled, "cancelled"},
  }};
};

struct HttpCallResult {
  HttpOutcome Outcome = HttpOutcome::Broken;
  /// Whole only if `Outcome` is `Answered`.
  HttpResponse Response;
  /// False only if it is certain that no byte of the request left, also for a
  /// call that was cancelled.
  bool MayHaveBeenSent = true;
  /// Explanation of a failure, for events.
  std::string Detail;
};

/// Identifies a running call.
using HttpCallId = std::uint64_t;

using HttpCallDone = std::function<void(HttpCallResult)>;

/// HTTP/1.1 client on an Asio event loop. All functions and callbacks run on
/// the thread of that loop. A call that fails, times out or is cancelled closes
/// its connection; only connections whose answer was read whole are reused.
/// Knows no proxy, redirect, cookie or compression. Destroying the client drops
/// the calls that still run without calling their `done`.
class HttpClient {
public:
  explicit HttpClient(asio::io_context &context);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a call. `done` is called exactly once, never from inside `start`.
  HttpCallId start(HttpCall call, HttpCallDone done);

  /// Ends a call; its `done` is called with `Cancelled`, and its connection is
  /// closed. Does nothing for a call that has ended.
  void cancel(HttpCallId id);

private:
  struct Implementation;
  std::shared_ptr<Implementation> Impl;
};

} // namespace masticwinch
