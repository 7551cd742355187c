#include "masticwinch/storage/replica_storage.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include "tests/storage/refusing_disk.hpp"
#include "tests/storage/temporary_folder.hpp"
#include <memory>
#include <optional>

namespace masticwinch::storage {

namespace {

using replication::RecoveredState;
using replication::Snapshot;
using replication::WriteBatch;
using testing::RefusingDisk;

constexpr std::uint64_t SegmentBytes = 600;

WriteBatch batchOf(std::uint64_t index, std::size_t bytes = 200) {
  WriteBatch batch;
  protocol::LogEntry &entry = batch.Entries.emplace_back();
  entry.set_index(index);
  entry.set_term(1);
  entry.set_kind(protocol::COMMAND);
  entry.set_data(std::string(bytes, static_cast<char>('a' + index % 26)));
  return batch;
}

Result<ReplicaStorage> openAt(const std::string &folder) {
  std::mt19937_64 engine(7);
  return ReplicaStorage::open({folder, "cell", SegmentBytes}, engine);
}

/// Writes a batch while the disk refuses operations; returns the error.
std::optional<StorageError> errorOf(ReplicaStorage &storage,
                                    const WriteBatch &batch,
                                    RefusingDisk::Refused refused) {
  const RefusingDisk disk(refused);
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::optional<StorageError>> {
        BOOST_LEAF_CHECK(storage.write(batch));
        return std::optional<StorageError>();
      },
      [](const StorageError &error) { return std::optional(error); },
      [] { return std::optional<StorageError>(); });
}

/// A replica's folder with three entries.
struct Fixture {
  Fixture() {
    auto opened = openAt(Folder);
    REQUIRE(opened);
    Storage.emplace(std::move(opened.value()));
    for (std::uint64_t i = 1; i <= 3; ++i) {
      REQUIRE(Storage->write(batchOf(i)));
    }
  }

  RecoveredState reopen() {
    Storage.reset();
    auto opened = openAt(Folder);
    REQUIRE(opened);
    Storage.emplace(std::move(opened.value()));
    return Storage->takeRecovered();
  }

  testing::TemporaryFolder Parent;
  std::string Folder = Parent.file("data");
  std::optional<ReplicaStorage> Storage;
};

} // namespace

// Guards against a log that is damaged by the retry of a torn append.
TEST_CASE("An append that a full disk tore is repeated without damage although "
          "the disk refused to truncate",
          "[storage]") {
  Fixture fixture;
  for (int i = 0; i < 3; ++i) {
    const auto error = errorOf(*fixture.Storage, batchOf(4), {30, true, false});
    REQUIRE(error);
    CHECK(error->isRetryable());
  }
  REQUIRE(fixture.Storage->write(batchOf(4)));
  REQUIRE(fixture.Storage->write(batchOf(5)));
  const RecoveredState state = fixture.reopen();
  CHECK(state.Entries.size() == 5);
  CHECK_FALSE(state.Hard.Repairing);
}

// Guards against a process that ends because its disk is full for a while.
TEST_CASE("An append whose sync a full disk refused is repeated", "[storage]") {
  Fixture fixture;
  const bool truncates = GENERATE(false, true);
  const auto error =
      errorOf(*fixture.Storage, batchOf(4), {10'000, truncates, true});
  REQUIRE(error);
  CHECK(error->Kind == StorageErrorKind::DiskFull);
  REQUIRE(fixture.Storage->write(batchOf(4)));
  const RecoveredState state = fixture.reopen();
  CHECK(state.Entries.size() == 4);
  CHECK_FALSE(state.Hard.Repairing);
}

// Guards against a vote or snapshot file that begins with bytes of a failed
// attempt.
TEST_CASE("A vote and a snapshot that a full disk refused are written later",
          "[storage]") {
  Fixture fixture;
  WriteBatch batch = batchOf(5);
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->Index = 4;
  snapshot->Term = 1;
  snapshot->Data = std::string(500, 's');
  batch.NewSnapshot = snapshot;
  batch.ResetLog = true;
  batch.Hard = {7, fixture.Storage->id(), false};
  // The disk fills up at each place of the write.
  for (std::size_t left = 0; left < 1000; left += 50) {
    const auto error =
        errorOf(*fixture.Storage, batch, {left, left % 100 == 0, false});
    if (error) {
      CHECK(error->isRetryable());
    }
  }
  REQUIRE(fixture.Storage->write(batch));
  const RecoveredState state = fixture.reopen();
  REQUIRE(state.LastSnapshot);
  CHECK(state.LastSnapshot->Data == snapshot->Data);
  CHECK(state.Hard.Term == 7);
  REQUIRE(state.Entries.size() == 1);
  CHECK(state.Entries.front().index() == 5);
  CHECK_FALSE(state.Hard.Repairing);
}

TEST_CASE(
    "A log that a full disk interrupts again and again holds all that was "
    "written",
    "[storage]") {
  const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  Fixture fixture;
  std::mt19937_64 random(seed);
  const std::uint64_t last = 60;
  for (std::uint64_t i = 4; i <= last; ++i) {
    const std::size_t bytes = random() % 400;
    while (random() % 2 == 0) {
      const auto error =
          errorOf(*fixture.Storage, batchOf(i, bytes),
                  {random() % 600, random() % 2 == 0, random() % 2 == 0});
      if (error) {
        REQUIRE(error->isRetryable());
      }
    }
    REQUIRE(fixture.Storage->write(batchOf(i, bytes)));
    if (random() % 8 == 0) {
      const RecoveredState state = fixture.reopen();
      REQUIRE(state.Entries.back().index() == i);
      REQUIRE_FALSE(state.Hard.Repairing);
    }
  }
  const RecoveredState state = fixture.reopen();
  REQUIRE(state.Entries.size() == last);
  CHECK_FALSE(state.Hard.Repairing);
}

} // namespace masticwinch::storage
