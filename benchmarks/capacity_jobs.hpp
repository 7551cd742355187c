#pragma once

#include "masticwinch/coordination/cell/cell_state.hpp"
#include "masticwinch/protocol/cell.pb.h"
#include "masticwinch/protocol/placement.pb.h"

#include "benchmarks/capacity_measure.hpp"
#include <stdexcept>
#include <vector>

namespace masticwinch::capacity {

/// Applies a command that must be accepted.
inline void applyAccepted(cell::CellState &state,
                          const protocol::Command &command) {
  const protocol::CommandResult result = state.apply(command);
  if (result.code() != protocol::ACCEPTED) {
    throw std::runtime_error(result.field() + ": " + result.message());
  }
}

/// Adds one profile and the given number of teams to the replicated state.
inline void prepareCell(cell::CellState &state, std::size_t teams) {
  protocol::Command profile;
  profile.set_at_unix_ms(1);
  profile.mutable_put_profile()->set_name("batch");
  profile.mutable_put_profile()->set_any_version(true);
  protocol::TaskPolicy &tasks =
      *profile.mutable_put_profile()->mutable_spec()->mutable_tasks();
  tasks.set_kind(protocol::BATCH);
  tasks.mutable_resources()->set_milli_processors(1000);
  tasks.mutable_resources()->set_memory_mib(4096);
  applyAccepted(state, profile);
  for (std::size_t i = 0; i < teams; ++i) {
    protocol::Command team;
    protocol::Team &terms = *team.mutable_put_team()->mutable_team();
    terms.set_name(fmt::format("team-{}", i));
    terms.set_weight(1);
    terms.mutable_quota()->set_milli_processors(1'000'000);
    terms.mutable_quota()->set_memory_mib(4'000'000);
    applyAccepted(state, team);
  }
}

inline protocol::Command submission(std::size_t number, std::size_t teams) {
  protocol::Command command;
  command.set_request_id(fmt::format("request-{:024}", number));
  command.set_author("operator-7");
  command.set_at_unix_ms(1'796'330'000'000 + number);
  protocol::JobSpec &spec = *command.mutable_submit_job()->mutable_spec();
  spec.set_name(fmt::format("weekly-price-sheet-{}", number));
  spec.set_profile("batch");
  spec.set_team(fmt::format("team-{}", number % teams));
  spec.set_tasks(100);
  spec.set_payload("{\"run_ms\":60000}");
  return command;
}

/// Size of a record that ends the given number of tasks in 10 jobs.
inline double outcomeBytes(std::size_t tasks) {
  constexpr std::size_t Jobs = 10;
  protocol::RecordPlacement record;
  for (std::size_t i = 0; i < Jobs; ++i) {
    protocol::TaskOutcomes &outcomes = *record.add_outcomes();
    outcomes.set_job(fmt::format("job-{}", 100'000 + i));
    for (std::size_t n = 0; n < tasks / Jobs; ++n) {
      outcomes.add_finished(static_cast<std::uint32_t>(n * 7));
    }
  }
  return double(record.ByteSizeLong());
}

/// Measures memory, processor time and command bytes of submitted jobs, and the
/// record bytes of ended tasks.
inline void measureJobs() {
  constexpr std::size_t Teams = 1200;
  std::vector<Sample> memory;
  std::vector<Sample> time;
  std::vector<Sample> bytes;
  for (std::size_t count : {10'000U, 40'000U, 160'000U}) {
    cell::CellState state;
    prepareCell(state, Teams);
    const double heapBefore = heapBytes();
    const double begin = processorMicroseconds();
    double commandBytes = 0;
    for (std::size_t i = 0; i < count; ++i) {
      const protocol::Command command = submission(i, Teams);
      commandBytes += double(command.ByteSizeLong());
      applyAccepted(state, command);
    }
    time.push_back({double(count), processorMicroseconds() - begin});
    memory.push_back({double(count), heapBytes() - heapBefore});
    bytes.push_back({double(count), commandBytes});
  }
  printSamples("job_memory", memory, "bytes", "job");
  printSamples("job_time", time, "us", "job");
  printSamples("job_command", bytes, "bytes", "job");
  std::vector<Sample> outcomes;
  for (std::size_t tasks : {100U, 400U, 1600U}) {
    outcomes.push_back({double(tasks), outcomeBytes(tasks)});
  }
  printSamples("task_outcome_record", outcomes, "bytes", "task");
}

} // namespace masticwinch::capacity
