#pragma once

#include "masticwinch/coordination/placement/placer_types.hpp"
#include "masticwinch/coordination/placement/team_ledger.hpp"

namespace masticwinch::protocol {
class JobProgress;
class JobRecord;
class RecordPlacement;
class Resources;
class Team;
class WorkerAnnouncement;
} // namespace masticwinch::protocol

namespace masticwinch::workers {

/// Converts amounts of resources between the protocol and placement.
placement::Resources resourcesOf(const protocol::Resources &amount);
protocol::Resources messageOf(const placement::Resources &amount);

/// Converts an accepted job for placement. An unknown policy name selects the
/// cell's policy.
placement::JobTerms jobTermsOf(const protocol::JobRecord &record,
                               placement::PolicyName cellPolicy);

/// Converts the replicated progress of a job's tasks for placement.
placement::JobHistory historyOf(const protocol::JobProgress &progress);

/// Converts a team's quota and weight; a quota without amounts means no limit.
placement::TeamTerms teamTermsOf(const protocol::Team &team);

placement::WorkerDescription
descriptionOf(const protocol::WorkerAnnouncement &announcement);

/// Converts a batch of records into a single command, grouped by job.
protocol::RecordPlacement messageOf(const placement::RecordBatch &batch);

} // namespace masticwinch::workers
