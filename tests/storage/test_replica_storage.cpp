#include "masticwinch/protocol/storage.pb.h"
#include "masticwinch/storage/record.hpp"
#include "masticwinch/storage/replica_storage.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <sys/resource.h>
#include <unistd.h>

#include "fuzzing/replication/memory_disk.hpp"
#include "tests/storage/temporary_folder.hpp"
#include <csignal>
#include <fstream>
#include <optional>

namespace masticwinch::storage {

namespace {

using replication::RecoveredState;
using replication::Snapshot;
using replication::WriteBatch;

protocol::LogEntry entry(std::uint64_t index, std::uint64_t term,
                         std::string data) {
  protocol::LogEntry result;
  result.set_index(index);
  result.set_term(term);
  result.set_kind(protocol::COMMAND);
  result.set_data(std::move(data));
  return result;
}

WriteBatch batchOf(std::vector<protocol::LogEntry> entries) {
  WriteBatch batch;
  batch.Entries = std::move(entries);
  return batch;
}

Result<ReplicaStorage> openAt(const std::string &folder,
                              const std::string &cluster = "cell",
                              std::uint64_t segmentBytes = 600) {
  std::mt19937_64 engine(std::random_device{}());
  return ReplicaStorage::open({folder, cluster, segmentBytes}, engine);
}

/// Kind of the error with which opening a folder fails; nothing if it opens.
std::optional<StorageErrorKind> openError(const std::string &folder,
                                          const std::string &cluster = "cell") {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::optional<StorageErrorKind>> {
        BOOST_LEAF_CHECK(openAt(folder, cluster));
        return std::optional<StorageErrorKind>();
      },
      [](const StorageError &error) { return std::optional(error.Kind); },
      [] { return std::optional<StorageErrorKind>(); });
}

std::string newestSegment(const std::string &folder) {
  std::string newest;
  for (const auto &it : std::filesystem::directory_iterator(folder)) {
    const std::string path = it.path().string();
    if (it.path().filename().string().starts_with("log-")) {
      newest = std::max(newest, path);
    }
  }
  return newest;
}

void flipByte(const std::string &path, std::size_t offset) {
  std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
  file.seekg(static_cast<std::streamoff>(offset));
  const char old = static_cast<char>(file.get());
  file.seekp(static_cast<std::streamoff>(offset));
  file.put(static_cast<char>(old ^ 0x10));
}

/// Writes three entries, synced one by one into one segment, and returns its
/// path.
std::string writeThreeEntries(const std::string &folder) {
  auto storage = openAt(folder, "cell", 1 << 20);
  REQUIRE(storage);
  for (std::uint64_t i = 1; i <= 3; ++i) {
    REQUIRE(storage->write(batchOf({entry(i, 1, "data")})));
  }
  return newestSegment(folder);
}

std::size_t recordBytes() {
  return encodeRecord(entry(1, 1, "data"), 1).size();
}

bool sameState(const RecoveredState &a, const RecoveredState &b) {
  // Only complete segments are discarded, so more of the log may remain.
  const std::size_t extra =
      a.Entries.size() - std::min(a.Entries.size(), b.Entries.size());
  for (std::size_t i = 0; i < b.Entries.size(); ++i) {
    if (extra + i >= a.Entries.size() ||
        a.Entries[extra + i].SerializeAsString() !=
            b.Entries[i].SerializeAsString()) {
      return false;
    }
  }
  const bool sameSnapshot =
      !a.LastSnapshot == !b.LastSnapshot &&
      (!a.LastSnapshot || (a.LastSnapshot->Data == b.LastSnapshot->Data &&
                           a.LastSnapshot->Index == b.LastSnapshot->Index));
  return a.Hard == b.Hard && sameSnapshot && a.BaseIndex <= b.BaseIndex;
}

/// Generates a batch that a replica may emit in the given state.
WriteBatch anyBatch(const RecoveredState &state) {
  WriteBatch batch;
  const std::uint64_t base = state.BaseIndex;
  std::uint64_t last = base + state.Entries.size();
  const auto kind = *rc::gen::inRange(0, 6);
  if (kind == 0) {
    batch.Hard = state.Hard;
    batch.Hard->Term += 1;
  }
  if (kind == 1 && last > base) {
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->Index = *rc::gen::inRange(base + 1, last + 1);
    snapshot->Term = state.Entries[snapshot->Index - base - 1].term();
    snapshot->Data = *rc::gen::arbitrary<std::string>();
    batch.DiscardThrough = snapshot->Index;
    batch.NewSnapshot = std::move(snapshot);
  }
  if (kind == 2) {
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->Index = last + 5;
    snapshot->Term = 99;
    batch.ResetLog = true;
    last = snapshot->Index;
    batch.NewSnapshot = std::move(snapshot);
  }
  if (kind == 3 && last > base) {
    const std::uint64_t floor =
        std::max(base, state.LastSnapshot ? state.LastSnapshot->Index : 0);
    last = *rc::gen::inRange(floor, last + 1);
  }
  const int count = *rc::gen::inRange(0, 5);
  for (int i = 0; i < count; ++i) {
    batch.Entries.push_back(entry(++last, 100 + state.Hard.Term,
                                  *rc::gen::arbitrary<std::string>()));
  }
  return batch;
}

} // namespace

