#pragma once

#include "masticwinch/http/http_server.hpp"
#include "masticwinch/stand_in/announcer.hpp"
#include "masticwinch/stand_in/line_file.hpp"
#include "masticwinch/stand_in/runner_settings.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>

namespace masticwinch {

/// Counters of a stand-in runner since its start.
struct RunnerStats {
  std::uint64_t Executions = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Abandoned = 0;
  std::size_t MostExecuting = 0;
};

/// Test double for an upstream: simulates the execution of requests with
/// timers, records each execution and announces itself. An execution ends early
/// when its caller closes the connection. State is accessed only on the event
/// loop's thread.
class RunnerStandIn {
public:
  RunnerStandIn(asio::io_context &loop, RunnerSettings settings,
                const Clock &clock, EventLog &events);

  /// Starts the servers and the announcements. Throws `std::runtime_error`.
  void start();

  /// Sends the leave, waits until no requests run and the linger time has
  /// passed, and calls `done`.
  void stop(std::function<void()> done);

  std::uint16_t port() const { return Server.port(); }
  std::uint16_t operatorsPort() const { return Operators.port(); }

private:
  /// A request in progress.
  struct Execution {
    std::shared_ptr<HttpExchange> Exchange;
    Behavior EffectiveBehavior;
    std::shared_ptr<asio::steady_timer> Timer;
  };

  void receive(std::shared_ptr<HttpExchange> exchange);
  void execute(std::shared_ptr<HttpExchange> exchange);
  void refuse(HttpExchange &exchange, const Behavior &behavior);
  void record(const HttpRequest &request, const Behavior &behavior);
  void finish(std::uint64_t id);
  void abandon(std::uint64_t id);
  HttpResponse answer(const Execution &execution) const;
  void handleOperatorRequest(HttpExchange &exchange);
  HttpResponse stats() const;
  void exitWhenIdle();

  asio::io_context &Loop;
  const RunnerSettings Settings;
  const Clock &Time;
  EventLog &Events;
  LineFile Executions;
  Announcer Announcements;
  asio::steady_timer IdleTimer;
  RunnerStats Stats;
  std::uint64_t LastId = 0;
  std::map<std::uint64_t, Execution> Executing;
  SteadyTime LastRequest;
  std::function<void()> StopDone;
  HttpServer Server;
  HttpServer Operators;
};

} // namespace masticwinch
