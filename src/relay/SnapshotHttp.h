#pragma once

namespace poplartrack::snapshot_http {

/** Path of a snapshot. */
constexpr const char* kPath = "/snapshot";
/** Query fields: the versions that the asking relay has, and whether it wants
 * the list of relays. */
constexpr const char* kConfigField = "config";
constexpr const char* kReplicasField = "replicas";
constexpr const char* kRelaysField = "relays";

constexpr int kOk = 200;
constexpr int kNotFound = 404;
/** The relay has just started and has nothing to hand out yet. */
constexpr int kUnavailable = 503;

} // namespace poplartrack::snapshot_http
