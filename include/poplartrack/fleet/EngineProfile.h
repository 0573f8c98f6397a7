#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "poplartrack/base/Clock.h"
#include "poplartrack/fleet/ZonePair.h"

namespace poplartrack {

/** One kind of accelerator that holds layers of a model. */
struct AcceleratorKind
{
  double memoryMb = 0;
  /** How many times as long as the reference a token step takes. */
  double stepFactor = 1;
  /** How many times as long as the reference reading a prompt takes. */
  double prefillFactor = 1;
};

/** How the replicas of a model service compute; all figures are declared by
 * the operator and hold for the reference accelerator and all layers. */
struct EngineProfile
{
  /** Requests that one replica takes as first of a path. */
  std::uint32_t slots = 1;
  std::uint32_t layers = 1;
  double layerMb = 0;
  /** Memory of one token over all layers, in bytes. */
  double tokenBytes = 0;
  /** A pass: fixed part, part of each request, part of 1,000 tokens of
   * context, in ms. */
  double stepMs = 0;
  double perRequestMs = 0;
  double contextMsPerK = 0;
  /** Prompt tokens read in a second. */
  double prefillPerSecond = 1;
  /** Bytes that a token sends from one part of a path to the next. */
  double activationBytes = 0;
  /** The pipe between each two availability zones, in Mbit/s; all that passes
   * between them shares it. */
  double linkMbps = 0;
  /** Mean tokens of a prompt and of an answer. */
  double meanPromptTokens = 0;
  double meanAnswerTokens = 0;
  /** Time to load all layers onto one replica. */
  Duration loadTime{ 0 };
  std::map<std::string, AcceleratorKind> kinds;
  /** One-way delay between availability zones, by (smaller, larger) name. */
  std::map<ZonePair, Duration> delays;

  /** Memory of one token in one layer, in MB. */
  [[nodiscard]] double tokenLayerMb() const
  {
    constexpr double kBytesPerMb = 1e6;
    return this->tokenBytes / kBytesPerMb / this->layers;
  }
};

} // namespace poplartrack
