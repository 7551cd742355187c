#include "masticwinch/coordination/workflow/record_limits.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace masticwinch::workflow {
namespace {

std::optional<std::string> sizeError(std::size_t bytes, std::size_t limit) {
  if (bytes <= limit) {
    return std::nullopt;
  }
  return fmt::format("{} bytes are to be stored, of at most {}", bytes, limit);
}

} // namespace

std::optional<std::string> changeSizeError(std::size_t bytes) {
  return sizeError(bytes, MaxChangeBytes);
}

std::optional<std::string> configSizeError(std::size_t bytes) {
  return sizeError(bytes, MaxConfigBytes);
}

std::vector<protocol::WorkflowChange>
configurationChanges(const protocol::CellConfig &config) {
  std::vector<protocol::WorkflowChange> changes;
  if (config.ByteSizeLong() <= ConfigPartBytes) {
    *changes.emplace_back().mutable_configure() = config;
    return changes;
  }
  const std::string bytes = config.SerializeAsString();
  for (std::size_t i = 0; i < bytes.size(); i += ConfigPartBytes) {
    protocol::ConfigurePart &part =
        *changes.emplace_back().mutable_configure_part();
    part.set_version(config.version());
    part.set_offset(i);
    part.set_total_bytes(bytes.size());
    part.set_data(bytes.substr(i, ConfigPartBytes));
  }
  return changes;
}

std::vector<protocol::WorkflowRecord>
packRecords(protocol::WorkflowRecord record) {
  std::vector<protocol::WorkflowRecord> records;
  if (record.ByteSizeLong() <= FullRecordBytes) {
    records.push_back(std::move(record));
    return records;
  }
  std::size_t bytes = FullRecordBytes;
  for (protocol::WorkflowChange &it : *record.mutable_changes()) {
    const std::size_t added = it.ByteSizeLong();
    if (records.empty() || bytes + added > FullRecordBytes) {
      records.emplace_back();
      bytes = 0;
    }
    bytes += added;
    *records.back().add_changes() = std::move(it);
  }
  return records;
}

} // namespace masticwinch::workflow
