#pragma once

#include "masticwinch/coordination/placement/placer.hpp"

namespace masticwinch::protocol {
class JobRecord;
class JobStatus;
class VmStatus;
} // namespace masticwinch::protocol

namespace masticwinch::workers {

/// What operators are told of a job; `placer` may be null while no leader
/// places.
protocol::JobStatus statusOf(const protocol::JobRecord &record,
                             const placement::Placer *placer);

/// What operators are told of a worker VM.
protocol::VmStatus statusOf(const placement::WorkerSummary &summary);

} // namespace masticwinch::workers
