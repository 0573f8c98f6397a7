#include "ReplicaListUpdate.h"

namespace poplartrack {
namespace {

ReplicaRow
toRow(const Replica& aReplica)
{
  ReplicaRow row;
  row.registeredAs = aReplica.registeredAs;
  row.startedAtMs = aReplica.startedAtMs;
  row.service = aReplica.service;
  row.address = toText(aReplica.address);
  row.zone = aReplica.zone;
  row.slots = aReplica.slots;
  row.draining = aReplica.draining;
  row.kind = aReplica.kind;
  row.placed = aReplica.layers.has_value();
  row.layers = aReplica.layers.value_or(LayerRange{});
  row.weights = aReplica.weights;
  return row;
}

std::optional<Replica>
toReplica(const ReplicaRow& aRow)
{
  const Result<Address> address = addressFromText(aRow.address);
  if (!address) {
    return std::nullopt;
  }
  Replica replica;
  replica.id = replicaId(aRow.registeredAs, aRow.startedAtMs);
  replica.registeredAs = aRow.registeredAs;
  replica.startedAtMs = aRow.startedAtMs;
  replica.service = aRow.service;
  replica.address = address.value();
  replica.zone = aRow.zone;
  replica.slots = aRow.slots;
  replica.draining = aRow.draining;
  replica.kind = aRow.kind;
  if (aRow.placed) {
    replica.layers = aRow.layers;
  }
  replica.weights = aRow.weights;
  return replica;
}

} // namespace

ReplicaListUpdate
toListUpdate(const ReplicaListDelta& aDelta)
{
  ReplicaListUpdate update;
  update.after = aDelta.after;
  update.next = aDelta.poll.next;
  update.changed = aDelta.poll.lastChange;
  for (const Replica& replica : aDelta.poll.present) {
    update.present.push_back(toRow(replica));
  }
  update.removed = aDelta.poll.removed;
  for (const UnreadableEntry& entry : aDelta.poll.unreadable) {
    update.unreadable.push_back(entry.name);
  }
  return update;
}

std::optional<ReplicaListDelta>
toListDelta(const ReplicaListUpdate& aUpdate)
{
  ReplicaListDelta delta;
  delta.after = aUpdate.after;
  delta.poll.next = aUpdate.next;
  delta.poll.lastChange = aUpdate.changed;
  for (const ReplicaRow& row : aUpdate.present) {
    std::optional<Replica> replica = toReplica(row);
    if (!replica) {
      return std::nullopt;
    }
    delta.poll.present.push_back(std::move(*replica));
  }
  delta.poll.removed = aUpdate.removed;
  for (const std::string& name : aUpdate.unreadable) {
    delta.poll.unreadable.push_back(
      UnreadableEntry{ name, "another relay cannot read it" });
  }
  return delta;
}

} // namespace poplartrack
