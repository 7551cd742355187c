#include "masticwinch/load/load_generator.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>

namespace masticwinch {

namespace {

/// State of a request from its intended send time to its final outcome.
struct RunningRequest {
  std::size_t Stream = 0;
  /// Seconds from the start of the run.
  double IntendedAt = 0;
  std::string Key;
  std::string Body;
  std::uint32_t ResendsLeft = 0;
};

SteadyTime::duration toDuration(double seconds) {
  return std::chrono::duration_cast<SteadyTime::duration>(
      std::chrono::duration<double>(seconds));
}

} // namespace

struct LoadGenerator::Implementation {
  Implementation(asio::io_context &context, const Clock &clock, LoadPlan plan,
                 std::vector<std::string> targets)
      : Context(context), TimeSource(clock), Plan(std::move(plan)),
        Client(context) {
    Result.Plan = Plan.Name;
    Result.Seed = Plan.Seed;
    Result.Targets = std::move(targets);
    Result.Seconds = Plan.seconds();
    for (std::size_t i = 0; i < Plan.Streams.size(); ++i) {
      const LoadStream &stream = Plan.Streams[i];
      Schedules.emplace_back(stream.Phases, Plan.Seed + i);
      Timers.push_back(std::make_unique<asio::steady_timer>(context));
      Result.Streams.push_back(std::make_unique<LoadStreamResult>(stream.Name));
    }
  }

  double elapsed() const {
    return std::chrono::duration<double>(TimeSource.now() - StartTime).count();
  }

  /// Starts the timer for the next arrival of a stream.
  void schedule(std::size_t stream) {
    const std::optional<double> at = Schedules[stream].next();
    if (!at) {
      return;
    }
    Timers[stream]->expires_after(StartTime + toDuration(*at) -
                                  TimeSource.now());
    Timers[stream]->async_wait([this, stream, at](const std::error_code &ec) {
      if (!ec) {
        arrive(stream, *at);
        schedule(stream);
      }
    });
  }

  void arrive(std::size_t stream, double intendedAt) {
    const LoadStream &settings = Plan.Streams[stream];
    auto request = std::make_shared<RunningRequest>();
    request->Stream = stream;
    request->IntendedAt = intendedAt;
    request->Body = makeLoadBody(settings, Plan.Seed, ++LastNumber);
    request->Key = fmt::format("{}-{}-{}", settings.Name, RunId, LastNumber);
    request->ResendsLeft = settings.Resends;
    Result.Streams[stream]->recordSent(intendedAt, elapsed() - intendedAt);
    attempt(request);
  }

  void attempt(const std::shared_ptr<RunningRequest> &request) {
    const std::string &target = Result.Targets[NextTarget];
    NextTarget = (NextTarget + 1) % Result.Targets.size();
    const LoadStream &stream = Plan.Streams[request->Stream];
    Client.start(makeLoadCall(stream, target, request->Key, request->Body),
                 [this, request](const HttpCallResult &result) {
                   finish(request, result);
                 });
  }

  void finish(const std::shared_ptr<RunningRequest> &request,
              const HttpCallResult &result) {
    const LoadStream &stream = Plan.Streams[request->Stream];
    const LoadOutcome outcome = classifyLoadCall(stream, request->Body, result);
    LoadStreamResult &total = *Result.Streams[request->Stream];
    if (request->ResendsLeft > 0 && mayResend(stream, outcome)) {
      --request->ResendsLeft;
      total.recordResend();
      scheduleResend(request);
      return;
    }
    total.recordEnd(request->IntendedAt, outcome,
                    elapsed() - request->IntendedAt);
  }

  void scheduleResend(const std::shared_ptr<RunningRequest> &request) {
    auto timer = std::make_shared<asio::steady_timer>(
        Context, Plan.Streams[request->Stream].ResendAfter);
    timer->async_wait([this, request, timer](const std::error_code &ec) {
      if (!ec) {
        attempt(request);
      }
    });
  }

  asio::io_context &Context;
  const Clock &TimeSource;
  LoadPlan Plan;
  HttpClient Client;
  LoadResult Result;
  std::vector<Arrivals> Schedules;
  std::vector<std::unique_ptr<asio::steady_timer>> Timers;
  SteadyTime StartTime;
  /// Makes the idempotency keys differ from those of earlier runs.
  std::int64_t RunId = 0;
  std::uint64_t LastNumber = 0;
  std::size_t NextTarget = 0;
};

LoadGenerator::LoadGenerator(asio::io_context &context, const Clock &clock,
                             LoadPlan plan, std::vector<std::string> targets)
    : Impl(std::make_unique<Implementation>(context, clock, std::move(plan),
                                            std::move(targets))) {}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::start() {
  Impl->StartTime = Impl->TimeSource.now();
  Impl->RunId = Impl->TimeSource.systemNow().time_since_epoch().count();
  for (std::size_t i = 0; i < Impl->Schedules.size(); ++i) {
    Impl->schedule(i);
  }
}

LoadResult LoadGenerator::takeResult() { return std::move(Impl->Result); }

} // namespace masticwinch
