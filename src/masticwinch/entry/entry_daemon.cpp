#include "masticwinch/entry/entry_daemon.hpp"

#include "masticwinch/callers/request_service.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/http/http_server.hpp"
#include "masticwinch/metrics/metric_registry.hpp"
#include "masticwinch/metrics/process_metrics.hpp"
#include "masticwinch/operators/operators_api.hpp"
#include "masticwinch/peers/cell_client.hpp"
#include "masticwinch/peers/entry_session.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/peers/mailbox_metrics.hpp"
#include "masticwinch/programs/daemon_options.hpp"
#include "masticwinch/programs/incarnation.hpp"
#include "masticwinch/programs/stop_signals.hpp"
#include "masticwinch/upstreams/traffic_pool.hpp"
#include "masticwinch/upstreams/upstream_api.hpp"
#include "masticwinch/workers/worker_api.hpp"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <cstdlib>

namespace masticwinch::entry {

enum class EntryDaemonEvent : std::uint8_t { Started, Stopping, Stopped };

} // namespace masticwinch::entry

namespace masticwinch {

template <> struct EnumNames<entry::EntryDaemonEvent> {
  static constexpr std::array<EnumName<entry::EntryDaemonEvent>, 3> Table{{
      {entry::EntryDaemonEvent::Started, "entry_started"},
      {entry::EntryDaemonEvent::Stopping, "entry_stopping"},
      {entry::EntryDaemonEvent::Stopped, "entry_stopped"},
  }};
};

} // namespace masticwinch

namespace masticwinch::entry {

namespace {

/// Exit status after a second stop signal.
constexpr int StoppedAtOnce = 143;

constexpr Milliseconds DrainPollInterval{20};

} // namespace

struct EntryDaemon::Implementation {
  explicit Implementation(const EntrySettings &settings)
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
        Client(Context, Mailbox, {programs::addressesOf(settings.Controls)}),
        Session(Context, Time, Mailbox, Client, Events,
                {settings.Process.Name, settings.Process.DataCenter,
                 Incarnation, settings.HelloInterval}),
        Traffic(Context, Time, settings.TrafficThreads),
        Requests(Context, Time, Session, Client, Mailbox, Traffic, Events,
                 Metrics, dispatcherOptions()),
        Upstreams(Client, Session), Workers(Client, Mailbox),
        Api(Context, Client,
            {[this] { return !Stopping && Session.mayServe(); },
             [this] { return Metrics.text(); }}),
        Operators(programs::serverOptions(settings.Operators),
                  [this](std::shared_ptr<HttpExchange> it) { Api.handle(it); }),
        Callers(programs::serverOptions(settings.Callers),
                [this](std::shared_ptr<HttpExchange> it) {
                  handleCallerRequest(it);
                }),
        Timer(Context),
        Signals(
            Context, [this] { stop(); }, [] { std::_Exit(StoppedAtOnce); }) {
    registerMetrics();
  }

  /// The observed metrics are read on the control thread, so they may access
  /// its state.
  void registerMetrics() {
    registerProcessMetrics(Metrics);
    peers::registerMailboxMetrics(Metrics, Mailbox);
    Metrics.observedGauge({"masticwinch_entry_serving",
                           "1 while this entry VM may take new work."},
                          [this] { return Session.mayServe() ? 1.0 : 0.0; });
    Metrics.observedGauge(
        {"masticwinch_configuration_revision",
         "Revision of the configuration that is in use here."},
        [this] { return double(Session.configuration().revision()); });
    Metrics.observedGauge(
        {"masticwinch_requests_pending",
         "Callers' requests that have not been answered yet."},
        [this] { return double(Requests.pending()); });
    Metrics.observedGauge({"masticwinch_requests_waiting",
                           "Requests that wait for a slot of an upstream."},
                          [this] { return double(Requests.counts().Waiting); });
    Metrics.observedGauge(
        {"masticwinch_requests_at_upstreams",
         "Requests that an upstream has been sent, hedges included."},
        [this] { return double(Requests.counts().OpenDispatches); });
    Metrics.observedGauge(
        {"masticwinch_upstreams_ejected",
         "Upstreams that get no work from here because they fail."},
        [this] { return double(Requests.counts().Ejected); });
    Metrics.observedGauge(
        {"masticwinch_slots_held", "Slots that are leased by this entry VM."},
        [this] { return double(Requests.counts().SlotsHeld); });
    Metrics.observedGauge(
        {"masticwinch_upstreams_owned",
         "Upstreams whose slots this entry VM grants to all entry VMs."},
        [this] { return double(Requests.counts().OwnedUpstreams); });
  }

