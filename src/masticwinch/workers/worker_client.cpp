#include "masticwinch/workers/worker_client.hpp"

namespace masticwinch::workers {

namespace {

constexpr std::uint16_t Ok = 200;
constexpr std::uint16_t Conflict = 409;

WorkerCallResult resultOf(const HttpCallResult &result) {
  WorkerCallResult callResult;
  if (result.Outcome != HttpOutcome::Answered) {
    return callResult;
  }
  if (result.Response.Status == Ok) {
    callResult.Answer = parseLeaseAnswer(result.Response.Body);
  } else if (result.Response.Status == Conflict) {
    callResult.Refused = refusedWithoutEffect(result.Response.Body);
  }
  return callResult;
}

} // namespace

void WorkerClient::call(const placement::WorkerCall &call,
                        const TaskContentLookup &contentOf,
                        WorkerCallDone done) {
  HttpCall request;
  request.Method = "PUT";
  request.Url = "http://" + call.Address + "/v1/lease";
  request.Headers = {{"Content-Type", "application/json"}};
  request.Body = leaseBody(call, contentOf);
  request.Timeout = Timeout;
  request.ConnectTimeout = Timeout;
  Client.start(std::move(request),
               [done = std::move(done)](const HttpCallResult &result) {
                 done(resultOf(result));
               });
}

} // namespace masticwinch::workers
