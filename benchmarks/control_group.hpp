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

/// Commands of several clients that each propose the next one when the last is
/// committed.
struct Workload {
  std::size_t Clients = 1;
  std::size_t Commands = 0;
  std::size_t CommandBytes = 200;
};

/// One replica with its own control thread, mailbox and data folder.
class BenchReplica {
public:
  BenchReplica(const std::string &folder, const std::vector<std::string> &all,
               std::size_t index)
      : Work(asio::make_work_guard(Context)),
        Events({nameOf(index), 1, folder + "/" + nameOf(index) + ".events"},
               Time),
        Mailbox(
            {"bench", nameOf(index), 1, all[index]},
            [this](protocol::Envelope envelope) {
              asio::post(Context,
                         [this, it = std::move(envelope)] { Log.receive(it); });
            },
            Events),
        Log(options(folder, all, index), Context, Mailbox, Events, Time,
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

  bool leads() const { return Leads; }

  /// Proposes the workload and waits for its commits; returns the latency of
  /// each in microseconds.
  std::vector<double> run(const Workload &workload) {
    Latencies.clear();
    Finished = false;
    asio::post(Context, [this, workload] {
      Left = workload.Commands;
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
  options(const std::string &folder, const std::vector<std::string> &all,
          std::size_t index) {
    control::ReplicatedLogOptions made;
    made.Storage = {folder + "/" + nameOf(index), "bench"};
    made.Self = {{}, nameOf(index), all[index], "dc", false};
    for (std::size_t i = 0; i < all.size(); ++i) {
      made.InitialMembers.push_back({{}, nameOf(i), all[i], "", false});
    }
    return made;
  }

  control::ReplicatedLogHandlers handlers() {
    control::ReplicatedLogHandlers made;
    made.Applied = [this](control::LogPosition position, const std::string &) {
      finish(position);
    };
    made.Restored = [](const std::string &) {};
    made.Snapshot = [] { return std::string(1000, 's'); };
    made.LeaderStarted = [this] { Leads = true; };
    return made;
  }

  void proposeNext() {
    if (Left == 0) {
      return;
    }
    const auto position = Log.propose(Command);
    if (position) {
      --Left;
      Started[*position] = Time.now();
    }
  }

  void finish(control::LogPosition position) {
    const auto it = Started.find(position);
    if (it == Started.end()) {
      return;
    }
    Latencies.push_back(
        std::chrono::duration<double, std::micro>(Time.now() - it->second)
            .count());
    Started.erase(it);
    proposeNext();
    Finished = Started.empty();
  }

  OperatingSystemClock Time;
  asio::io_context Context{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  EventLog Events;
  peers::Mailbox Mailbox;
  control::ReplicatedLog Log;
  std::thread Thread;
  std::atomic<bool> Leads = false;
  std::atomic<bool> Finished = false;
  std::size_t Left = 0;
  std::string Command;
  std::map<control::LogPosition, SteadyTime> Started;
  std::vector<double> Latencies;
};

} // namespace masticwinch::benchmark
