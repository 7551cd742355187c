#include "masticwinch/storage/storage_error.hpp"

namespace masticwinch::storage {

std::string StorageError::text() const {
  return std::string(nameOf(Kind)) + ": " + Path + ": " + Detail;
}

} // namespace masticwinch::storage
