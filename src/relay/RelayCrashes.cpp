// Requests under which replicas end: noticing them, telling the other relays,
// and sending them to no replica any more.

#include <algorithm>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** A request whose first event came no longer ago than this had just begun. */
constexpr Duration kJustBegun = std::chrono::milliseconds{ 1'000 };

/** What was served before is tried again once replicas that crashed are back;
 * one relay after the other, so that few replicas end if it was to blame. */
constexpr Duration kTrialAfter = std::chrono::seconds{ 5 };
constexpr Duration kTrialApart = std::chrono::seconds{ 5 };

/** Ends of replicas that one word tells of. */
constexpr std::size_t kMostCrashRows = 64;

/** Records of the quarantine that one word tells of, the latest first: older
 * ones have been told, and the store keeps them. */
constexpr std::size_t kMostQuarantineRows = 64;

} // namespace

/** The connection under an attempt has ended. If its replica has too, the
 * request may have done that. A replica that leaves ends as planned; one that
 * falls silent is rather cut off. */
void
RelayLoop::Impl::watchCrash(Exchange& aExchange, ConnectionEnd aEnd)
{
  const bool planned = this->drainingSince.contains(aExchange.replica);
  if (planned || !this->mayHaveRun(aExchange)) {
    return;
  }
  const bool justBegun =
    !aExchange.runningSince || this->now - *aExchange.runningSince < kJustBegun;
  const bool early = justBegun && aEnd == ConnectionEnd::Closed;
  this->crashWatch.onBroken(
    CrashReport{ contentOf(aExchange), aExchange.replica, early }, this->now);
}

/**
 * Whether a replica has certainly ended. This relay alone may be the one that
 * is cut off: what breaks off then is nobody's doing, so two relays have to
 * miss the replica, or the list.
 */
bool
RelayLoop::Impl::hasEnded(const std::string& aReplica) const
{
  // However many relays there are, two decide.
  constexpr std::size_t kAsOfFew = 1;
  return this->ended.contains(aReplica) ||
         this->replicaOf(aReplica) == nullptr ||
         this->reports.lost(
           aReplica, this->health.dead(aReplica, this->now), kAsOfFew);
}

/** Enters the ends that are certain by now. */
void
RelayLoop::Impl::confirmCrashes()
{
  for (const std::string& replica : this->crashWatch.replicas()) {
    const Replica* listed = this->replicaOf(replica);
    if (listed != nullptr && listed->draining) {
      // It ends as planned.
      this->crashWatch.forget(replica);
      continue;
    }
    if (!this->hasEnded(replica)) {
      continue;
    }
    for (const CrashReport& report :
         this->crashWatch.onCrashed(replica, this->recentlyServed, this->now)) {
      this->shared.metrics.count("requests_at_ended_replicas_total");
      if (this->crashes.onCrash(report, CrashSource::Own, this->now)) {
        this->onQuarantine(report.request, true);
      }
    }
  }
  this->crashWatch.expire(this->now);
}

/** A request is in quarantine from now on. */
void
RelayLoop::Impl::onQuarantine(const Fingerprint& aRequest, bool aOwn)
{
  this->shared.log.write(LogLine{ LogPart::Quarantine, "began" }
                           .with("content", toText(aRequest))
                           .with("own", aOwn ? 1 : 0));
  if (this->recentlyServed.lastServed(aRequest, this->now)) {
    const std::size_t before = this->trialRank(aRequest);
    this->crashes.allowTrial(aRequest,
                             this->now + kTrialAfter +
                               kTrialApart * static_cast<int>(before));
  }
  this->publishQuarantine();
  // Not from here: a request that looks for a path may have brought the news.
  this->post([this, aRequest, aOwn] {
    if (aOwn) {
      this->broadcastStatus(true);
    }
    this->stopQuarantined(aRequest);
  });
}

/** How many relays come before this one, in an order for the request that all
 * agree on. */
std::size_t
RelayLoop::Impl::trialRank(const Fingerprint& aRequest) const
{
  const auto rank = [&](const Address& aRelay) {
    return std::hash<std::string>{}(toText(aRelay) + toText(aRequest));
  };
  const std::size_t own = rank(this->localPeers);
  return static_cast<std::size_t>(std::count_if(
    this->knownPeers.begin(), this->knownPeers.end(), [&](const auto& aEntry) {
      return rank(aEntry.first) < own;
    }));
}

