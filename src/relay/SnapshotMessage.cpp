#include "SnapshotMessage.h"

#include <utility>

#include "poplartrack/wire/BoundedUnpack.h"

namespace poplartrack {
namespace {

/** Returns the list of a snapshot as a poll of the whole list. */
Result<ReplicaPoll>
listFrom(const ReplicaListUpdate& aUpdate)
{
  std::optional<ReplicaListDelta> delta = toListDelta(aUpdate);
  if (!delta) {
    return fail(ErrorKind::Malformed, "the address of a replica");
  }
  delta->poll.fullSnapshot = true;
  return std::move(delta->poll);
}

Result<FleetSnapshot>
fromMessage(SnapshotMessage aMessage)
{
  if (aMessage.format != kSnapshotFormat) {
    return fail(ErrorKind::Malformed, "a snapshot of another format");
  }
  FleetSnapshot snapshot;
  snapshot.configVersion = aMessage.configVersion;
  snapshot.configText = std::move(aMessage.configText);
  if (aMessage.configAge >= 0) {
    snapshot.configAge = Duration{ aMessage.configAge };
  }
  if (aMessage.hasReplicas) {
    Result<ReplicaPoll> list = listFrom(aMessage.replicas);
    if (!list) {
      return list.error();
    }
    snapshot.replicas = std::move(list).value();
  }
  for (const std::string& relay : aMessage.relays) {
    const Result<Address> address = addressFromText(relay);
    if (!address || address.value().port == 0) {
      return fail(ErrorKind::Malformed, "the address of a relay");
    }
    snapshot.relays.push_back(address.value());
  }
  return snapshot;
}

} // namespace

std::string
encodeSnapshot(const FleetSnapshot& aSnapshot)
{
  SnapshotMessage message;
  message.configVersion = aSnapshot.configVersion;
  message.configText = aSnapshot.configText;
  message.configAge = aSnapshot.configAge.value_or(Duration{ -1 }).count();
  message.hasReplicas = aSnapshot.replicas.has_value();
  if (aSnapshot.replicas) {
    message.replicas = toListUpdate(ReplicaListDelta{ 0, *aSnapshot.replicas });
  }
  for (const Address& relay : aSnapshot.relays) {
    message.relays.push_back(toText(relay));
  }
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, message);
  return { bytes.data(), bytes.size() };
}

Result<FleetSnapshot>
decodeSnapshot(std::string_view aBytes)
{
  SnapshotMessage message;
  try {
    std::size_t at = 0;
    const msgpack::object_handle object = unpackBounded(aBytes, at);
    if (at != aBytes.size()) {
      return fail(ErrorKind::Malformed, "bytes after the snapshot");
    }
    object.get().convert(message);
  } catch (const std::exception&) {
    return fail(ErrorKind::Malformed, "no snapshot");
  }
  return fromMessage(std::move(message));
}

} // namespace poplartrack
