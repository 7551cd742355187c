#include "masticwinch/control/local_log.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <vector>

using namespace masticwinch::control;

namespace {

/// A folder that is removed at the end of the test.
class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "log-XXXXXX").string();
    Path = ::mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(Path); }

  std::string Path;
};

std::vector<std::string> reopen(const std::string &folder) {
  std::vector<std::string> records;
  LocalLog log(folder, [&](LogPosition, const std::string &record) {
    records.push_back(record);
  });
  return records;
}

void writeTwoRecords(const std::string &folder) {
  LocalLog log(folder, [](LogPosition, const std::string &) {});
  log.propose("first");
  log.propose("second");
}

} // namespace

TEST_CASE("Proposed records are there after a restart", "[control][state]") {
  TemporaryFolder folder;
  writeTwoRecords(folder.Path);
  CHECK(reopen(folder.Path) == std::vector<std::string>{"first", "second"});
}

TEST_CASE("A torn last record is cut", "[control][state]") {
  TemporaryFolder folder;
  writeTwoRecords(folder.Path);
  const std::string file = folder.Path + "/commands.log";
  std::filesystem::resize_file(file, std::filesystem::file_size(file) - 1);

  CHECK(reopen(folder.Path) == std::vector<std::string>{"first"});
}

TEST_CASE("Damage before the end is an error", "[control][state]") {
  TemporaryFolder folder;
  writeTwoRecords(folder.Path);
  std::fstream file(folder.Path + "/commands.log",
                    std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(17);
  file.put('X');
  file.close();

  CHECK_THROWS_WITH(reopen(folder.Path), "the log is damaged at byte 0");
}