/** Takes a request off the replicas that have not begun to run it yet. */
void
RelayLoop::Impl::stopQuarantined(const Fingerprint& aRequest)
{
  std::vector<std::uint64_t> notBegun;
  for (const auto& [id, exchange] : this->exchanges) {
    const bool begun = exchange->runningSince.has_value();
    if (exchange->connection != 0 && !begun &&
        contentOf(*exchange) == aRequest) {
      notBegun.push_back(id);
    }
  }
  for (const std::uint64_t id : notBegun) {
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
      // The end of another one has ended it too.
      continue;
    }
    Exchange& exchange = *found->second;
    this->dropAttempt(exchange, this->mayHaveRun(exchange));
    this->refuseQuarantined(exchange);
  }
}

/** How long the request is sent to no replica; nothing when it may be. */
std::optional<Duration>
RelayLoop::Impl::quarantineLeft(Exchange& aExchange) const
{
  if (this->crashes.empty()) {
    return std::nullopt;
  }
  return this->crashes.quarantineLeft(contentOf(aExchange), this->now);
}

void
RelayLoop::Impl::refuseQuarantined(Exchange& aExchange)
{
  this->refuse(aExchange,
               Error{ ErrorKind::Quarantined, toText(contentOf(aExchange)) },
               aExchange.runs == 0);
}

/** A replica has run the request to a good end. */
void
RelayLoop::Impl::noteServed(Exchange& aExchange)
{
  const Fingerprint& request = contentOf(aExchange);
  this->recentlyServed.onServed(request, this->now);
  if (this->crashes.onServed(request, this->now)) {
    this->onReleased(request);
  }
}

void
RelayLoop::Impl::onReleased(const Fingerprint& aRequest)
{
  this->shared.log.write(LogLine{ LogPart::Quarantine, "released" }.with(
    "content", toText(aRequest)));
  this->publishQuarantine();
}

/** For the thread that keeps the quarantine in the store. */
void
RelayLoop::Impl::publishQuarantine()
{
  auto records = std::make_shared<const std::vector<QuarantineRecord>>(
    this->crashes.quarantine(this->now));
  this->shared.metrics.set("requests_quarantined",
                           static_cast<std::int64_t>(records->size()));
  this->shared.quarantine.replace(std::move(records));
}

/** Takes over what the store keeps, and forgets what is over. */
void
RelayLoop::Impl::refreshQuarantine()
{
  const auto stored = this->shared.quarantineStored.read();
  if (stored != this->quarantineRead) {
    this->quarantineRead = stored;
    for (const Fingerprint& request : *stored) {
      if (this->crashes.onQuarantined(request, Duration{ 0 }, this->now)) {
        this->onQuarantine(request, false);
      }
    }
  }
  this->confirmCrashes();
  const std::size_t before = this->shared.quarantine.read()->size();
  this->crashes.expire(this->now);
  if (this->crashes.quarantine(this->now).size() != before) {
    this->publishQuarantine();
  }
}

void
RelayLoop::Impl::addCrashes(PeerStatus& aStatus) const
{
  for (CrashReport& report :
       this->crashes.latestCrashes(this->now, kMostCrashRows)) {
    aStatus.crashes.push_back(
      CrashRow{ report.request, std::move(report.replica), report.early });
  }
  std::vector<QuarantineRecord> records = this->crashes.quarantine(this->now);
  std::sort(records.begin(),
            records.end(),
            [](const QuarantineRecord& aLeft, const QuarantineRecord& aRight) {
              return aLeft.age < aRight.age;
            });
  records.resize(std::min(records.size(), kMostQuarantineRows));
  for (const QuarantineRecord& record : records) {
    aStatus.quarantine.push_back(
      QuarantineRow{ record.request, record.age.count() });
  }
  aStatus.served = this->crashes.latestServed(this->now);
}

void
RelayLoop::Impl::onPeerCrashes(const PeerStatus& aStatus)
{
  for (const Fingerprint& request : aStatus.served) {
    if (this->crashes.onServed(request, this->now)) {
      this->onReleased(request);
    }
  }
  for (const CrashRow& row : aStatus.crashes) {
    const CrashReport report{ row.request, row.replica, row.early };
    if (this->crashes.onCrash(report, CrashSource::Peer, this->now)) {
      this->onQuarantine(row.request, false);
    }
  }
  for (const QuarantineRow& row : aStatus.quarantine) {
    if (this->crashes.onQuarantined(
          row.request, Duration{ row.age }, this->now)) {
      this->onQuarantine(row.request, false);
    }
  }
}

} // namespace poplartrack
