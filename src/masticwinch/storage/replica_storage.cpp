#include "masticwinch/storage/replica_storage.hpp"

#include "masticwinch/protocol/storage.pb.h"
#include "masticwinch/storage/record.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/pred.hpp>
#include <sys/stat.h>
#include <unistd.h>

#include <cstring>
#include <filesystem>
#include <utility>

namespace masticwinch::storage {

using replication::Membership;
using replication::ReplicaId;
using replication::Snapshot;

namespace {

constexpr std::uint32_t CurrentFormat = 1;
constexpr mode_t FolderMode = 0700;
constexpr char MetadataFile[] = "metadata";
constexpr char SnapshotFile[] = "snapshot";
constexpr char LockFile[] = "lock";
constexpr char AsideFolder[] = "set-aside";
constexpr std::size_t ChecksumBytes = sizeof(std::uint64_t);

/// Prepends a checksum to the bytes.
std::string addChecksum(const std::string &bytes) {
  const std::uint64_t checksum = payloadChecksum(bytes);
  std::string contents(ChecksumBytes, '\0');
  std::memcpy(contents.data(), &checksum, ChecksumBytes);
  return contents + bytes;
}

/// Returns the bytes after the checksum, or nothing if it does not match.
std::optional<std::string> stripChecksum(const std::string &contents) {
  if (contents.size() < ChecksumBytes) {
    return std::nullopt;
  }
  std::uint64_t checksum = 0;
  std::memcpy(&checksum, contents.data(), ChecksumBytes);
  std::string bytes = contents.substr(ChecksumBytes);
  return payloadChecksum(bytes) == checksum ? std::optional(std::move(bytes))
                                            : std::nullopt;
}

bool exists(const std::string &path) {
  std::error_code ec;
  return std::filesystem::exists(path, ec);
}

/// True for files that may exist in a folder that does not hold a replica yet.
bool isIgnorable(const std::string &name) {
  return name == LockFile || name == AsideFolder ||
         name == std::string(MetadataFile) + ".new";
}

Result<std::vector<std::string>> namesIn(const std::string &folder) {
  std::error_code ec;
  std::vector<std::string> names;
  std::filesystem::directory_iterator listed(folder, ec);
  if (ec) {
    return boost::leaf::new_error(
        StorageError{StorageErrorKind::Io, folder, "list: " + ec.message()});
  }
  for (const auto &it : listed) {
    names.push_back(it.path().filename().string());
  }
  return names;
}

/// Runs a check. Returns its error if the metadata is damaged, and propagates
/// other errors.
template <class Check>
Result<std::optional<StorageError>> metadataDamageOf(Check check) {
  using Damaged = boost::leaf::match_member<&StorageError::Kind,
                                            StorageErrorKind::MetadataDamaged>;
  return boost::leaf::try_handle_some(
      [&]() -> Result<std::optional<StorageError>> {
        BOOST_LEAF_CHECK(check());
        return std::optional<StorageError>();
      },
      [](Damaged found) -> Result<std::optional<StorageError>> {
        return std::optional(found.matched);
      });
}

} // namespace

ReplicaStorage::ReplicaStorage(StorageOptions options)
    : Options(std::move(options)), Log(Options.Folder, Options.SegmentBytes) {}

std::string ReplicaStorage::pathOf(const std::string &name) const {
  return Options.Folder + "/" + name;
}

Result<ReplicaStorage> ReplicaStorage::open(StorageOptions options,
                                            std::mt19937_64 &engine) {
  ReplicaStorage storage(std::move(options));
  BOOST_LEAF_CHECK(storage.prepareFolder());
  BOOST_LEAF_CHECK(storage.loadIdentity(engine));
  BOOST_LEAF_CHECK(storage.recover());
  return storage;
}

/// Reads the identity, or creates one.
Result<void> ReplicaStorage::loadIdentity(std::mt19937_64 &engine) {
  if (exists(pathOf(MetadataFile))) {
    BOOST_LEAF_AUTO(damage,
                    metadataDamageOf([this] { return readMetadata(); }));
    if (!damage) {
      return {};
    }
    BOOST_LEAF_CHECK(setAside(*damage));
  } else {
    BOOST_LEAF_AUTO(damage, metadataDamageOf([this] { return checkEmpty(); }));
    if (damage) {
      BOOST_LEAF_CHECK(setAside(*damage));
    }
  }
  return createIdentity(engine);
}

bool ReplicaStorage::hasSetAside() const { return exists(pathOf(AsideFolder)); }

/// Moves the folder's content into the `set-aside` subfolder to make room for a
/// new identity. Content that was set aside earlier is deleted.
Result<void> ReplicaStorage::setAside(const StorageError &reason) {
  if (!Options.SetDamagedAside) {
    return boost::leaf::new_error(reason);
  }
  const std::string aside = pathOf(AsideFolder);
  std::error_code ec;
  std::filesystem::remove_all(aside, ec);
  if (::mkdir(aside.c_str(), FolderMode) != 0) {
    return boost::leaf::new_error(systemError(aside, "make"));
  }
  BOOST_LEAF_AUTO(names, namesIn(Options.Folder));
  for (const std::string &it : names) {
    if (it != LockFile && it != AsideFolder &&
        ::rename(pathOf(it).c_str(), (aside + "/" + it).c_str()) != 0) {
      return boost::leaf::new_error(systemError(pathOf(it), "rename"));
    }
  }
  BOOST_LEAF_CHECK(syncFolder(aside));
  AsideReason = reason.text();
  return syncFolder(Options.Folder);
}

Result<void> ReplicaStorage::prepareFolder() {
  std::error_code ec;
  if (!exists(Options.Folder)) {
    std::filesystem::create_directories(
        std::filesystem::path(Options.Folder).parent_path(), ec);
    if (::mkdir(Options.Folder.c_str(), FolderMode) != 0) {
      return boost::leaf::new_error(systemError(Options.Folder, "make"));
    }
  }
  struct stat status {};
  if (::stat(Options.Folder.c_str(), &status) != 0) {
    return boost::leaf::new_error(systemError(Options.Folder, "stat"));
  }
  Shared = status.st_uid != ::geteuid() ||
           (status.st_mode & (S_IWGRP | S_IWOTH)) != 0;
  if (!S_ISDIR(status.st_mode) || (Shared && !Options.SharedFolder)) {
    return boost::leaf::new_error(StorageError{
        StorageErrorKind::Permissions, Options.Folder,
        "must be a folder of this user that no other user can write to"});
  }
  BOOST_LEAF_ASSIGN(Lock, File::openForAppend(pathOf(LockFile)));
  return Lock.lock();
}

/// Fails if the folder holds files that only a replica with an identity has.
Result<void> ReplicaStorage::checkEmpty() const {
  BOOST_LEAF_AUTO(names, namesIn(Options.Folder));
  for (const std::string &it : names) {
    if (!isIgnorable(it)) {
      return boost::leaf::new_error(
          StorageError{StorageErrorKind::MetadataDamaged, Options.Folder,
                       "holds " + it + " but no metadata"});
    }
  }
  return {};
}

Result<void> ReplicaStorage::createIdentity(std::mt19937_64 &engine) {
  Id = {engine(), engine()};
  Empty = true;
  return writeMetadata();
}

Result<void> ReplicaStorage::readMetadata() {
  const std::string path = pathOf(MetadataFile);
  BOOST_LEAF_AUTO(contents, readFile(path));
  const auto bytes = stripChecksum(contents);
  protocol::StoredMetadata stored;
  if (!bytes || !stored.ParseFromString(*bytes)) {
    return boost::leaf::new_error(
        StorageError{StorageErrorKind::MetadataDamaged, path,
                     "checksum mismatch; the identity must not be used "
                     "again: set the folder aside and join as a new replica"});
  }
  if (stored.format() > CurrentFormat) {
    return boost::leaf::new_error(StorageError{
        StorageErrorKind::NewerFormat, path,
        "format " + std::to_string(stored.format()) +
            " is newer than this program's " + std::to_string(CurrentFormat)});
  }
  if (stored.cluster() != Options.Cluster) {
    return boost::leaf::new_error(StorageError{
        StorageErrorKind::OtherCluster, path,
        "belongs to cluster " + stored.cluster() + ", not " + Options.Cluster});
  }
  Id = {stored.id_high(), stored.id_low()};
  Hard.Term = stored.term();
  Hard.Repairing = stored.repairing();
  if (stored.voted()) {
    Hard.Vote = ReplicaId{stored.vote_high(), stored.vote_low()};
  }
  return {};
}

Result<void> ReplicaStorage::writeMetadata() {
  protocol::StoredMetadata stored;
  stored.set_format(CurrentFormat);
  stored.set_cluster(Options.Cluster);
  stored.set_id_high(Id.High);
  stored.set_id_low(Id.Low);
  stored.set_term(Hard.Term);
  stored.set_repairing(Hard.Repairing);
  if (Hard.Vote) {
    stored.set_voted(true);
    stored.set_vote_high(Hard.Vote->High);
    stored.set_vote_low(Hard.Vote->Low);
  }
  return replaceFile(Options.Folder, MetadataFile,
                     addChecksum(stored.SerializeAsString()));
}

/// Reads the snapshot and the log. The flag that the replica needs repair is
/// made durable before any damaged data is truncated.
Result<void> ReplicaStorage::recover() {
  BOOST_LEAF_CHECK(recoverSnapshot());
  BOOST_LEAF_AUTO(found, Log.scan());
  const std::uint64_t snapshotIndex =
      Recovered.LastSnapshot ? Recovered.LastSnapshot->Index : 0;
  const bool gap = found.BaseIndex > snapshotIndex;
  if ((found.Damaged || gap) && !Hard.Repairing) {
    Hard.Repairing = true;
  }
  if (Hard.Repairing) {
    BOOST_LEAF_CHECK(writeMetadata());
  }
  BOOST_LEAF_CHECK(Log.truncateInvalid());
  if (gap) {
    found = {};
    found.BaseIndex = snapshotIndex;
    found.BaseTerm = Recovered.LastSnapshot ? Recovered.LastSnapshot->Term : 0;
    BOOST_LEAF_CHECK(Log.reset(found.BaseIndex, found.BaseTerm));
  }
  NextBatch = Log.lastBatch() + 1;
  Recovered.Hard = Hard;
  Recovered.Entries = std::move(found.Entries);
  Recovered.BaseIndex = found.BaseIndex;
  Recovered.BaseTerm = found.BaseTerm;
  Empty = Recovered.Entries.empty() && !Recovered.LastSnapshot &&
          !Hard.Repairing && Hard.Term == 0;
  return {};
}

Result<void> ReplicaStorage::recoverSnapshot() {
  const std::string path = pathOf(SnapshotFile);
  if (!exists(path)) {
    return {};
  }
  BOOST_LEAF_AUTO(contents, readFile(path));
  const auto bytes = stripChecksum(contents);
  protocol::StoredSnapshot stored;
  if (!bytes || !stored.ParseFromString(*bytes)) {
    Hard.Repairing = true;
    return {};
  }
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->Index = stored.index();
  snapshot->Term = stored.term();
  snapshot->Members = Membership::fromMessage(stored.membership());
  snapshot->Checksum = stored.checksum();
  snapshot->Data = std::move(*stored.mutable_data());
  Recovered.LastSnapshot = std::move(snapshot);
  return {};
}

Result<void> ReplicaStorage::writeSnapshot(const Snapshot &snapshot) {
  protocol::StoredSnapshot stored;
  stored.set_index(snapshot.Index);
  stored.set_term(snapshot.Term);
  *stored.mutable_membership() = snapshot.Members.toMessage();
  stored.set_checksum(snapshot.Checksum);
  stored.set_data(snapshot.Data);
  return replaceFile(Options.Folder, SnapshotFile,
                     addChecksum(stored.SerializeAsString()));
}

Result<void> ReplicaStorage::write(const replication::WriteBatch &batch) {
  if (batch.NewSnapshot) {
    BOOST_LEAF_CHECK(writeSnapshot(*batch.NewSnapshot));
    if (batch.ResetLog) {
      BOOST_LEAF_CHECK(
          Log.reset(batch.NewSnapshot->Index, batch.NewSnapshot->Term));
    } else {
      BOOST_LEAF_CHECK(Log.discardThrough(batch.DiscardThrough));
    }
  }
  if (batch.Hard) {
    Hard = *batch.Hard;
    BOOST_LEAF_CHECK(writeMetadata());
  }
  BOOST_LEAF_CHECK(Log.append(batch.Entries, NextBatch));
  ++NextBatch;
  return {};
}

} // namespace masticwinch::storage
