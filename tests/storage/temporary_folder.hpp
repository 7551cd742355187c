#pragma once

#include <stdlib.h>

#include <filesystem>
#include <stdexcept>
#include <string>

namespace masticwinch::testing {

/// A temporary folder; the destructor removes it.
class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "masticwinch-XXXXXX")
            .string();
    if (!::mkdtemp(name.data())) {
      throw std::runtime_error("cannot create a temporary folder");
    }
    Path = name;
  }
  ~TemporaryFolder() {
    std::error_code ec;
    std::filesystem::remove_all(Path, ec);
  }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  std::string file(const std::string &name) const { return Path + "/" + name; }

private:
  std::string Path;
};

} // namespace masticwinch::testing
