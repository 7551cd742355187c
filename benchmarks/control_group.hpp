#pragma once

#include "masticwinch/control/replicated_log.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/protocol/envelope.pb.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>

#include <atomic>
#include <filesystem>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace masticwinch::benchmark {

/// Commands proposed by several clients. Each client proposes its next command
/// when the previous one is committed.
struct Workload {
  std::size_t Clients = 1;
  std::size_t Commands = 0;
  std::size_t CommandBytes = 200;
};

/// A replica with its own control thread, mailbox and data folder.
class BenchReplica {
public:
  BenchReplica(const std::string &folder,
               const std::vector<std::string> &addresses, std::size_t index)
      : Work(asio::make_work_guard(Context)),
        Events({nameOf(index), 1, folder + "/" + nameOf(index) + ".events"},
               Time),
        Mailbox(
            {"bench", nameOf(index), 1, addresses[index]},
            [this](protocol::Envelope envelope) {
              asio::post(Context,
                         [this, it = std::move(envelope)] { Log.receive(it); });
            },
            Events),
        Log(options(folder, addresses, index), Context, Mailbox, Events, Time,
            handlers()) {}

  ~BenchReplica() {
    Mailbox.stop();
    Context.stop();
    Thread.join();
  }

  void start() {
    Mailbox.start();
    asio::post(Context, [this] { Log.start(); });
    Thread = std::thread([this] { Context.run(); });
  }

  bool isLeader() const { return Leading; }

  /// Proposes the workload and waits until it is committed; returns the latency
  /// of each commit in microseconds.
  std::vector<double> run(const Workload &workload) {
    Latencies.clear();
    Finished = false;
    asio::post(Context, [this, workload] {
      RemainingCommands = workload.Commands;
      Command = std::string(workload.CommandBytes, 'x');
      for (std::size_t i = 0; i < workload.Clients; ++i) {
        proposeNext();
      }
    });
    while (!Finished) {
      std::this_thread::yield();
    }
    return Latencies;
  }

private:
  static std::string nameOf(std::size_t index) {
    return "replica-" + std::to_string(index + 1);
  }

  static control::ReplicatedLogOptions
  options(const std::string &folder, const std::vector<std::string> &addresses,
          std::size_t index) {
    control::ReplicatedLogOptions result;
    result.Storage = {folder + "/" + nameOf(index), "bench"};
    result.Self = {{}, nameOf(index), addresses[index], "dc", false};
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      result.InitialMembers.push_back({{}, nameOf(i), addresses[i], "", false});
    }
    return result;
  }

  control::ReplicatedLogHandlers handlers() {
    control::ReplicatedLogHandlers result;
    result.Applied = [this](control::LogPosition position,
                            const std::string &) { finish(position); };
    result.Restored = [](const std::string &) {};
    result.Snapshot = [] { return std::string(1000, 's'); };
    result.LeaderStarted = [this] { Leading = true; };
    return result;
  }

  void proposeNext() {
    if (RemainingCommands == 0) {
      return;
    }
    const control::ProposalResult proposed = Log.propose(Command);
    if (const control::LogPosition *position = control::positionOf(proposed)) {
      --RemainingCommands;
      ProposedAt[*position] = Time.now();
    }
  }

  void finish(control::LogPosition position) {
    const auto it = ProposedAt.find(position);
    if (it == ProposedAt.end()) {
      return;
    }
    Latencies.push_back(
        std::chrono::duration<double, std::micro>(Time.now() - it->second)
            .count());
    ProposedAt.erase(it);
    proposeNext();
    Finished = ProposedAt.empty();
  }

  OperatingSystemClock Time;
  asio::io_context Context{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  EventLog Events;
  peers::Mailbox Mailbox;
  control::ReplicatedLog Log;
  std::thread Thread;
  std::atomic<bool> Leading = false;
  std::atomic<bool> Finished = false;
  std::size_t RemainingCommands = 0;
  std::string Command;
  std::map<control::LogPosition, SteadyTime> ProposedAt;
  std::vector<double> Latencies;
};

} // namespace masticwinch::benchmark
