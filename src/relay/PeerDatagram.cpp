#include "PeerDatagram.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

#include <msgpack.hpp>

#include "poplartrack/wire/BoundedUnpack.h"

namespace poplartrack {
namespace {

/** Returns the format version of a datagram, its first field; 0 if there is
 * none. */
std::uint32_t
formatOf(const msgpack::object& aDatagram)
{
  const bool hasFormat =
    aDatagram.type == msgpack::type::ARRAY && aDatagram.via.array.size > 0;
  return hasFormat ? aDatagram.via.array.ptr[0].as<std::uint32_t>() : 0;
}

template<typename Row>
void
cutTo(std::vector<Row>& aRows, std::size_t aMost)
{
  if (aRows.size() > aMost) {
    aRows.resize(aMost);
  }
}

/** Drops rows beyond the bounds that senders keep, so that a faulty relay
 * cannot make the others spend their time on its rows. */
void
boundRows(PeerStatus& aStatus)
{
  cutTo(aStatus.accounts, kMaxAccountRows);
  cutTo(aStatus.demand, kMaxDemandRows);
  cutTo(aStatus.returns, kMaxReturnRows);
  cutTo(aStatus.releases, kMaxReleaseRows);
  cutTo(aStatus.ejected, kMaxEjectedRows);
}

PeerDatagram
parse(std::string_view aBytes)
{
  std::size_t at = 0;
  const msgpack::object_handle first = unpackBounded(aBytes, at);
  if (formatOf(first.get()) == kListUpdateFormat) {
    return first.get().as<ReplicaListUpdate>();
  }
  PeerMessage message;
  first.get().convert(message.status);
  boundRows(message.status);
  unpackBounded(aBytes, at).get().convert(message.echo);
  if (at < aBytes.size()) {
    unpackBounded(aBytes, at).get().convert(message.forward);
  }
  return message;
}

/** Adds to an age that another relay sent. */
void
addAge(std::int64_t& aAge, std::int64_t aMore)
{
  aAge =
    std::min(aAge, std::numeric_limits<std::int64_t>::max() - aMore) + aMore;
}

std::string
toString(const msgpack::sbuffer& aBuffer)
{
  return { aBuffer.data(), aBuffer.size() };
}

/** Packs a section with rows that are packed already. */
std::string
packSection(bool aWanted, std::uint32_t aRows, std::string_view aRowBytes)
{
  constexpr std::uint32_t kFields = 2;
  msgpack::sbuffer bytes;
  msgpack::packer packer{ bytes };
  packer.pack_array(kFields);
  packer.pack(aWanted);
  packer.pack_array(aRows);
  bytes.write(aRowBytes.data(), aRowBytes.size());
  return toString(bytes);
}

} // namespace

bool
isKnownFormat(const PeerStatus& aStatus)
{
  return aStatus.format == kPeerStatusFormat ||
         aStatus.format == kPeerNoticeFormat;
}

std::optional<PeerDatagram>
parsePeerDatagram(std::string_view aBytes)
{
  try {
    return parse(aBytes);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::optional<ReceivedForward>
checkForwarded(ForwardedStatus aRow, std::string_view aZone)
{
  const Result<Address> sender = addressFromText(aRow.sender);
  if (!sender || sender.value().port == 0 || aRow.age < 0 ||
      Duration{ aRow.age } > kMaxForwardAge || !isKnownFormat(aRow.status) ||
      aRow.status.zone == aZone) {
    return std::nullopt;
  }
  PeerStatus& status = aRow.status;
  if (status.configAge >= 0) {
    addAge(status.configAge, aRow.age);
  }
  for (CrashRow& row : status.crashes) {
    addAge(row.age, aRow.age);
  }
  for (QuarantineRow& row : status.quarantine) {
    addAge(row.age, aRow.age);
  }
  for (LimitRow& row : status.limits) {
    addAge(row.age, aRow.age);
  }
  boundRows(status);
  constexpr std::int64_t kMicrosPerMs = 1'000;
  const auto ageMs = static_cast<std::uint32_t>(aRow.age / kMicrosPerMs);
  for (ReturnRow& row : status.returns) {
    row.dueMs -= std::min(row.dueMs, ageMs);
  }
  return ReceivedForward{ sender.value(),
                          Duration{ aRow.age },
                          std::move(status) };
}

bool
isNewer(const PeerEcho& aKnown, Duration aSilence, const PeerStatus& aStatus)
{
  return aKnown.incarnation == aStatus.incarnation
           ? aStatus.sentAt > aKnown.sentAt
           : aSilence > kMinRestartSilence;
}

std::string
packForwarded(StatusQueue& aQueue, TimePoint aNow)
{
  std::vector<StatusQueue::Entry> entries = aQueue.take();
  std::sort(
    entries.begin(),
    entries.end(),
    [](const StatusQueue::Entry& aOne, const StatusQueue::Entry& aOther) {
      return aOne.receivedAt < aOther.receivedAt;
    });
  msgpack::sbuffer rows;
  std::uint32_t count = 0;
  for (StatusQueue::Entry& entry : entries) {
    const Duration age = aNow - entry.receivedAt;
    if (age > kMaxForwardAge) {
      continue;
    }
    msgpack::sbuffer row;
    msgpack::pack(
      row, ForwardedStatus{ toText(entry.sender), age.count(), entry.status });
    if (rows.size() + row.size() > kMaxForwardedBytes) {
      aQueue.push(entry.sender, std::move(entry.status), entry.receivedAt);
      continue;
    }
    rows.write(row.data(), row.size());
    ++count;
  }
  return count == 0 ? std::string{}
                    : packSection(false, count, { rows.data(), rows.size() });
}

std::string
packForwardRequest()
{
  return packSection(true, 0, {});
}

} // namespace poplartrack
