#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/placement/placer_types.hpp"
#include "masticwinch/http/http_client.hpp"
#include "masticwinch/workers/lease_codec.hpp"

#include <functional>
#include <optional>

namespace masticwinch::workers {

/// The result of a call to a worker; neither field is set if there was no
/// usable answer.
struct WorkerCallResult {
  /// Set if the worker executed the call.
  std::optional<placement::WorkerAnswer> Answer;
  /// Set if the worker refused the call and it certainly had no effect there.
  bool Refused = false;
};

using WorkerCallDone = std::function<void(const WorkerCallResult &)>;

/// Calls the agents of worker VMs over HTTP. Runs on the thread of the HTTP
/// client's event loop.
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
