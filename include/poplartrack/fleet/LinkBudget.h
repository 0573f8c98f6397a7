#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/ZonePair.h"

namespace poplartrack {

/** Bytes that one relay has sent between zones since its start. */
using LinkTotals = std::map<ZonePair, std::uint64_t>;

/**
 * Limits what all relays together send over the links between availability
 * zones. Each pair of zones has a token bucket of bytes that refills at the
 * link's rate. Each relay reports to the others what it has sent. Dividing a
 * slow link's rate evenly among the relays instead would allow each relay one
 * prompt in several seconds, and callers would be refused while the link is
 * idle.
 *
 * A link carries one transfer after another, and the tokens of every stream
 * that crosses it wait behind the prompts. When a zone loses a layer, all of
 * its streams look for paths through other zones at once. Without the limit
 * they would hold a link for seconds: callers would leave without an event, and
 * later requests would queue behind transfers whose callers are gone. A request
 * that does not fit is refused at once instead, or waits for its own zone.
 *
 * A path may use a link while its bucket is not in debt, and is charged in
 * full, because one prompt may be larger than the bucket. Pure; not
 * thread-safe.
 */
class LinkBudget
{
public:
  /** Sets the rate of every link. The buckets keep their contents, up to the
   * new depth. */
  void setRate(double aBytesPerSecond);
  /** Returns the links whose bucket is in debt: nothing more may be sent there
   * now. */
  [[nodiscard]] std::set<ZonePair> closedLinks(TimePoint aNow);
  /** Returns how long bytes would wait for a link now; idle links are left out.
   */
  [[nodiscard]] std::map<ZonePair, Duration> linkWaits(TimePoint aNow);
  /** Charges bytes that this relay sends between two zones. */
  void take(const ZonePair& aZones, double aBytes, TimePoint aNow);
  /** Charges what another relay has sent since its previous report. The first
   * report of its incarnation only sets the starting point. */
  void onPeer(const std::string& aPeer,
              const LinkTotals& aTotals,
              TimePoint aNow);
  /** Forgets a relay that is no longer a known peer. */
  void forget(const std::string& aPeer) { this->peers.erase(aPeer); }
  /** Returns what this relay has sent. */
  [[nodiscard]] const LinkTotals& own() const { return this->sent; }

private:
  struct Bucket
  {
    double balance = 0;
    TimePoint refilledAt{};
  };

  void refill(Bucket& aBucket, TimePoint aNow) const;
  void charge(const ZonePair& aZones, double aBytes, TimePoint aNow);
  [[nodiscard]] double depth() const;

  double bytesPerSecond = 0;
  /** Buckets that are not full; a link without an entry has a full one. */
  std::map<ZonePair, Bucket> buckets;
  LinkTotals sent;
  std::map<std::string, LinkTotals> peers;
};

} // namespace poplartrack
