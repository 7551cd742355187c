#include "masticwinch/workers/worker_client.hpp"

namespace masticwinch::workers {

namespace {

constexpr std::uint16_t Ok = 200;
constexpr std::uint16_t Conflict = 409;

WorkerCallResult endOf(const HttpCallResult &result) {
  WorkerCallResult end;
  if (result.Outcome != HttpOutcome::Answered) {
    return end;
  }
  if (result.Response.Status == Ok) {
    end.Answer = parseLeaseAnswer(result.Response.Body);
  } else if (result.Response.Status == Conflict) {
    end.Refused = refusedWithoutEffect(result.Response.Body);
  }
  return end;
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
                 done(endOf(result));
               });
}

} // namespace masticwinch::workers