TEST_CASE("A reopened data folder holds what was synced", "[storage][fuzz]") {
  REQUIRE(rc::check([] {
    testing::TemporaryFolder parent;
    const std::string folder = parent.file("data");
    fuzzing::MemoryDisk expected;
    const int rounds = *rc::gen::inRange(1, 4);
    for (int round = 0; round < rounds; ++round) {
      auto storage = openAt(folder);
      RC_ASSERT(bool(storage));
      RC_ASSERT(sameState(storage->takeRecovered(), expected.recover()));
      const int batches = *rc::gen::inRange(0, 12);
      for (int i = 0; i < batches; ++i) {
        const WriteBatch batch = anyBatch(expected.recover());
        RC_ASSERT(bool(storage->write(batch)));
        expected.sync(batch);
      }
    }
    auto storage = openAt(folder);
    RC_ASSERT(sameState(storage->takeRecovered(), expected.recover()));
  }));
}

TEST_CASE("A tail torn at any byte is truncated and is not damage",
          "[storage]") {
  for (std::size_t cut = 1; cut < recordBytes(); cut += 7) {
    testing::TemporaryFolder parent;
    const std::string folder = parent.file("data");
    const std::string segment = writeThreeEntries(folder);
    std::filesystem::resize_file(segment,
                                 std::filesystem::file_size(segment) - cut);
    auto storage = openAt(folder);
    REQUIRE(storage);
    const RecoveredState state = storage->takeRecovered();
    CHECK(state.Entries.size() == 2);
    CHECK_FALSE(state.Hard.Repairing);
    REQUIRE(storage->write(batchOf({entry(3, 2, "again")})));
  }
}

TEST_CASE("A last record that was only partly written is not damage",
          "[storage]") {
  testing::TemporaryFolder parent;
  const std::string folder = parent.file("data");
  const std::string segment = writeThreeEntries(folder);
  std::filesystem::resize_file(segment, std::filesystem::file_size(segment) -
                                            recordBytes());
  std::filesystem::resize_file(segment,
                               std::filesystem::file_size(segment) + 2000);
  const RecoveredState state = openAt(folder)->takeRecovered();
  CHECK(state.Entries.size() == 2);
  CHECK_FALSE(state.Hard.Repairing);
}

TEST_CASE("A flipped bit in any synced record is damage, the last included",
          "[storage]") {
  for (std::size_t offset = FrameBytes; offset < FrameBytes + 3 * recordBytes();
       offset += 11) {
    testing::TemporaryFolder parent;
    const std::string folder = parent.file("data");
    flipByte(writeThreeEntries(folder), offset);
    const std::size_t record = (offset - FrameBytes) / recordBytes();
    const std::size_t within = (offset - FrameBytes) % recordBytes();
    const RecoveredState state = openAt(folder)->takeRecovered();
    const bool onlyTrailer = within >= recordBytes() - FrameBytes;
    INFO("offset " << offset);
    CHECK(state.Entries.size() == (onlyTrailer ? 3 : record));
    CHECK(state.Hard.Repairing == !onlyTrailer);
  }
}

