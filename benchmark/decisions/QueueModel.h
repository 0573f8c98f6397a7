#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <limits>
#include <string>
#include <vector>

#include "poplartrack/route/EndpointInfo.h"

namespace poplartrack::bench {

/** One step that waits at, or runs in, a modelled endpoint. */
struct Step
{
  std::uint32_t request = 0;
  std::uint32_t attempt = 0;
  std::uint32_t layers = 0;
  /** Decode steps it is worth: 1, and more for a prefill. */
  double weight = 1;
};

/** What a modelled endpoint can do. */
struct EndpointShape
{
  LayerRange holds;
  std::string zone;
  std::string region = "oslo";
  std::string accelerator = "a";
  /** Time of one more decode step of one layer in a batch, microseconds. */
  double layerMicros = 25;
  /** Fixed part of a batch as a number of decode steps. */
  double knee = 8;
  std::uint32_t batch = 16;
  /** One way from everywhere to it, beyond what zones cost, microseconds. */
  double linkMicros = 0;
};

/**
 * A service-time model of one engine with continuous batching: whatever waits
 * when a batch ends goes into the next, up to its size; a batch takes a fixed
 * part and a part for each step in it.
 */
class ModelledEndpoint
{
public:
  explicit ModelledEndpoint(EndpointShape aShape)
    : shape(std::move(aShape))
  {
  }

  /** Takes a step into the queue. */
  void push(const Step& aStep) { this->waiting.push_back(aStep); }

  /** Starts a batch when idle; returns its duration in microseconds, below 0
   * when nothing started. */
  double start()
  {
    if (!this->running.empty() || this->waiting.empty() || this->frozen) {
      return -1;
    }
    double work = 0;
    std::uint32_t most = 0;
    while (!this->waiting.empty() && this->running.size() < this->shape.batch) {
      const Step& step = this->waiting.front();
      work += step.weight * step.layers;
      most = std::max(most, step.layers);
      this->running.push_back(step);
      this->waiting.pop_front();
    }
    const double took = this->shape.layerMicros * this->slowFactor *
                        (this->shape.knee * most + work);
    constexpr double kNewest = 0.2;
    const double old = this->stepMicros > 0 ? this->stepMicros : took;
    this->stepMicros = old + kNewest * (took - old);
    return took;
  }

  /** Ends the batch and hands out its steps. */
  std::vector<Step> finish()
  {
    std::vector<Step> done;
    done.swap(this->running);
    return done;
  }

  /** Whether the prefix is cached; it is then the newest of the few kept. */
  bool touchPrefix(std::uint32_t aPrefix)
  {
    const auto found =
      std::find(this->prefixes.begin(), this->prefixes.end(), aPrefix);
    const bool hit = found != this->prefixes.end();
    if (hit) {
      this->prefixes.erase(found);
    } else if (this->prefixes.size() >= kPrefixesKept) {
      this->prefixes.pop_front();
    }
    this->prefixes.push_back(aPrefix);
    return hit;
  }

  /** What its side would report now. */
  [[nodiscard]] LoadHint report() const
  {
    LoadHint hint;
    hint.running = static_cast<std::uint32_t>(this->running.size());
    hint.queued = static_cast<std::uint32_t>(this->waiting.size());
    hint.attempts = this->attempts;
    hint.stepMicros = static_cast<std::uint32_t>(this->stepMicros);
    return hint;
  }

  static constexpr std::size_t kPrefixesKept = 12;

  EndpointShape shape;
  std::deque<std::uint32_t> prefixes;
  std::deque<Step> waiting;
  std::vector<Step> running;
  double stepMicros = 0;
  std::uint32_t attempts = 0;
  double slowFactor = 1;
  bool frozen = false;
  bool dead = false;
  /** How its reports mislead. */
  bool lies = false;
  bool silent = false;
};

} // namespace poplartrack::bench
