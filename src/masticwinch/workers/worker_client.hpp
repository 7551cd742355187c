#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/placement/placer_types.hpp"
#include "masticwinch/http/http_client.hpp"
#include "masticwinch/workers/lease_codec.hpp"

#include <functional>
#include <optional>

namespace masticwinch::workers {

/// How a call to a worker ended.
struct WorkerCallResult {
  /// Set if the worker carried the call out.
  std::optional<placement::WorkerAnswer> Answer;
  /// The worker refused, and the call surely changed nothing there.
  bool Refused = false;
};

using WorkerCallDone = std::function<void(const WorkerCallResult &)>;

/// Calls the agents of worker VMs over HTTP. Runs on the thread of the client's
/// event loop.
class WorkerClient {
public:
  WorkerClient(HttpClient &client, Milliseconds timeout)
      : Client(client), Timeout(timeout) {}

  /// Starts a call; `done` is called exactly once.
  void call(const placement::WorkerCall &call,
            const TaskContentLookup &contentOf, WorkerCallDone done);

private:
  HttpClient &Client;
  Milliseconds Timeout;
};

} // namespace masticwinch::workers
