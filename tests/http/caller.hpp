#pragma once

#include "masticwinch/http/http_client.hpp"

#include <asio/io_context.hpp>

#include <optional>

namespace masticwinch::testing {

/// An HTTP client whose event loop runs on the test's thread.
struct Caller {
  asio::io_context Loop;
  HttpClient Client{Loop};

  /// Makes a call and runs the event loop until it completes.
  HttpCallResult call(HttpCall call) {
    std::optional<HttpCallResult> result;
    Client.start(std::move(call),
                 [&](HttpCallResult it) { result = std::move(it); });
    runUntil([&] { return result.has_value(); });
    return std::move(*result);
  }

  template <class Condition> void runUntil(Condition condition) {
    Loop.restart();
    while (!condition()) {
      Loop.run_one();
    }
  }
};

inline HttpCall getCall(std::string url) {
  HttpCall call;
  call.Url = std::move(url);
  call.Timeout = Milliseconds(20000);
  return call;
}

} // namespace masticwinch::testing
