#include "masticwinch/control/control_daemon.hpp"

#include "masticwinch/control/replicated_log.hpp"
#include "masticwinch/http/http_client.hpp"
#include "masticwinch/http/http_server.hpp"
#include "masticwinch/metrics/metric_registry.hpp"
#include "masticwinch/metrics/process_metrics.hpp"
#include "masticwinch/operators/operators_api.hpp"
#include "masticwinch/peers/cell_client.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/peers/mailbox_metrics.hpp"
#include "masticwinch/programs/daemon_options.hpp"
#include "masticwinch/programs/incarnation.hpp"
#include "masticwinch/programs/stop_signals.hpp"
#include "masticwinch/workers/placement_driver.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <cstdlib>
#include <stdexcept>

namespace masticwinch::control {

namespace {

/// Exit status after a second stop signal.
constexpr int StoppedAtOnce = 143;

constexpr Milliseconds TickInterval{500};

/// Maximum interval between two placement steps.
constexpr Milliseconds PlacementInterval{50};

/// Delay between a placement request and the next step, so that several
/// requests share one step.
constexpr Milliseconds PlacementDelay{2};

} // namespace

namespace {

ReplicatedLogOptions logOptions(const ControlSettings &settings) {
  ReplicatedLogOptions options;
  options.Storage.Folder = settings.DataFolder;
  options.Storage.Cluster = settings.Process.Cluster;
  options.Replica = settings.Replica;
  options.SnapshotEntries = settings.SnapshotEntries;
  options.Self.Name = settings.Process.Name;
  options.Self.Address = settings.Process.AnnouncedAddress;
  options.Self.DataCenter = settings.Process.DataCenter;
  for (const programs::PeerSettings &it : settings.Members) {
    options.InitialMembers.push_back({{}, it.Name, it.Address, "", false});
  }
  return options;
}

} // namespace

struct ControlDaemon::Implementation {
  using Service = CellService<ReplicatedLog, peers::Mailbox>;
  using Placement =
      workers::PlacementDriver<ReplicatedLog, workers::WorkerClient>;

  explicit Implementation(const ControlSettings &settings)
      : Settings(settings), Incarnation(programs::newIncarnation(Time)),
        Events(
            {settings.Process.Name, Incarnation, settings.Process.EventsFile},
            Time),
        Mailbox(
            programs::mailboxOptions(settings.Process, Incarnation),
            [this](protocol::Envelope envelope) {
              asio::post(Context,
                         [this, it = std::move(envelope)] { receive(it); });
            },
            Events),
        Client(Context, Mailbox, {programs::addressesOf(settings.Members)}),
        Log(logOptions(settings), Context, Mailbox, Events, Time, handlers()),
        State(Log, Mailbox, Time, Events, settings.Service),
        WorkerCalls(Context),
        Workers(WorkerCalls, settings.Placement.Lease.CallTimeout),
        Placer(Log, Workers, State.state(), Time, Events, settings.Placement),
        Api(Context, Client,
            {[this] { return !Log.leaderAddress().empty(); },
             [this] { return Metrics.text(); }}),
        Server(programs::serverOptions(settings.Operators),
               [this](std::shared_ptr<HttpExchange> it) { Api.handle(it); }),
        Ticker(Context), PlacementTicker(Context),
        Signals(
            Context, [this] { stop(); }, [] { std::_Exit(StoppedAtOnce); }) {
    registerMetrics();
    Placer.onWorkAvailable([this] { requestPlacement(); });
    State.setHooks(
        {[this](LogPosition position, const protocol::Command &command,
                const protocol::CommandResult &result) {
           Placer.applied(position, command, result);
         },
         [this](const protocol::Command &it) { return Placer.refusalOf(it); },
         [this](const protocol::QueryRequest &request,
                protocol::QueryReply &reply) {
           Placer.answer(request, reply);
         }});
  }

  ReplicatedLogHandlers handlers() {
    ReplicatedLogHandlers result;
    result.Applied = [this](LogPosition position, const std::string &record) {
      State.applied(position, record);
    };
    result.Restored = [this](const std::string &state) { restore(state); };
    result.Snapshot = [this] {
      return State.state().snapshot().SerializeAsString();
    };
    result.LeaderStarted = [this] {
      State.becomeLeader();
      Placer.becomeLeader();
    };
    return result;
  }

