#include "masticwinch/upstreams/traffic_pool.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <thread>
#include <unordered_map>

namespace masticwinch::upstreams {

/// A thread with its event loop and HTTP client. Only the thread itself
/// accesses `Running`.
struct TrafficPool::ClientThread {
  ClientThread()
      : Context(1), Guard(asio::make_work_guard(Context)), Client(Context),
        Thread([this] { Context.run(); }) {}

  ~ClientThread() {
    Context.stop();
    Thread.join();
  }

  asio::io_context Context;
  asio::executor_work_guard<asio::io_context::executor_type> Guard;
  HttpClient Client;
  std::unordered_map<TrafficCallId, HttpCallId> Running;
  std::thread Thread;
};

TrafficPool::TrafficPool(asio::io_context &control, const Clock &clock,
                         std::size_t threads)
    : Control(control), Time(clock) {
  for (std::size_t n = 0; n < std::max<std::size_t>(threads, 1); ++n) {
    Threads.push_back(std::make_unique<ClientThread>());
  }
}

TrafficPool::~TrafficPool() = default;

TrafficPool::ClientThread &TrafficPool::threadOf(TrafficCallId id) {
  return *Threads[id % Threads.size()];
}

void TrafficPool::start(TrafficCallId id, HttpCall call, SteadyTime startBefore,
                        HttpCallDone done) {
  ClientThread &thread = threadOf(id);
  const SteadyTime endBefore = Time.now() + call.Timeout;
  const auto ended = [this, &thread, id,
                      done = std::move(done)](HttpCallResult result) {
    thread.Running.erase(id);
    asio::post(Control, [done, result = std::move(result)]() mutable {
      done(std::move(result));
    });
  };
  asio::post(thread.Context, [this, &thread, id, startBefore, endBefore, ended,
                              call = std::move(call)]() mutable {
    const SteadyTime now = Time.now();
    if (now >= std::min(startBefore, endBefore)) {
      ended({HttpOutcome::NotSent, {}, false, "the call started too late"});
      return;
    }
    call.Timeout = std::chrono::ceil<Milliseconds>(endBefore - now);
    thread.Running[id] = thread.Client.start(std::move(call), ended);
  });
}

void TrafficPool::cancel(TrafficCallId id) {
  ClientThread &thread = threadOf(id);
  asio::post(thread.Context, [&thread, id] {
    const auto found = thread.Running.find(id);
    if (found != thread.Running.end()) {
      thread.Client.cancel(found->second);
    }
  });
}

void TrafficPool::stop() { Threads.clear(); }

} // namespace masticwinch::upstreams
