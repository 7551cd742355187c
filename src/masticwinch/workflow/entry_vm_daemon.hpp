#pragma once

#include "masticwinch/events/event_log.hpp"
#include "masticwinch/http/http_client.hpp"
#include "masticwinch/http/http_server.hpp"
#include "masticwinch/metrics/metric_registry.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/programs/daemon_options.hpp"
#include "masticwinch/programs/exit_code.hpp"
#include "masticwinch/programs/incarnation.hpp"
#include "masticwinch/programs/stop_signals.hpp"
#include "masticwinch/workflow/advice_agent.hpp"
#include "masticwinch/workflow/control_loop.hpp"
#include "masticwinch/workflow/daemon_metrics.hpp"
#include "masticwinch/workflow/entry_gateway.hpp"
#include "masticwinch/workflow/held_bytes_report.hpp"
#include "masticwinch/workflow/idle_connections.hpp"
#include "masticwinch/workflow/metrics_endpoint.hpp"
#include "masticwinch/workflow/order_relay.hpp"
#include "masticwinch/workflow/runner_calls.hpp"
#include "masticwinch/workflow/settings_reload.hpp"
#include "masticwinch/workflow/workflow_settings.hpp"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <cstdlib>
#include <optional>

namespace masticwinch::workflow {

/// Daemon of an entry VM for workflows. It forwards callers' requests to the
/// leader, and relays orders and makes advice calls on its behalf. `Platform`
/// implements the interfaces to callers, runners and the advice service.
template <class Platform> class EntryVmDaemon {
public:
  using AdviceClient = typename Platform::AdviceClient;
  using RunnerClient = typename Platform::RunnerClient;

  explicit EntryVmDaemon(const EntryVmSettings &settings)
      : Settings(settings), Incarnation(programs::newIncarnation(Time)),
        Events({settings.Daemon.Process.Name, Incarnation,
                settings.Daemon.Process.EventsFile},
               Time),
        Mailbox(
            programs::mailboxOptions(settings.Daemon.Process, Incarnation),
            [this](protocol::Envelope envelope) {
              asio::post(Context,
                         [this, it = std::move(envelope)] { receive(it); });
            },
            Events),
        Gateway({programs::addressesOf(settings.Daemon.Seeds),
                 settings.Daemon.LinkKbps},
                Context, Mailbox, Events, Time),
        Calls(Context), IdleCalls(Context, Calls),
        Advice(Calls, settings.Daemon.AdviceAddress), Agent(Advice, Mailbox),
        Runners(Calls), Relay(Runners, Context, Mailbox), Api(*this),
        Server(programs::serverOptions(settings.Callers),
               [this](std::shared_ptr<HttpExchange> it) {
                 asio::post(Context, [this, it] { handle(it); });
               }),
        ReadinessServer(programs::probeServerOptions(settings.Readiness),
                        [this](std::shared_ptr<HttpExchange> it) {
                          asio::post(Context,
                                     [this, it] { Api.handleReadiness(it); });
                        }),
        MetricsServer(settings.Daemon.Metrics, Context, Metrics),
        HeldReport(Context, Events), StopTimer(Context),
        Reload(Context, Events),
        Signals(
            Context, [this] { stop(); }, [] { std::_Exit(StoppedAtOnce); }) {
    registerMetrics();
    HeldReport.add("callers", Server);
    HeldReport.add("readiness", ReadinessServer);
    HeldReport.add("metrics", MetricsServer.server());
  }

  ExitCode run() {
    return runControlLoop(Context, Events, CurrentActivity,
                          [this] { start(); });
  }

  // Used by the platform's interface to callers, on the control thread.
  EntryGateway &gateway() { return Gateway; }
  bool isReady() const { return !Stopping && Gateway.isConnected(); }
  EventLog &events() { return Events; }
  MetricRegistry &metrics() { return Metrics; }
  const Clock &clock() const { return Time; }

  /// Counts a caller's request as begun or ended; a stop waits until all begun
  /// requests have ended.
  void requestBegan() { ++OpenRequests; }
  void requestEnded() { --OpenRequests; }

  /// Called before each answer to a caller. While this VM isn't ready, the
  /// answer closes its connection, since a caller that keeps it would reach no
  /// other VM.
  void prepareAnswer() { Server.closeConnectionsAfterAnswers(!isReady()); }

private:
  /// Exit status after a second stop signal.
  static constexpr int StoppedAtOnce = 143;
  /// Time after which the balancer has noticed the failing health check and
  /// sends no new connections: two checks, one second apart, and their
  /// timeouts.
  static constexpr Milliseconds BalancerDrainTime{3000};
  /// Interval at which the number of open requests is checked during a stop.
  static constexpr Milliseconds StopPollInterval{100};
  /// Limit of the time for open requests to end after `BalancerDrainTime`.
  static constexpr Milliseconds MaxRequestDrainTime{2200};

  void start() {
    Mailbox.start();
    Gateway.start();
    IdleCalls.start();
    Server.start();
    ReadinessServer.start();
    MetricsServer.start();
    HeldReport.start();
    Reload.start();
    Events.writeNamed("entry_started",
                      {{"address", Settings.Daemon.Process.InternalAddress}});
  }

  void registerMetrics() {
    registerDaemonMetrics(Metrics, Mailbox, Events);
    registerConnectionMetrics(Metrics, Server);
    registerClientMetrics(Metrics, Calls);
    Metrics.observedGauge(
        {"masticwinch_entry_ready", "1 while the health check passes."},
        [this] { return isReady() ? 1.0 : 0.0; });
    Metrics.observedGauge(
        {"masticwinch_entry_requests_open", "Requests without an answer yet."},
        [this] { return double(OpenRequests); });
    Metrics.observedGauge({"masticwinch_entry_calls_waiting",
                           "Calls that wait for the leader's answer."},
                          [this] { return double(Gateway.waitingCalls()); });
    Metrics.observedGauge(
        {"masticwinch_entry_calls_waiting_bytes",
         "Size of the calls that wait for the leader's answer."},
        [this] { return double(Gateway.waitingBytes()); });
    Metrics.observedGauge(
        {"masticwinch_entry_leader_delay_seconds",
         "How long the leader takes to answer; 0 if none is known."},
        [this] {
          return std::chrono::duration<double>(Gateway.leaderDelay()).count();
        });
    for (const EnumName<OfferOutcome> &it : EnumNames<OfferOutcome>::Table) {
      Metrics.observedCounter(
          {"masticwinch_entry_offers_total",
           "Submissions offered without their payload, by the leader's answer.",
           {{"outcome", std::string(it.Name)}}},
          [this, outcome = it.Value] {
            return double(Gateway.answeredOffers(outcome));
          });
    }
    Metrics.observedGauge(
        {"masticwinch_entry_configuration_version",
         "Newest version of the configuration that a leader has stated."},
        [this] { return double(Gateway.terms().version()); });
  }

  void handle(const std::shared_ptr<HttpExchange> &exchange) {
    CurrentActivity.begin("caller_request", exchange->request().Path);
    Api.handle(exchange);
  }

  void receive(const protocol::Envelope &envelope) {
    CurrentActivity.begin("message", envelope.sender());
    Gateway.receive(envelope);
    applyTimeouts();
    Agent.receive(envelope);
    Relay.receive(envelope);
  }

  /// Applies the timeouts of the newest known configuration to the callers'
  /// connections; those applied last stay while it isn't known.
  void applyTimeouts() {
    const std::optional<CallerTimeouts> timeouts =
        Gateway.terms().callerTimeouts();
    if (timeouts && timeouts != AppliedTimeouts) {
      AppliedTimeouts = timeouts;
      HttpTimeouts applied;
      applied.Header = timeouts->Header;
      applied.Idle = timeouts->Idle;
      Server.setTimeouts(applied);
    }
  }

  void stop() {
    Events.writeNamed("entry_stopping", {{"open", OpenRequests}});
    Stopping = true;
    Server.closeConnectionsAfterAnswers();
    StopDeadline = Time.now() + BalancerDrainTime + MaxRequestDrainTime;
    StopTimer.expires_after(BalancerDrainTime);
    awaitOpenRequests();
  }

  void awaitOpenRequests() {
    StopTimer.async_wait([this](const std::error_code &) {
      if (OpenRequests > 0 && Time.now() < StopDeadline) {
        StopTimer.expires_after(StopPollInterval);
        awaitOpenRequests();
        return;
      }
      finishStop();
    });
  }

  void finishStop() {
    Server.stop();
    ReadinessServer.stop();
    MetricsServer.stop();
    Mailbox.stop();
    Events.writeNamed("entry_stopped", {{"open", OpenRequests}});
    Context.stop();
  }

  const EntryVmSettings Settings;
  OperatingSystemClock Time;
  std::uint64_t Incarnation;
  EventLog Events;
  MetricRegistry Metrics;
  Activity CurrentActivity;
  asio::io_context Context{1};
  peers::Mailbox Mailbox;
  EntryGateway Gateway;
  HttpClient Calls;
  IdleConnections IdleCalls;
  AdviceClient Advice;
  AdviceAgent<AdviceClient> Agent;
  RunnerClient Runners;
  OrderRelay<RunnerClient> Relay;
  typename Platform::template CallersApi<EntryVmDaemon> Api;
  HttpServer Server;
  std::optional<CallerTimeouts> AppliedTimeouts;
  HttpServer ReadinessServer;
  MetricsEndpoint MetricsServer;
  HeldBytesReport HeldReport;
  asio::steady_timer StopTimer;
  SettingsReload Reload;
  bool Stopping = false;
  SteadyTime StopDeadline{};
  std::int64_t OpenRequests = 0;
  StopSignals Signals;
};

} // namespace masticwinch::workflow
