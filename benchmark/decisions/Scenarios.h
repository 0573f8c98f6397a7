#pragma once

#include <vector>

#include "Scenario.h"

namespace poplartrack::bench {

constexpr std::uint32_t kLayers = 40;
constexpr std::uint32_t kStages = 4;
constexpr std::size_t kReplicas = 40;
constexpr std::uint32_t kZones = 3;

/** 40 replicas over 3 zones, 10 for each quarter of the layers. */
inline std::vector<EndpointShape>
evenShapes()
{
  std::vector<EndpointShape> shapes;
  constexpr std::uint32_t kEach = kLayers / kStages;
  for (std::uint32_t i = 0; i < kReplicas; ++i) {
    EndpointShape shape;
    const std::uint32_t from = (i % kStages) * kEach;
    shape.holds = LayerRange{ from, from + kEach };
    shape.zone = "oslo-" + std::to_string((i / kStages) % kZones);
    shapes.push_back(shape);
  }
  return shapes;
}

/** Accelerators of four speeds, 1 to 4, in each quarter. */
inline std::vector<EndpointShape>
mixedShapes()
{
  std::vector<EndpointShape> shapes = evenShapes();
  constexpr std::uint32_t kSpeeds = 4;
  for (std::uint32_t i = 0; i < kReplicas; ++i) {
    shapes[i].layerMicros *= 1 + (i / kStages) % kSpeeds;
  }
  return shapes;
}

/** Ranges of different length that overlap; the front is held by fewer. */
inline std::vector<EndpointShape>
overlappingShapes()
{
  std::vector<EndpointShape> shapes = evenShapes();
  constexpr std::uint32_t kStep = 5;
  for (std::uint32_t i = 0; i < kReplicas; ++i) {
    const std::uint32_t length = 10 + (i % 3) * kStep;
    const std::uint32_t from =
      std::min((i * kStep) % kLayers, kLayers - length);
    shapes[i].holds = LayerRange{ from, from + length };
    shapes[i].layerMicros *= 1 + (i / 8) % 2;
  }
  return shapes;
}

inline Scenario
named(std::string aName, std::vector<EndpointShape> aShapes)
{
  Scenario scenario;
  scenario.name = std::move(aName);
  scenario.shapes = std::move(aShapes);
  return scenario;
}

/** A happening to one endpoint. */
inline Happening
happens(double aAt, std::size_t aIndex, void (*aAct)(ModelledEndpoint&))
{
  return Happening{ aAt, [aIndex, aAct](std::vector<ModelledEndpoint>& aAll) {
                     aAct(aAll[aIndex]);
                   } };
}

inline std::vector<Scenario>
allScenarios()
{
  std::vector<Scenario> all;
  all.push_back(named("even-95", evenShapes()));
  all.push_back(named("mixed-accelerators-95", mixedShapes()));
  all.push_back(named("overlapping-85", overlappingShapes()));
  all.back().offered = 0.85;

  Scenario links = named("slow-links-80", evenShapes());
  constexpr double kSlowLink = 15'000;
  constexpr std::size_t kSlowLinks = 12;
  for (std::size_t i = 0; i < kSlowLinks; ++i) {
    links.shapes[i].linkMicros = kSlowLink;
  }
  links.offered = 0.8;
  all.push_back(links);

  Scenario flood = named("flood-200", evenShapes());
  flood.offered = 0.5;
  flood.offeredLater = 2;
  flood.laterFromSeconds = 2;
  flood.measureSeconds = 24;
  all.push_back(flood);
  Scenario steady = named("steady-200", mixedShapes());
  steady.offered = 2;
  steady.warmSeconds = 10;
  all.push_back(steady);

  Scenario lies = named("lying-hint-80", evenShapes());
  lies.offered = 0.8;
  lies.happenings = { happens(0, 5, [](ModelledEndpoint& aOne) {
    aOne.lies = true;
    aOne.slowFactor = 4;
  }) };
  all.push_back(lies);

  Scenario silent = named("hints-vanish-80", mixedShapes());
  silent.offered = 0.8;
  silent.happenings = { Happening{ 5, [](std::vector<ModelledEndpoint>& aAll) {
                                    for (ModelledEndpoint& one : aAll) {
                                      one.silent = true;
                                    }
                                  } } };
  all.push_back(silent);

  Scenario prefix = named("prefixes-95", evenShapes());
  prefix.prefixes = 200;
  prefix.prompt = 400;
  all.push_back(prefix);
  prefix.name = "prefixes-120";
  prefix.offered = 1.2;
  all.push_back(prefix);

  Scenario rare = named("hints-each-10s-90", mixedShapes());
  rare.offered = 0.9;
  rare.hintEverySeconds = 10;
  all.push_back(rare);

  Scenario slow = named("slow-10x-80", evenShapes());
  slow.offered = 0.8;
  slow.happenings = { happens(
    6, 5, [](ModelledEndpoint& aOne) { aOne.slowFactor = 10; }) };
  slow.lost = { 5 };
  all.push_back(slow);

  Scenario frozen = named("frozen-80", evenShapes());
  frozen.offered = 0.8;
  frozen.happenings = { happens(
    6, 5, [](ModelledEndpoint& aOne) { aOne.frozen = true; }) };
  frozen.lost = { 5 };
  all.push_back(frozen);

  Scenario fresh = named("fresh-replicas-90", evenShapes());
  fresh.offered = 0.9;
  fresh.joinLate = 2;
  fresh.joinAtSeconds = 6;
  fresh.lost = { 38, 39 };
  all.push_back(fresh);

  Scenario storm = named("third-of-stages-fail-80", evenShapes());
  storm.offered = 0.8;
  // Warm for long: the retry budget is earned first.
  constexpr double kFailAt = 40;
  storm.warmSeconds = kFailAt;
  constexpr std::size_t kFailing = 12;
  for (std::size_t i = 0; i < kFailing; ++i) {
    storm.happenings.push_back(
      happens(kFailAt, i, [](ModelledEndpoint& aOne) { aOne.dead = true; }));
  }
  for (std::size_t i = 0; i < kFailing; ++i) {
    storm.lost.push_back(i);
  }
  all.push_back(storm);

  Scenario zone = named("zone-lost-60", mixedShapes());
  zone.offered = 0.6;
  zone.warmSeconds = kFailAt;
  for (std::size_t i = 0; i < kReplicas; ++i) {
    if (zone.shapes[i].zone == "oslo-1") {
      zone.happenings.push_back(
        happens(kFailAt, i, [](ModelledEndpoint& aOne) { aOne.dead = true; }));
      zone.lost.push_back(i);
    }
  }
  all.push_back(zone);
  return all;
}

} // namespace poplartrack::bench
