#pragma once

#include "masticwinch/control/replicated_log.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/http/http_client.hpp"
#include "masticwinch/http/http_server.hpp"
#include "masticwinch/metrics/metric_registry.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/programs/daemon_options.hpp"
#include "masticwinch/programs/exit_code.hpp"
#include "masticwinch/programs/incarnation.hpp"
#include "masticwinch/programs/stop_signals.hpp"
#include "masticwinch/workflow/accounts_page.hpp"
#include "masticwinch/workflow/advice_agent.hpp"
#include "masticwinch/workflow/control_loop.hpp"
#include "masticwinch/workflow/daemon_metrics.hpp"
#include "masticwinch/workflow/held_bytes_report.hpp"
#include "masticwinch/workflow/idle_connections.hpp"
#include "masticwinch/workflow/metrics_endpoint.hpp"
#include "masticwinch/workflow/order_relay.hpp"
#include "masticwinch/workflow/relayed_calls.hpp"
#include "masticwinch/workflow/settings_reload.hpp"
#include "masticwinch/workflow/workflow_driver.hpp"
#include "masticwinch/workflow/workflow_settings.hpp"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <cstdlib>

namespace masticwinch::workflow {

/// Options of the replicated log of a control VM whose cell is found through
/// seeds.
control::ReplicatedLogOptions logOptionsOf(const ControlVmSettings &settings);

/// Leader options, with the runners' lease limited by the settings.
WorkflowLeaderOptions leaderOptionsOf(const ControlVmSettings &settings);

/// Options of the server for runners and operators. Configurations may be
/// longer than other requests.
HttpServerOptions controlServerOptions(const ControlVmSettings &settings);

/// Daemon of a control VM for workflows. `Platform` implements the interfaces
/// to runners, operators and the advice service.
template <class Platform> class ControlVmDaemon {
public:
  using RunnerClient = typename Platform::RunnerClient;
  using AdviceClient = typename Platform::AdviceClient;
  using Orders = RelayedCalls<RunnerClient>;
  using Driver = WorkflowDriver<control::ReplicatedLog, peers::Mailbox, Orders>;

  explicit ControlVmDaemon(const ControlVmSettings &settings)
      : Settings(settings), Incarnation(programs::newIncarnation(Time)),
        Events({settings.Daemon.Process.Name, Incarnation,
                settings.Daemon.Process.EventsFile},
               Time),
        Mailbox(
            programs::mailboxOptions(settings.Daemon.Process, Incarnation),
            [this](protocol::Envelope envelope) {
              asio::post(Context,
                         [this, it = std::move(envelope), since = Time.now()] {
                           Workflows.messageDelayed(Time.now() - since);
                           receive(it);
                         });
            },
            Events),
        Log(logOptionsOf(settings), Context, Mailbox, Events, Time, handlers()),
        Calls(Context), IdleCalls(Context, Calls), Runners(Calls),
        RunnerOrders(Runners, Context, Mailbox, Time),
        Relay(Runners, Context, Mailbox),
        Advice(Calls, settings.Daemon.AdviceAddress), Agent(Advice, Mailbox),
        Workflows(Context, Log, Mailbox, RunnerOrders, Time, Events, Metrics,
                  leaderOptionsOf(settings)),
        Api(*this), Server(controlServerOptions(settings),
                           [this](std::shared_ptr<HttpExchange> it) {
                             asio::post(Context, [this, it] { handle(it); });
                           }),
        MetricsServer(settings.Daemon.Metrics, Context, Metrics,
                      [this] { return accounts(); }),
        HeldReport(Context, Events), Ticker(Context), StopTimer(Context),
        Reload(Context, Events),
        Signals(
            Context, [this] { stop(); }, [] { std::_Exit(StoppedAtOnce); }) {
    registerMetrics();
    HeldReport.add("control", Server);
    HeldReport.add("metrics", MetricsServer.server());
  }

  ExitCode run() {
    return runControlLoop(Context, Events, CurrentActivity,
                          [this] { start(); });
  }

  // Used by the platform's interface to runners and operators, on the control
  // thread.
  bool leads() const { return Workflows.leads(); }
  std::string leaderName() const { return Log.leaderName(); }
  std::uint64_t term() const { return Log.term(); }
  /// Why changes can't be stored at this moment; empty if they can.
  const std::string &refusal() const { return Log.refusal(); }
  const std::string &name() const { return Settings.Daemon.Process.Name; }
  const protocol::CellConfig &config() const {
    return Workflows.state().config();
  }
  EventLog &events() { return Events; }
  void heartbeat(const protocol::RunnerInfo &info, std::uint64_t sequence,
                 std::int64_t clockMs, StoredCallback stored) {
    Workflows.heartbeat(info, sequence, clockMs, std::move(stored));
  }
  void deregister(const RunnerLife &life, StoredCallback stored) {
    Workflows.deregister(life, std::move(stored));
  }
  void configure(const protocol::CellConfig &config, StoredCallback stored) {
    Workflows.configure(config, std::move(stored));
  }

private:
  /// Exit status after a second stop signal.
  static constexpr int StoppedAtOnce = 143;
  /// Interval at which the leader handles leases, resends and placement.
  static constexpr Milliseconds LeaderTickInterval{10};
  static constexpr Milliseconds FollowerTickInterval{100};
  /// Interval between hellos that offer the leader to make advice calls and to
  /// relay start orders.
  static constexpr Milliseconds AgentHelloInterval{350};
  /// Time for responses to be sent after leadership was transferred.
  static constexpr Milliseconds ResponseFlushTime{200};

  void start() {
    Mailbox.start();
    Server.start();
    MetricsServer.start();
    Log.start();
    scheduleTick();
    IdleCalls.start();
    HeldReport.start();
    Reload.start();
    Events.writeNamed("control_started",
                      {{"address", Settings.Daemon.Process.InternalAddress},
                       {"first_start", Settings.FirstStart ? "yes" : "no"}});
  }

  control::ReplicatedLogHandlers handlers() {
    control::ReplicatedLogHandlers callbacks;
    callbacks.Applied = [this](control::LogPosition position,
                               const std::string &record) {
      CurrentActivity.begin("record", std::to_string(position.Index));
      Workflows.applied(position, record);
    };
    callbacks.Restored = [this](const std::string &state) {
      CurrentActivity.begin("snapshot");
      Workflows.restore(state);
    };
    callbacks.Snapshot = [this] { return Workflows.snapshot(); };
    callbacks.LeaderStarted = [this] {
      CurrentActivity.begin("leadership");
      Workflows.becomeLeader();
    };
    return callbacks;
  }

  void registerMetrics() {
    registerDaemonMetrics(Metrics, Mailbox, Events);
    registerConnectionMetrics(Metrics, Server);
    registerClientMetrics(Metrics, Calls);
    Metrics.observedGauge(
        {"masticwinch_leader", "1 while this control VM leads the cell."},
        [this] { return leads() ? 1.0 : 0.0; });
    Metrics.observedGauge({"masticwinch_configuration_version",
                           "Version of the configuration that is stored here."},
                          [this] { return double(config().version()); });
    Metrics.observedGauge(
        {"masticwinch_workflows", "Workflows in the replicated state."},
        [this] { return double(Workflows.state().workflows().size()); });
    Metrics.observedGauge(
        {"masticwinch_steps_open",
         "Steps that are ready and not done; 0 on VMs that don't lead."},
        [this] {
          return leads() ? double(Workflows.leader()->openStepCount()) : 0.0;
        });
  }

  HttpResponse accounts() const {
    const auto loads = Workflows.accountLoads();
    return loads ? accountsPage(name(), *loads)
                 : accountsNotLeading(leaderName());
  }

  void handle(const std::shared_ptr<HttpExchange> &exchange) {
    CurrentActivity.begin("control_request", exchange->request().Path);
    Api.handle(exchange);
  }

  void receive(const protocol::Envelope &envelope) {
    CurrentActivity.begin("message", envelope.sender());
    Log.receive(envelope);
    Workflows.receive(envelope);
    Agent.receive(envelope);
    RunnerOrders.receive(envelope);
    if (envelope.has_agent_hello()) {
      // Other control VMs make advice calls and relay start orders at most, so
      // that they are free to lead.
      const protocol::AgentHello &hello = envelope.agent_hello();
      RunnerOrders.relaySeen(envelope.reply_address(),
                             hello.carries_orders() ? RelayRole::EntryVm
                                                    : RelayRole::ControlVm,
                             hello.link_kbps());
    }
    Relay.receive(envelope);
  }

  void scheduleTick() {
    Ticker.expires_after(leads() ? LeaderTickInterval : FollowerTickInterval);
    Ticker.async_wait([this](const std::error_code &ec) {
      if (!ec) {
        tick();
        scheduleTick();
      }
    });
  }

  void tick() {
    CurrentActivity.begin("tick");
    if (leads()) {
      Led = true;
      RunnerOrders.setRunnerCount(Workflows.state().runners().size());
      Workflows.tick();
      return;
    }
    if (Led) {
      // The next leader needs the runners' connections.
      Led = false;
      IdleCalls.closeAll();
    }
    if (const std::string leader = Log.leaderAddress();
        !leader.empty() && Time.now() >= NextAgentHello) {
      NextAgentHello = Time.now() + AgentHelloInterval;
      Agent.sendHello(leader, Settings.Daemon.LinkKbps);
    }
  }

  void stop() {
    Events.writeNamed("control_stopping");
    Log.transferLeadership([this] {
      Server.closeConnectionsAfterAnswers();
      StopTimer.expires_after(ResponseFlushTime);
      StopTimer.async_wait([this](const std::error_code &) { finishStop(); });
    });
  }

  void finishStop() {
    Server.stop();
    MetricsServer.stop();
    Mailbox.stop();
    Events.writeNamed("control_stopped");
    Context.stop();
  }

  const ControlVmSettings Settings;
  OperatingSystemClock Time;
  std::uint64_t Incarnation;
  EventLog Events;
  MetricRegistry Metrics;
  Activity CurrentActivity;
  asio::io_context Context{1};
  peers::Mailbox Mailbox;
  control::ReplicatedLog Log;
  HttpClient Calls;
  IdleConnections IdleCalls;
  RunnerClient Runners;
  Orders RunnerOrders;
  OrderRelay<RunnerClient> Relay;
  AdviceClient Advice;
  AdviceAgent<AdviceClient> Agent;
  Driver Workflows;
  typename Platform::template ControlApi<ControlVmDaemon> Api;
  HttpServer Server;
  MetricsEndpoint MetricsServer;
  HeldBytesReport HeldReport;
  asio::steady_timer Ticker;
  SteadyTime NextAgentHello{};
  /// Whether this VM led at the latest tick.
  bool Led = false;
  asio::steady_timer StopTimer;
  SettingsReload Reload;
  StopSignals Signals;
};

} // namespace masticwinch::workflow