  void restore(const std::string &state) {
    protocol::CellSnapshot snapshot;
    if (!snapshot.ParseFromString(state)) {
      throw std::runtime_error("cannot parse the cell snapshot");
    }
    State.state().restore(snapshot);
  }

  /// Metrics pages are rendered on the control thread, so the callbacks may
  /// read its state.
  void registerMetrics() {
    registerProcessMetrics(Metrics);
    peers::registerMailboxMetrics(Metrics, Mailbox);
    Metrics.observedGauge(
        {"masticwinch_leader", "1 while this control VM leads the cell."},
        [this] { return Log.isLeader() ? 1.0 : 0.0; });
    Metrics.observedGauge(
        {"masticwinch_configuration_revision",
         "Revision of the configuration that is committed here."},
        [this] { return double(State.state().configuration().revision()); });
    Metrics.observedGauge(
        {"masticwinch_jobs", "Jobs in the replicated state."},
        [this] { return double(State.state().jobs().size()); });
    registerPlacementMetrics();
  }

  void registerPlacementMetrics() {
    const auto placerMetric = [this](auto function) {
      return [this, function] {
        const placement::Placer *placer = Placer.placer();
        return placer == nullptr ? 0.0 : double(function(*placer));
      };
    };
    Metrics.observedGauge(
        {"masticwinch_jobs_waiting",
         "Jobs that wait for capacity; 0 on VMs that don't lead."},
        placerMetric(
            [](const placement::Placer &it) { return it.waitingJobs(); }));
    Metrics.observedGauge(
        {"masticwinch_attempts",
         "Tasks that hold resources of a worker; 0 on VMs that don't lead."},
        placerMetric(
            [](const placement::Placer &it) { return it.activeAttempts(); }));
    Metrics.observedGauge(
        {"masticwinch_reserved_milli_processors",
         "Processors reserved on all workers; 0 on VMs that don't lead."},
        placerMetric([](const placement::Placer &it) {
          return it.totalReserved().MilliProcessors;
        }));
  }

  void receive(const protocol::Envelope &envelope) {
    Log.receive(envelope);
    if (envelope.has_worker_announcement()) {
      Placer.announced(envelope.worker_announcement());
    }
    State.receive(envelope);
    Client.receive(envelope);
  }

  void scheduleTick() {
    Ticker.expires_after(TickInterval);
    Ticker.async_wait([this](const std::error_code &ec) {
      if (!ec) {
        State.tick();
        scheduleTick();
      }
    });
  }

  void schedulePlacement(Milliseconds delay) {
    PlacementTicker.expires_after(delay);
    PlacementTicker.async_wait([this](const std::error_code &ec) {
      if (!ec) {
        PlacementRequested = false;
        Placer.tick();
        if (!PlacementRequested) {
          schedulePlacement(PlacementInterval);
        }
      }
    });
  }

  void requestPlacement() {
    if (!PlacementRequested) {
      PlacementRequested = true;
      schedulePlacement(PlacementDelay);
    }
  }

  ExitCode run() {
    Mailbox.start();
    Server.start();
    Log.start();
    scheduleTick();
    schedulePlacement(PlacementInterval);
    Events.write(ControlEvent::Started,
                 {{"address", Settings.Process.InternalAddress}});
    Context.run();
    return ExitCode::Success;
  }

  void stop() {
    Events.write(ControlEvent::Stopping);
    Log.transferLeadership([this] { finishStop(); });
  }

  void finishStop() {
    Server.stop();
    Mailbox.stop();
    Events.write(ControlEvent::Stopped);
    Context.stop();
  }

  const ControlSettings &Settings;
  OperatingSystemClock Time;
  std::uint64_t Incarnation;
  EventLog Events;
  MetricRegistry Metrics;
  asio::io_context Context{1};
  peers::Mailbox Mailbox;
  peers::CellClient Client;
  ReplicatedLog Log;
  Service State;
  HttpClient WorkerCalls;
  workers::WorkerClient Workers;
  Placement Placer;
  operators::OperatorsApi Api;
  HttpServer Server;
  asio::steady_timer Ticker;
  asio::steady_timer PlacementTicker;
  bool PlacementRequested = false;
  StopSignals Signals;
};

ControlDaemon::ControlDaemon(const ControlSettings &settings)
    : Impl(std::make_unique<Implementation>(settings)) {}

ControlDaemon::~ControlDaemon() = default;

ExitCode ControlDaemon::run() { return Impl->run(); }

} // namespace masticwinch::control
