#pragma once

#include "masticwinch/protocol/workflow.pb.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace masticwinch::workflow {

/// Maximum size of a single change, such as a submission or what a runner
/// announces. Leaves room below the limit of the log for the record around it.
inline constexpr std::size_t MaxChangeBytes = 1000UL * 1024;

/// Size of the changes of a record at which further ones get a record of their
/// own.
inline constexpr std::size_t FullRecordBytes = 256UL * 1024;

/// Size of a configuration's parts. A smaller configuration is stored whole.
inline constexpr std::size_t ConfigPartBytes = 128UL * 1024;

/// Maximum size of a configuration, with the operator's document.
inline constexpr std::size_t MaxConfigBytes = 8UL * 1024 * 1024;

/// Returns why a change of this size can't be stored, with both figures; empty
/// if it can.
std::optional<std::string> changeSizeError(std::size_t bytes);

/// The same for a configuration.
std::optional<std::string> configSizeError(std::size_t bytes);

/// Returns the changes that store a configuration.
std::vector<protocol::WorkflowChange>
configurationChanges(const protocol::CellConfig &config);

/// Distributes the changes of a record to as few records as their sizes allow,
/// in order.
std::vector<protocol::WorkflowRecord>
packRecords(protocol::WorkflowRecord record);

} // namespace masticwinch::workflow
