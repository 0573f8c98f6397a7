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
 * What all relays send over the pipes between availability zones, as a bucket
 * of bytes for each two zones that refills at the pipe's rate. Each relay tells
 * the others what it has sent. Dealt out evenly beforehand, the rate of a slow
 * pipe allows each relay a prompt in several seconds, and callers are refused
 * beside pipes that stand empty.
 *
 * A pipe carries one transfer after another, and the tokens of every stream
 * that crosses wait behind the prompts. When a zone loses a layer, all its
 * streams are told paths through other zones at once: they would hold a pipe
 * for seconds, callers would leave without an event and their successors queue
 * behind transfers that nobody wants. A request that does not fit is refused at
 * once instead, or waits for its own zone.
 *
 * A path may be taken while its bucket is not in debt, and is paid for in full:
 * one prompt may be larger than what gathers. Pure; not thread-safe.
 */
class LinkBudget
{
public:
  /** Sets the rate of each pipe; what is in the buckets stays, up to the new
   * depth. */
  void setRate(double aBytesPerSecond);
  /** The zones between which nothing more may be sent now. */
  [[nodiscard]] std::set<ZonePair> closedLinks(TimePoint aNow);
  /** How long bytes would stand before a pipe now; pipes that are free are left
   * out. */
  [[nodiscard]] std::map<ZonePair, Duration> linkWaits(TimePoint aNow);
  /** Books bytes that pass between two zones. */
  void take(const ZonePair& aZones, double aBytes, TimePoint aNow);
  /** What another relay has sent; counted from the first word of its life. */
  void onPeer(const std::string& aPeer,
              const LinkTotals& aTotals,
              TimePoint aNow);
  /** Forgets a relay that is not heard any more. */
  void forget(const std::string& aPeer) { this->peers.erase(aPeer); }
  /** What this relay has sent. */
  [[nodiscard]] const LinkTotals& own() const { return this->sent; }

private:
  struct Bucket
  {
    double balance = 0;
    TimePoint last{};
  };

  void refill(Bucket& aBucket, TimePoint aNow) const;
  void charge(const ZonePair& aZones, double aBytes, TimePoint aNow);
  [[nodiscard]] double depth() const;

  double bytesPerSecond = 0;
  /** Those that are not full. */
  std::map<ZonePair, Bucket> buckets;
  LinkTotals sent;
  std::map<std::string, LinkTotals> peers;
};

} // namespace poplartrack
