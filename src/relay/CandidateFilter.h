#pragma once

namespace poplartrack {

/** Which replicas a path may use besides those in good health. */
struct CandidateFilter
{
  /** Degraded ones. */
  bool slow = false;
  /** A path may begin at ejected ones, and at those that failed the request. */
  bool ejected = false;
  /** Layers that are announced for release. */
  bool released = false;
};

} // namespace poplartrack
