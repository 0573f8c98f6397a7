// Rejected callers: when they are told to return, and how they are recognized.

#include <algorithm>

#include "RelayLoopImpl.h"
#include "poplartrack/admit/AccountShares.h"

namespace poplartrack {
namespace {

/** Returns that are due within the interval of status messages are sent to the
 * peers at once, since the callers arrive there before the next message. This
 * is the shortest time between two such messages: a relay that stops rejects
 * all its callers within a second. */
constexpr Duration kMinReturnsInterval = std::chrono::milliseconds{ 50 };
constexpr Duration kSoon = std::chrono::milliseconds{ 200 };

/** The urgency of a request that was rejected before its route was known. */
constexpr int kUnknownUrgency = 9;

constexpr std::int64_t kMicrosPerMs = 1'000;

/** Returns the part of a content's fingerprint that status messages carry. */
std::uint32_t
shortContent(const Fingerprint& aContent)
{
  return static_cast<std::uint32_t>(aContent.low);
}

std::uint16_t
serviceOf(const Exchange& aExchange)
{
  return serviceHash(aExchange.service == nullptr ? ""
                                                  : aExchange.service->name);
}

} // namespace

/** Returns the delay after which a rejected caller should return, and books its
 * return. */
Duration
RelayLoop::Impl::adviseReturn(Exchange& aExchange, const RefusalState& aState)
{
  if (!this->settings.load.returnBookings) {
    return retryAdvice(aState);
  }
  if (aExchange.returnedAfterDue) {
    this->shared.metrics.count("returns_refused_again_total");
  }
  if (aExchange.account == nullptr && aExchange.config != nullptr) {
    // The content includes the account. A request that is rejected before its
    // admission must have the same content as the one that returns.
    aExchange.account = aExchange.config->accountFor(std::string{
      aExchange.head.headers.find(this->names.apiKey).value_or("") });
  }
  const std::uint16_t service = serviceOf(aExchange);
  const ReturnRequest request{
    service,
    aExchange.account == nullptr ? 0 : accountHash(aExchange.account->name),
    aExchange.route == nullptr ? kUnknownUrgency : urgencyOf(aExchange),
    aState.jitterSeed
  };
  aExchange.booking =
    bookRetry(aState, request, this->returnState.schedule, this->now);
  if (!aExchange.booking) {
    return retryAdvice(aState);
  }
  const TimePoint due = aExchange.booking->due;
  this->shared.metrics.count("returns_booked_total");
  this->returnState.expected.add(
    shortContent(this->contentFingerprint(aExchange)), service, due, this->now);
  const Duration delay = due - this->now;
  if (delay < kSoon &&
      this->now - this->returnState.sentAt >= kMinReturnsInterval) {
    this->returnState.sentAt = this->now;
    this->post([this] { this->broadcastStatus(); });
  }
  return delay;
}

/** Finds out whether an admitted request is the return of a caller that was
 * told to. The content is hashed only while returns are expected. */
void
RelayLoop::Impl::recognizeReturn(Exchange& aExchange)
{
  if (!this->settings.load.returnBookings) {
    return;
  }
  if (!this->returnState.expected.empty()) {
    aExchange.returnedAfterDue = this->returnState.expected.take(
      shortContent(this->contentFingerprint(aExchange)), this->now);
  }
  if (!aExchange.returnedAfterDue) {
    this->returnState.schedule.onNewRequest(serviceOf(aExchange), this->now);
    return;
  }
  this->shared.metrics.count("returns_recognized_total");
  LogLine line{ LogPart::Request, "returned" };
  line.with("id", aExchange.requestId);
  line.with("route", aExchange.route->name);
  if (aExchange.account != nullptr) {
    line.with("account", aExchange.account->name);
  }
  line.with("after_due_ms", aExchange.returnedAfterDue->count() / kMicrosPerMs);
  this->shared.log.write(line);
}

/** Records the end of a request that may have run at a replica, whatever its
 * outcome: its capacity is free. */
void
RelayLoop::Impl::recordServiceEnd(const Exchange& aExchange)
{
  if (this->settings.load.returnBookings) {
    this->shared.metrics.count("returns_capacity_freed_total");
    this->returnState.schedule.onEnded(serviceOf(aExchange), this->now);
  }
}

/** Adds the returns that this relay has booked lately to a status message. */
void
RelayLoop::Impl::addReturns(PeerStatus& aStatus) const
{
  const TimePoint sentAt{ Duration{ aStatus.sentAt } };
  for (const ReturnReport& report :
       this->returnState.expected.recentOwn(sentAt, kMaxReturnRows)) {
    // Rounded up, so that only a return that is due is reported as 0.
    const auto dueMs = static_cast<std::uint32_t>(
      (report.dueIn.count() + kMicrosPerMs - 1) / kMicrosPerMs);
    aStatus.returns.push_back(
      ReturnRow{ report.content, dueMs, report.service });
  }
}

/** Takes over the returns in another relay's status message. */
void
RelayLoop::Impl::onPeerReturns(const PeerStatus& aStatus, TimePoint aReceivedAt)
{
  if (!this->settings.load.returnBookings || aStatus.returns.empty()) {
    return;
  }
  std::vector<ReturnReport> received;
  const std::size_t count = std::min(aStatus.returns.size(), kMaxReturnRows);
  received.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    const ReturnRow& row = aStatus.returns[i];
    received.push_back(ReturnReport{
      row.content, row.service, std::chrono::milliseconds{ row.dueMs } });
  }
  // A forwarder's time is already subtracted from the times in the rows.
  const Duration age = this->now - aReceivedAt;
  const ReturnSource source{ aStatus.incarnation,
                             TimePoint{ Duration{ aStatus.sentAt } } + age };
  for (const ReturnReport& added :
       this->returnState.expected.onPeer(source, received, this->now)) {
    this->returnState.schedule.onPeerBooking(
      added.service, this->now + added.dueIn, this->now);
  }
}

/** Drops the returns whose time is over. */
void
RelayLoop::Impl::refreshReturns()
{
  this->returnState.schedule.setRelays(this->knownPeers.size() + 1);
  this->returnState.schedule.expire(this->now);
  this->returnState.expected.expire(this->now);
  this->shared.metrics.set(
    "returns_expected",
    static_cast<std::int64_t>(this->returnState.expected.size()));
}

} // namespace poplartrack
