#pragma once

#include "masticwinch/coordination/placement/placer.hpp"

namespace masticwinch::protocol {
class JobRecord;
class JobStatus;
class VmStatus;
} // namespace masticwinch::protocol

namespace masticwinch::workers {

/// A job's status for operators; `placer` is null while no leader places tasks.
protocol::JobStatus statusOf(const protocol::JobRecord &record,
                             const placement::Placer *placer);

/// A worker VM's status for operators.
protocol::VmStatus statusOf(const placement::WorkerSummary &summary);

} // namespace masticwinch::workers
