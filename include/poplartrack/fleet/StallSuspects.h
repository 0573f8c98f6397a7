#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/LayerPath.h"

namespace poplartrack {

/** The progress of one stream on its path. */
struct StreamProgress
{
  /** Must outlive the check. */
  std::span<const PathPart> parts;
  /** When its last event arrived, or when it got its present path if that was
   * later. */
  TimePoint lastEvent{};
  /** Expected time between two events, or until the first one on this path. */
  Duration expectedGap{ 0 };
  /** An event arrived on the present path. */
  bool running = true;
};

/** What is to be done after a check of all streams. */
struct SuspectCheck
{
  /** Replicas to send a loss probe now. */
  std::vector<PathPart> toProbe;
  /** Replicas that count as lost: they could not be reached before it was clear
   * that this relay is not cut off. */
  std::vector<std::string> lost;
  /** Number of late streams. While there are any, the check is repeated after
   * kRecheckInterval. */
  std::size_t late = 0;
};

/**
 * Derives from the streams of a relay which replicas may be lost, decides when
 * each of them is sent a loss probe, and what a missing answer means.
 *
 * A suspect is a replica on the path of a late stream that is on no path of a
 * stream with a recent event. All suspects are probed at once: after the crash
 * of one replica, the others of the path send nothing that shows which one it
 * was. A replica that answers late is not lost, since a relay on a small
 * instance takes longer to read all answers than a live replica takes to
 * answer; it is lost if it refuses the connection or gives no answer in the
 * time limit of the call. A relay that is cut off from the network receives
 * nothing from any replica or peer, and declares no replica as lost unless it
 * is the only suspect. Not thread-safe.
 */
class StallSuspects
{
public:
  /** Interval at which late streams are checked again. Another stream through
   * the same replica may have had an event just before the loss. */
  static constexpr Duration kRecheckInterval = std::chrono::milliseconds{ 25 };
  /** A replica is probed at most this often. */
  static constexpr Duration kMinProbeInterval =
    std::chrono::milliseconds{ 300 };

  /** Returns how long after its last event a stream is late. */
  static Duration lateAfter(Duration aExpectedGap);

  /**
   * Checks all streams.
   * @param aReported replicas that a peer cannot reach. They are probed
   * although a stream through them had a recent event.
   */
  SuspectCheck check(std::span<const StreamProgress> aStreams,
                     const std::set<std::string>& aReported,
                     TimePoint aNow);
  /** Records that a replica that was to be probed takes no calls for now. */
  void onNotProbed(const std::string& aReplica);
  /** Records an answer. */
  void onAnswer(const std::string& aReplica, TimePoint aNow);
  /** Records that a replica refused the connection, or gave no answer in the
   * time limit of the call. Returns whether it is lost. Otherwise this relay
   * may itself be cut off, and a later check decides. */
  bool onUnreached(const std::string& aReplica, TimePoint aNow);
  /** Records that a status message of a peer arrived. */
  void onPeer(TimePoint aNow) { this->peerHeardAt = aNow; }
  /** Drops the state of all other replicas. */
  void keepOnly(const std::set<std::string>& aKept);

private:
  struct Probe
  {
    TimePoint probedAt{};
    /** Neither an answer nor an event of a stream through it arrived since. */
    bool open = false;
    /** It refused the connection, or the time limit of the call passed. */
    bool unreached = false;
  };

  /** Returns whether anything arrived from a replica or peer after this time.
   */
  [[nodiscard]] bool heardAfter(TimePoint aTime) const;
  /** Returns whether the probe shows that the replica is lost. aAlone: there is
   * no other suspect. */
  [[nodiscard]] bool showsLoss(const Probe& aProbe, bool aAlone) const;
  /** Records the events of the streams. Returns for each replica on a running
   * stream's path when an event last passed through it. */
  std::unordered_map<std::string_view, TimePoint> recordEvents(
    std::span<const StreamProgress> aStreams);

  std::unordered_map<std::string, Probe> probes;
  /** When the last answer or event of any replica arrived, and the last status
   * message of a peer. */
  TimePoint replicaHeardAt{};
  TimePoint peerHeardAt{};
};

} // namespace poplartrack
