#pragma once

#include "masticwinch/common/result.hpp"
#include "masticwinch/storage/storage_error.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <optional>

namespace masticwinch::control::internal {

/// Runs a storage function and returns its error; nothing if it succeeded.
template <class Function>
std::optional<storage::StorageError> storageErrorOf(Function function) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::optional<storage::StorageError>> {
        BOOST_LEAF_CHECK(function());
        return std::optional<storage::StorageError>();
      },
      [](const storage::StorageError &error) { return std::optional(error); },
      [] {
        return std::optional(storage::StorageError{
            storage::StorageErrorKind::Io, "", "unknown error"});
      });
}

} // namespace masticwinch::control::internal