TEST_CASE("The repair flag survives restarts until it is cleared",
          "[storage]") {
  testing::TemporaryFolder parent;
  const std::string folder = parent.file("data");
  flipByte(writeThreeEntries(folder), FrameBytes + recordBytes() + 60);
  REQUIRE(openAt(folder)->takeRecovered().Hard.Repairing);
  {
    auto storage = openAt(folder);
    REQUIRE(storage->takeRecovered().Hard.Repairing);
    WriteBatch batch = batchOf({entry(2, 1, "data"), entry(3, 1, "data")});
    batch.Hard.emplace();
    REQUIRE(storage->write(batch));
  }
  const RecoveredState state = openAt(folder)->takeRecovered();
  CHECK_FALSE(state.Hard.Repairing);
  CHECK(state.Entries.size() == 3);
}

TEST_CASE("A damaged snapshot without a log requires repair", "[storage]") {
  testing::TemporaryFolder parent;
  const std::string folder = parent.file("data");
  {
    auto storage = openAt(folder);
    WriteBatch batch;
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->Index = 50;
    snapshot->Term = 3;
    snapshot->Data = "state";
    batch.NewSnapshot = std::move(snapshot);
    batch.ResetLog = true;
    REQUIRE(storage->write(batch));
  }
  flipByte(folder + "/snapshot", 12);
  const RecoveredState state = openAt(folder)->takeRecovered();
  CHECK(state.Hard.Repairing);
  CHECK_FALSE(state.LastSnapshot);
  CHECK(state.BaseIndex == 0);
}

TEST_CASE("Unusable data folders are refused", "[storage]") {
  testing::TemporaryFolder parent;
  const std::string folder = parent.file("data");
  writeThreeEntries(folder);

  SECTION("another cluster") {
    CHECK(openError(folder, "other") == StorageErrorKind::OtherCluster);
  }
  SECTION("in use") {
    const auto first = openAt(folder);
    REQUIRE(first);
    CHECK(openError(folder) == StorageErrorKind::Locked);
  }
  SECTION("writable by others") {
    std::filesystem::permissions(folder, std::filesystem::perms::others_write,
                                 std::filesystem::perm_options::add);
    CHECK(openError(folder) == StorageErrorKind::Permissions);
  }
  SECTION("damaged metadata") {
    flipByte(folder + "/metadata", 10);
    CHECK(openError(folder) == StorageErrorKind::MetadataDamaged);
  }
  SECTION("a newer format") {
    protocol::StoredMetadata newer;
    newer.set_format(2);
    newer.set_cluster("cell");
    const std::string bytes = newer.SerializeAsString();
    const std::uint64_t checksum = payloadChecksum(bytes);
    std::ofstream file(folder + "/metadata", std::ios::binary);
    file.write(reinterpret_cast<const char *>(&checksum), sizeof checksum);
    file << bytes;
    file.close();
    CHECK(openError(folder) == StorageErrorKind::NewerFormat);
  }
  SECTION("a log without metadata") {
    std::filesystem::remove(folder + "/metadata");
    CHECK(openError(folder) == StorageErrorKind::MetadataDamaged);
  }
}

TEST_CASE("A folder writable by others is opened only if allowed",
          "[storage]") {
  testing::TemporaryFolder parent;
  const std::string folder = parent.file("data");
  writeThreeEntries(folder);
  std::filesystem::permissions(folder, std::filesystem::perms::all);
  std::mt19937_64 engine(1);
  StorageOptions options{folder, "cell"};
  options.SharedFolder = true;
  const auto opened = ReplicaStorage::open(options, engine);
  REQUIRE(opened);
  CHECK(opened->isShared());
  CHECK_FALSE(opened->isEmpty());
}

TEST_CASE("A folder without a usable identity is set aside if allowed",
          "[storage]") {
  testing::TemporaryFolder parent;
  const std::string folder = parent.file("data");
  writeThreeEntries(folder);
  const auto before = openAt(folder)->id();
  StorageOptions options{folder, "cell"};
  options.SetDamagedAside = true;
  std::mt19937_64 engine(1);

  SECTION("damaged metadata") { flipByte(folder + "/metadata", 10); }
  SECTION("a log without metadata") {
    std::filesystem::remove(folder + "/metadata");
  }
  {
    const auto opened = ReplicaStorage::open(options, engine);
    REQUIRE(opened);
    CHECK(opened->isEmpty());
    CHECK(opened->id() != before);
    CHECK(opened->hasSetAside());
    CHECK_FALSE(opened->setAsideReason().empty());
  }
  CHECK_FALSE(newestSegment(folder + "/set-aside").empty());
  // The new identity is kept, and the replica still must not bootstrap a cell.
  const auto again = ReplicaStorage::open(options, engine);
  REQUIRE(again);
  CHECK(again->hasSetAside());
  CHECK(again->setAsideReason().empty());
}

