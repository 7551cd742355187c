#pragma once

#include "masticwinch/http/http_server.hpp"
#include "masticwinch/stand_in/announcer.hpp"
#include "masticwinch/stand_in/line_file.hpp"
#include "masticwinch/stand_in/worker_settings.hpp"
#include "masticwinch/stand_in/worker_tasks.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>

namespace masticwinch {

/// Test double for the platform's agent on a worker VM: simulates tasks with
/// timers, under leases, and records every start and stop. State is accessed
/// only on the event loop's thread.
class WorkerStandIn {
public:
  WorkerStandIn(asio::io_context &loop, WorkerSettings settings,
                const Clock &clock, EventLog &events);

  /// Starts the servers and the announcements. Throws `std::runtime_error`.
  void start();

  /// Stops the announcements and all tasks, and calls `done`.
  void stop(const std::function<void()> &done);

private:
  void receive(HttpExchange &exchange);
  HttpResponse renewLease(const HttpRequest &request);
  HttpResponse applyLease(const LeaseRequest &lease);
  void handleOperatorRequest(HttpExchange &exchange);
  HttpResponse stats() const;
  void advance();
  void schedule();
  void writeRecords();

  asio::io_context &Loop;
  const WorkerSettings Settings;
  const Clock &Time;
  EventLog &Events;
  LineFile TaskLines;
  Announcer Announcements;
  WorkerTasks Tasks;
  asio::steady_timer Timer;
  HttpServer Server;
  HttpServer Operators;
};

} // namespace masticwinch
