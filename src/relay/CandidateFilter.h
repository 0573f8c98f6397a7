#pragma once

namespace poplartrack {

/** What a path may use besides replicas in good health. */
struct CandidateFilter
{
  /** Degraded replicas. */
  bool slow = false;
  /** As its first replica, an ejected one, or one that failed or refused the
   * request. */
  bool ejected = false;
  /** Layers that are announced for release. */
  bool released = false;
  /** Replicas that are out of use and may be back in a moment. */
  bool suspected = false;
};

} // namespace poplartrack
