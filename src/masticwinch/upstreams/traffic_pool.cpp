#include "masticwinch/upstreams/traffic_pool.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <thread>
#include <unordered_map>

namespace masticwinch::upstreams {

/// One thread with its loop and client. `Running` belongs to the thread.
struct TrafficPool::Worker {
  Worker()
      : Context(1), Guard(asio::make_work_guard(Context)), Client(Context),
        Thread([this] { Context.run(); }) {}

  ~Worker() {
    Context.stop();
    Thread.join();
  }

  asio::io_context Context;
  asio::executor_work_guard<asio::io_context::executor_type> Guard;
  HttpClient Client;
  std::unordered_map<TrafficCallId, HttpCallId> Running;
  std::thread Thread;
};

TrafficPool::TrafficPool(asio::io_context &control, std::size_t threads)
    : Control(control) {
  for (std::size_t n = 0; n < std::max<std::size_t>(threads, 1); ++n) {
    Workers.push_back(std::make_unique<Worker>());
  }
}

TrafficPool::~TrafficPool() = default;

TrafficPool::Worker &TrafficPool::workerOf(TrafficCallId id) {
  return *Workers[id % Workers.size()];
}

void TrafficPool::start(TrafficCallId id, HttpCall call, HttpCallDone done) {
  Worker &worker = workerOf(id);
  const auto ended = [this, &worker, id,
                      done = std::move(done)](HttpCallResult result) {
    worker.Running.erase(id);
    asio::post(Control, [done, result = std::move(result)]() mutable {
      done(std::move(result));
    });
  };
  asio::post(worker.Context,
             [&worker, id, ended, call = std::move(call)]() mutable {
               worker.Running[id] = worker.Client.start(std::move(call), ended);
             });
}

void TrafficPool::cancel(TrafficCallId id) {
  Worker &worker = workerOf(id);
  asio::post(worker.Context, [&worker, id] {
    const auto found = worker.Running.find(id);
    if (found != worker.Running.end()) {
      worker.Client.cancel(found->second);
    }
  });
}

void TrafficPool::stop() { Workers.clear(); }

} // namespace masticwinch::upstreams
