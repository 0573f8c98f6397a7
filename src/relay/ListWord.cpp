#include "ListWord.h"

namespace poplartrack {
namespace {

ReplicaRow
rowOf(const Replica& aReplica)
{
  ReplicaRow row;
  row.registeredAs = aReplica.registeredAs;
  row.born = aReplica.born;
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
replicaOf(const ReplicaRow& aRow)
{
  const Result<Address> address = addressFromText(aRow.address);
  if (!address) {
    return std::nullopt;
  }
  Replica replica;
  replica.id = replicaId(aRow.registeredAs, aRow.born);
  replica.registeredAs = aRow.registeredAs;
  replica.born = aRow.born;
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

ListWord
listWord(const ListNews& aNews)
{
  ListWord word;
  word.after = aNews.after;
  word.next = aNews.poll.next;
  word.changed = aNews.poll.changed;
  for (const Replica& replica : aNews.poll.present) {
    word.present.push_back(rowOf(replica));
  }
  word.gone = aNews.poll.gone;
  for (const UnreadableEntry& entry : aNews.poll.unreadable) {
    word.unreadable.push_back(entry.name);
  }
  return word;
}

std::optional<ListNews>
newsOf(const ListWord& aWord)
{
  ListNews news;
  news.after = aWord.after;
  news.poll.next = aWord.next;
  news.poll.changed = aWord.changed;
  for (const ReplicaRow& row : aWord.present) {
    std::optional<Replica> replica = replicaOf(row);
    if (!replica) {
      return std::nullopt;
    }
    news.poll.present.push_back(std::move(*replica));
  }
  news.poll.gone = aWord.gone;
  for (const std::string& name : aWord.unreadable) {
    news.poll.unreadable.push_back(
      UnreadableEntry{ name, "another relay cannot read it" });
  }
  return news;
}

} // namespace poplartrack
