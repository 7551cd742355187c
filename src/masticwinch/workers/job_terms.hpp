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

/// Amounts as placement uses them, and back.
placement::Resources resourcesOf(const protocol::Resources &amount);
protocol::Resources messageOf(const placement::Resources &amount);

/// An accepted job as placement uses it. A policy name that is not known means
/// the cell's policy.
placement::JobTerms jobTermsOf(const protocol::JobRecord &record,
                               placement::PolicyName cellPolicy);

/// What is durable about a job's tasks.
placement::JobHistory historyOf(const protocol::JobProgress &progress);

/// A team's quota and weight; a quota without amounts is no limit.
placement::TeamTerms teamTermsOf(const protocol::Team &team);

placement::WorkerDescription
descriptionOf(const protocol::WorkerAnnouncement &announcement);

/// A batch of records as one command, grouped by job.
protocol::RecordPlacement messageOf(const placement::RecordBatch &batch);

} // namespace masticwinch::workers
