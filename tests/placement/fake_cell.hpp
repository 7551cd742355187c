#pragma once

#include "masticwinch/coordination/placement/job_progress.hpp"
#include "masticwinch/coordination/placement/placer.hpp"
#include "masticwinch/protocol/placement.pb.h"

#include "tests/placement/fake_worker.hpp"
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace masticwinch::placement {

/// A placer with fake workers and a fake replicated state, driven in simulated
/// time. Tracks which worker holds what, and throws when a task runs twice or a
/// VM is over-committed.
class FakeCell {
public:
  /// State of the connection to a worker.
  enum class Link : std::uint8_t {
    Up,
    /// Calls are lost.
    Down,
    /// Calls arrive, but answers are lost.
    AnswersLost,
    /// Calls are delayed and arrive when the link is up again.
    Paused,
  };

  explicit FakeCell(PlacerSettings settings) : Settings(std::move(settings)) {
    changeLeader();
  }

  SteadyTime now() const { return Now; }
  Placer &placer() { return *Leader; }
  FakeWorker &worker(std::size_t index) { return Workers[index]->Worker; }
  std::size_t workerCount() const { return Workers.size(); }
  const std::vector<PlacementNotice> &notices() const { return Notices; }
  void clearNotices() { Notices.clear(); }
  const std::set<std::string> &endedJobs() const { return Ended; }
  const protocol::JobProgress &progress(const std::string &job) {
    return Progress[job];
  }
  const std::map<std::string, JobTerms> &jobs() const { return Jobs; }
  std::uint64_t starts() const { return Starts; }

  void addWorker(WorkerDescription description,
                 std::int64_t clockGainMillionths = 0) {
    const std::uint64_t clock = 1000 * (Workers.size() + 1);
    Workers.push_back(std::make_unique<WorkerNode>(WorkerNode{
        FakeWorker(std::move(description), clock, clockGainMillionths),
        Link::Up,
        {}}));
    WorkerNode &node = *Workers.back();
    node.Worker.OnStart = [this, &node](const FakeWorker::Task &task) {
      checkStart(node.Worker, task);
    };
    Leader->announceWorker(node.Worker.description(), Now);
  }

  void submit(JobTerms terms) {
    terms.SubmittedUnixMs = Now.time_since_epoch().count() / 1'000'000;
    Jobs[terms.Id] = terms;
    Leader->addJob(terms, {}, false, Now);
  }

  void cancel(const std::string &job) {
    Jobs[job].Cancelled = true;
    Leader->cancelJob(job, Now);
  }

  void setDraining(const std::string &vm, bool draining) {
    if (draining) {
      Draining.insert(vm);
    } else {
      Draining.erase(vm);
    }
    Leader->setDraining(vm, draining, Now);
  }

  void setTeam(const std::string &name, TeamTerms terms) {
    Teams[name] = terms;
    Leader->setTeam(name, terms, Now);
  }

  void setLink(std::size_t index, Link link) {
    Workers[index]->State = link;
    if (link == Link::Up) {
      deliverDelayed(*Workers[index]);
    }
  }

  void setRecording(bool works) { Recording = works; }

  void restartWorker(std::size_t index) {
    Workers[index]->Delayed.clear();
    Workers[index]->Worker.restart();
  }

  /// Replaces the leader by one that knows only what is durable.
  void changeLeader() {
    ++Epoch;
    Leader = std::make_unique<Placer>(Settings, Epoch, Now);
    for (const auto &[name, terms] : Teams) {
      Leader->setTeam(name, terms, Now);
    }
    for (const auto &[id, terms] : Jobs) {
      if (!Ended.contains(id)) {
        Leader->addJob(terms, historyOf(Progress[id]), true, Now);
      }
    }
    for (const auto &it : Workers) {
      Leader->announceWorker(it->Worker.description(), Now);
    }
    for (const std::string &it : Draining) {
      Leader->setDraining(it, true, Now);
    }
  }

  /// Advances time and runs everything that is due.
  void advance(Milliseconds by) {
    Now += by;
    for (const auto &it : Workers) {
      it->Worker.advance(Now);
    }
    runSteps();
  }

  /// Sets the usage that the worker reports for its tasks, in percent of their
  /// amounts.
  void setUsage(std::size_t index, std::int64_t percent) {
    for (FakeWorker::Task &it : Workers[index]->Worker.tasks()) {
      it.Used = {it.Amount.MilliProcessors * percent / 100,
                 it.Amount.MemoryMib * percent / 100, it.Amount.Accelerators};
    }
  }

  void advance(Milliseconds by, std::size_t times) {
    for (std::size_t it = 0; it < times; ++it) {
      advance(by);
    }
  }

  void endTask(std::size_t index, std::size_t task, bool succeeds) {
    auto &all = Workers[index]->Worker.tasks();
    if (task < all.size() && all[task].State == ReportedState::Running) {
      all[task].State =
          succeeds ? ReportedState::Finished : ReportedState::Failed;
      Leader->requestWorkerCall(Workers[index]->Worker.description().Name, Now);
    }
  }

  /// Number of running tasks of the job, over all workers.
  std::size_t running(const std::string &job) const {
    std::size_t count = 0;
    for (const auto &it : Workers) {
      for (const FakeWorker::Task &task : it->Worker.tasks()) {
        count += task.Id.Job == job && task.State == ReportedState::Running;
      }
    }
    return count;
  }

  static JobHistory historyOf(const protocol::JobProgress &progress) {
    return {tasksOf(progress.finished()), tasksOf(progress.failed()),
            tasksOf(progress.unknown()), tasksOf(progress.replaced()),
            tasksOf(progress.started())};
  }

private:
  struct WorkerNode {
    FakeWorker Worker;
    Link State = Link::Up;
    std::deque<WorkerCall> Delayed;
  };

  void runSteps() {
    for (int round = 0; round < 6; ++round) {
      const StepEffects effects = Leader->step(Now);
      Notices.insert(Notices.end(), effects.Notices.begin(),
                     effects.Notices.end());
      record(effects.Records);
      for (const WorkerCall &it : effects.Calls) {
        deliver(it);
      }
      Leader->verify();
      if (effects.Calls.empty() && effects.Records.empty()) {
        return;
      }
    }
  }

  void deliver(const WorkerCall &call) {
    WorkerNode &node = *Workers[call.Worker];
    if (node.State == Link::Down || node.State == Link::Paused) {
      if (node.State == Link::Paused) {
        node.Delayed.push_back(call);
      }
      Leader->workerFailed(keyOf(call), Now);
      return;
    }
    const auto answer = node.Worker.take(call, Now);
    if (node.State != Link::Up) {
      Leader->workerFailed(keyOf(call), Now);
    } else if (answer) {
      Leader->workerAnswered(keyOf(call), *answer, Now);
    } else {
      Leader->workerRefused(keyOf(call), Now);
    }
  }

  void deliverDelayed(WorkerNode &node) {
    while (!node.Delayed.empty()) {
      const WorkerCall call = std::move(node.Delayed.front());
      node.Delayed.pop_front();
      node.Worker.take(call, Now);
    }
  }

  void record(const RecordBatch &batch) {
    if (batch.empty()) {
      return;
    }
    if (!Recording) {
      Leader->recordingFailed(batch.Id, Now);
      return;
    }
    for (const TaskRecord &it : batch.Tasks) {
      protocol::TaskOutcomes outcomes;
      addOutcome(outcomes, it);
      applyOutcomes(Progress[it.Job], outcomes, Jobs.at(it.Job).Tasks);
    }
    for (const EndedJob &it : batch.EndedJobs) {
      protocol::TaskOutcomes outcomes;
      outcomes.set_rest_finished(it.RestFinished);
      applyOutcomes(Progress[it.Id], outcomes, Jobs.at(it.Id).Tasks);
      Ended.insert(it.Id);
    }
    Leader->recorded(batch.Id, Now);
  }

  static void addOutcome(protocol::TaskOutcomes &outcomes,
                         const TaskRecord &record) {
    switch (record.State) {
    case TaskState::Finished:
      return outcomes.add_finished(record.Task);
    case TaskState::Failed:
      return outcomes.add_failed(record.Task);
    case TaskState::Unknown:
      return outcomes.add_unknown(record.Task);
    case TaskState::Replaced:
      return outcomes.add_replaced(record.Task);
    default:
      return outcomes.add_started(record.Task);
    }
  }

  void checkStart(const FakeWorker &worker, const FakeWorker::Task &task) {
    ++Starts;
    if (!worker.given().fitsIn(worker.description().Capacity)) {
      throw std::runtime_error("VM is over-committed");
    }
    std::size_t copies = 0;
    for (const auto &it : Workers) {
      for (const FakeWorker::Task &other : it->Worker.tasks()) {
        copies += other.Id.Job == task.Id.Job &&
                  other.Id.Task == task.Id.Task &&
                  other.State == ReportedState::Running;
      }
    }
    if (copies > 1) {
      throw std::runtime_error("task runs on two workers: " + task.Id.Job);
    }
    const JobTerms &job = Jobs.at(task.Id.Job);
    const bool repeated =
        !StartedOnce.emplace(task.Id.Job, task.Id.Task).second;
    if (repeated && !job.Repeatable && !job.Checkpoint) {
      throw std::runtime_error("non-repeatable task ran twice: " + job.Id);
    }
  }

  PlacerSettings Settings;
  SteadyTime Now{std::chrono::hours(1)};
  std::uint64_t Epoch = 0;
  std::unique_ptr<Placer> Leader;
  std::vector<std::unique_ptr<WorkerNode>> Workers;
  std::map<std::string, JobTerms> Jobs;
  std::map<std::string, protocol::JobProgress> Progress;
  std::map<std::string, TeamTerms> Teams;
  std::set<std::string> Ended;
  std::set<std::string> Draining;
  std::set<std::pair<std::string, std::uint32_t>> StartedOnce;
  std::vector<PlacementNotice> Notices;
  std::uint64_t Starts = 0;
  bool Recording = true;
};

/// A VM of 32 processors and 128 GiB, eight to a rack.
inline WorkerDescription standardVm(std::size_t index) {
  const std::string number = std::to_string(index);
  return {"vm-" + number,
          "10.0.0." + number + ":80",
          "rack-" + std::to_string(index / 8),
          "dc-" + std::to_string(index % 3),
          {32'000, 131'072, 0}};
}

inline JobTerms batchJob(std::string id, std::uint32_t tasks,
                         Resources perTask) {
  JobTerms terms;
  terms.Id = std::move(id);
  terms.Profile = "batch";
  terms.Team = "mills";
  terms.Tasks = tasks;
  terms.PerTask = perTask;
  terms.ExpectedRunTime = Milliseconds(60'000);
  return terms;
}

} // namespace masticwinch::placement