  DispatcherOptions dispatcherOptions() const {
    DispatcherOptions options;
    options.Self = {Settings.Process.Name, Incarnation};
    options.DataCenter = Settings.Process.DataCenter;
    options.Seed = Incarnation;
    return options;
  }

  void receive(const protocol::Envelope &envelope) {
    Session.receive(envelope);
    Client.receive(envelope);
    Requests.receive(envelope);
  }

  void handleCallerRequest(const std::shared_ptr<HttpExchange> &exchange) {
    const HttpRequest &request = exchange->request();
    RouteMatch match;
    if (matchRoute("/v1/services/{}/**", request.Path, match)) {
      asio::post(Context,
                 [this, exchange, match] { Requests.handle(exchange, match); });
    } else if (matchRoute("/v1/upstreams/{}/announce", request.Path, match)) {
      asio::post(Context, [this, exchange, match] {
        Upstreams.announce(exchange, match);
      });
    } else if (matchRoute("/v1/upstreams/{}/leave", request.Path, match)) {
      asio::post(Context,
                 [this, exchange, match] { Upstreams.leave(exchange, match); });
    } else if (matchRoute("/v1/workers/{}/announce", request.Path, match)) {
      asio::post(Context, [this, exchange, match] {
        Workers.announce(exchange, match);
      });
    } else if (request.Path == "/health" || request.Path == "/v1/jobs") {
      Api.handle(exchange);
    } else {
      exchange->respond(errorResponse(404, "not_found", "no such path"));
    }
  }

  ExitCode run() {
    Mailbox.start();
    Requests.start();
    Session.start();
    Operators.start();
    Callers.start();
    Events.write(EntryDaemonEvent::Started,
                 {{"address", Settings.Process.InternalAddress}});
    Context.run();
    return ExitCode::Success;
  }

  /// Stops in steps: the health check fails first, requests are accepted until
  /// the balancer delay is over, and then those in progress are completed.
  void stop() {
    Events.write(EntryDaemonEvent::Stopping);
    Stopping = true;
    Callers.closeConnectionsAfterAnswers();
    runAfter(Settings.BalancerDelay, [this] {
      Requests.drain();
      DrainDeadline = Time.now() + Settings.DrainTimeout;
      awaitDrained();
    });
  }

  void awaitDrained() {
    if (!Requests.isDrained() && Time.now() < DrainDeadline) {
      runAfter(DrainPollInterval, [this] { awaitDrained(); });
      return;
    }
    Session.leave([this] { shutDown(); });
  }

  void shutDown() {
    Callers.stop();
    Operators.stop();
    Traffic.stop();
    Mailbox.stop();
    Events.write(EntryDaemonEvent::Stopped);
    Context.stop();
  }

  void runAfter(Milliseconds delay, std::function<void()> function) {
    Timer.expires_after(delay);
    Timer.async_wait(
        [function = std::move(function)](const std::error_code &ec) {
          if (!ec) {
            function();
          }
        });
  }

  const EntrySettings &Settings;
  OperatingSystemClock Time;
  std::uint64_t Incarnation;
  EventLog Events;
  MetricRegistry Metrics;
  asio::io_context Context{1};
  peers::Mailbox Mailbox;
  peers::CellClient Client;
  peers::EntrySession Session;
  upstreams::TrafficPool Traffic;
  callers::RequestService Requests;
  upstreams::UpstreamApi Upstreams;
  workers::WorkerApi Workers;
  operators::OperatorsApi Api;
  HttpServer Operators;
  HttpServer Callers;
  asio::steady_timer Timer;
  StopSignals Signals;
  bool Stopping = false;
  SteadyTime DrainDeadline{};
};

EntryDaemon::EntryDaemon(const EntrySettings &settings)
    : Impl(std::make_unique<Implementation>(settings)) {}

EntryDaemon::~EntryDaemon() = default;

ExitCode EntryDaemon::run() { return Impl->run(); }

} // namespace masticwinch::entry
