#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "poplartrack/base/LayerRange.h"
#include "poplartrack/wire/LoadHint.h"
#include "poplartrack/wire/MessageKind.h"
#include "poplartrack/wire/Refusal.h"

namespace poplartrack {

/** From entry to side: queries identity and load, and reports the revision in
 * force. */
struct Probe
{
  static constexpr MessageKind kKind = MessageKind::Probe;

  std::string from;
  /** The sender's own address, from which a revision can be fetched. */
  std::string address;
  std::uint64_t revision = 0;
  /** The platform's list, as the sender last read it, shows the endpoint's
   * instance as leaving. Sides do not read the list themselves: 2,700 of them
   * would use up the platform's capacity for reads. */
  bool listedLeaving = false;

  MSGPACK_DEFINE(from, address, revision, listedLeaving);
};

/** Identity of the endpoint beside the side, and the layers that it holds. */
struct ProbeReply
{
  static constexpr MessageKind kKind = MessageKind::ProbeReply;

  Refusal refusal;
  std::string endpoint;
  std::uint64_t incarnation = 0;
  std::string zone;
  std::string region;
  /** "engine" or the plain service's name. */
  std::string service;
  /** Kind of accelerator; empty for plain services. */
  std::string accelerator;
  std::string model;
  std::string modelVersion;
  LayerRange holds;
  bool leaving = false;
  std::uint64_t revision = 0;
  LoadHint load;
  /** Highest fencing number of an order that the side has accepted. */
  std::uint64_t fence = 0;
  /** Layers that fit into the endpoint's memory; 0 if it is not reported. */
  std::uint32_t capacityLayers = 0;
  /** Layers of one token that it nominally runs a second; 0 if it is not
   * reported. */
  std::uint32_t layersPerSecond = 0;
  /** The endpoint has not answered its side's last query. What this message
   * says of the endpoint is older than that. */
  bool silent = false;

  MSGPACK_DEFINE(refusal,
                 endpoint,
                 incarnation,
                 zone,
                 region,
                 service,
                 accelerator,
                 model,
                 modelVersion,
                 holds,
                 leaving,
                 revision,
                 load,
                 fence,
                 capacityLayers,
                 layersPerSecond,
                 silent);
};

} // namespace poplartrack