TEST_CASE("A folder of another cell is not set aside", "[storage]") {
  testing::TemporaryFolder parent;
  const std::string folder = parent.file("data");
  writeThreeEntries(folder);
  StorageOptions options{folder, "other"};
  options.SetDamagedAside = true;
  std::mt19937_64 engine(1);
  const bool opened = boost::leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(ReplicaStorage::open(options, engine));
        return true;
      },
      [] { return false; });
  CHECK_FALSE(opened);
  CHECK_FALSE(std::filesystem::exists(folder + "/set-aside"));
}

TEST_CASE("A wiped folder gets another identity", "[storage]") {
  testing::TemporaryFolder parent;
  const std::string folder = parent.file("data");
  const auto first = openAt(folder)->id();
  CHECK(openAt(folder)->id() == first);
  std::filesystem::remove_all(folder);
  CHECK(openAt(folder)->id() != first);
}

TEST_CASE("A write without a free descriptor can be retried and loses nothing",
          "[storage]") {
  testing::TemporaryFolder parent;
  const std::string folder = parent.file("data");
  writeThreeEntries(folder);
  WriteBatch batch;
  batch.Hard = replication::HardState{7, std::nullopt, false};
  batch.Entries = {entry(4, 1, "fourth")};
  {
    // Each write starts a segment, for which a file is opened.
    auto storage = openAt(folder, "cell", 1);
    REQUIRE(storage);
    rlimit old{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &old) == 0);
    const int next = ::dup(0);
    REQUIRE(next >= 0);
    ::close(next);
    const rlimit used{static_cast<rlim_t>(next), old.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &used) == 0);
    const auto error = boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<StorageError>> {
          BOOST_LEAF_CHECK(storage->write(batch));
          return std::optional<StorageError>();
        },
        [](const StorageError &it) { return std::optional(it); },
        [] { return std::optional<StorageError>(); });
    REQUIRE(setrlimit(RLIMIT_NOFILE, &old) == 0);
    REQUIRE(error);
    CHECK(error->Kind == StorageErrorKind::NoDescriptor);
    CHECK(error->isRetryable());
    CHECK(storage->write(batch));
  }
  auto reopened = openAt(folder);
  REQUIRE(reopened);
  const RecoveredState state = reopened->takeRecovered();
  CHECK(state.Hard.Term == 7);
  REQUIRE(state.Entries.size() == 4);
  CHECK(state.Entries.back().data() == "fourth");
}

TEST_CASE("A write to a full disk fails and stored data is kept", "[storage]") {
  testing::TemporaryFolder parent;
  const std::string folder = parent.file("data");
  writeThreeEntries(folder);
  auto storage = openAt(folder);
  REQUIRE(storage);
  const auto oldHandler = std::signal(SIGXFSZ, SIG_IGN);
  rlimit old{};
  REQUIRE(getrlimit(RLIMIT_FSIZE, &old) == 0);
  const rlimit small{2000, old.rlim_max};
  REQUIRE(setrlimit(RLIMIT_FSIZE, &small) == 0);
  const auto kind = boost::leaf::try_handle_all(
      [&]() -> Result<std::optional<StorageErrorKind>> {
        BOOST_LEAF_CHECK(
            storage->write(batchOf({entry(4, 1, std::string(4000, 'x'))})));
        return std::optional<StorageErrorKind>();
      },
      [](const StorageError &error) { return std::optional(error.Kind); },
      [] { return std::optional<StorageErrorKind>(); });
  REQUIRE(setrlimit(RLIMIT_FSIZE, &old) == 0);
  std::signal(SIGXFSZ, oldHandler);
  CHECK(kind == StorageErrorKind::DiskFull);
  REQUIRE(storage->write(batchOf({entry(4, 1, std::string(4000, 'x'))})));
  storage = openAt(parent.file("elsewhere"));
  const RecoveredState state = openAt(folder)->takeRecovered();
  CHECK(state.Entries.size() == 4);
  CHECK_FALSE(state.Hard.Repairing);
}

} // namespace masticwinch::storage
