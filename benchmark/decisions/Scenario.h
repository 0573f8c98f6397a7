#pragma once

#include <functional>
#include <string>
#include <vector>

#include "QueueModel.h"

namespace poplartrack::bench {

/** Something that happens to the modelled endpoints at a time. */
struct Happening
{
  double atSeconds = 0;
  std::function<void(std::vector<ModelledEndpoint>&)> act;
};

/** One set-up of endpoints, load and faults. */
struct Scenario
{
  std::string name;
  std::vector<EndpointShape> shapes;
  std::uint32_t layers = 40;
  /** Offered load over the flow bound; a second one from a time on. */
  double offered = 0.95;
  double offeredLater = 0;
  double laterFromSeconds = 1e9;
  std::vector<Happening> happenings;
  /** Endpoints of the shapes that join only at this time. */
  std::size_t joinLate = 0;
  double joinAtSeconds = 0;
  /** The bound that counts while measuring, as a part of all endpoints'. */
  std::vector<std::size_t> lost;
  /** Common prompt prefixes, the n-th asked for 1/n as often; 0: none. */
  std::uint32_t prefixes = 0;
  std::uint32_t prompt = 100;
  /** Whether entries tell the prefix to the choice. */
  bool affinity = true;
  bool budget = true;
  bool admission = true;
  double warmSeconds = 6;
  double measureSeconds = 20;
  double hintEverySeconds = 1;
};

/** Times and sizes of the requests, common to all scenarios. */
struct Workload
{
  std::uint32_t leastTokens = 25;
  std::uint32_t mostTokens = 75;
  double deadlineSeconds = 8;
  /** Cost of one prefill token as decode steps in a batch. */
  double prefillWeight = 0.18;
};

} // namespace poplartrack::bench
