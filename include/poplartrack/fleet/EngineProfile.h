#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/LayerRange.h"
#include "poplartrack/fleet/ZonePair.h"

namespace poplartrack {

/** One kind of accelerator that holds layers of a model. */
struct AcceleratorKind
{
  double memoryMb = 0;
  /** Duration of a decode step, as a multiple of the reference accelerator's.
   */
  double stepFactor = 1;
  /** Duration of prefill, as a multiple of the reference accelerator's. */
  double prefillFactor = 1;
};

/** Speed, memory and network figures of a model service. The operator declares
 * all of them. Times are those of the reference accelerator running all layers.
 */
struct EngineProfile
{
  /** Concurrent requests for which one replica can be the first of a path. */
  std::uint32_t slots = 1;
  std::uint32_t layers = 1;
  double layerMb = 0;
  /** KV cache of one token over all layers, in bytes. */
  double tokenBytes = 0;
  /** Fixed part of a decode step, in ms. */
  double stepMs = 0;
  /** Added to a decode step for each request in its batch, in ms. */
  double perRequestMs = 0;
  /** Added to a decode step for each 1,000 tokens of context, in ms. */
  double contextMsPerK = 0;
  /** Prompt tokens prefilled per second. */
  double prefillPerSecond = 1;
  /** Bytes of activations that a token sends from one replica of a path to the
   * next. */
  double activationBytes = 0;
  /** Capacity of the link between two availability zones, in Mbit/s. All
   * traffic between the two shares it. 0 if unbounded. */
  double linkMbps = 0;
  /** Mean number of tokens of a prompt and of an answer. */
  double meanPromptTokens = 0;
  double meanAnswerTokens = 0;
  /** Time that one replica takes to load all layers. */
  Duration loadTime{ 0 };
  /** The accelerators that replicas may have, by the name of the kind. */
  std::map<std::string, AcceleratorKind> kinds;
  /** One-way delay between availability zones, keyed by (smaller, larger) name.
   */
  std::map<ZonePair, Duration> delays;

  /** Returns whether the model has these layers. Replicas register themselves,
   * so an entry may name others. */
  [[nodiscard]] bool hasLayers(LayerRange aLayers) const
  {
    return aLayers.from <= aLayers.to && aLayers.to <= this->layers;
  }
  /** Returns the KV cache of one token in one layer, in MB. */
  [[nodiscard]] double tokenLayerMb() const
  {
    constexpr double kBytesPerMb = 1e6;
    return this->tokenBytes / kBytesPerMb / this->layers;
  }
};

} // namespace poplartrack
