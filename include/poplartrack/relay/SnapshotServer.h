#pragma once

#include <memory>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/http/HttpServer.h"
#include "poplartrack/relay/RelayShared.h"

namespace poplartrack {

/**
 * Hands out this relay's configuration, replica list and list of relays to
 * other relays, over HTTP on the address at which it receives their datagrams.
 * A relay that starts learns from it what the others know, instead of reading
 * everything from the store.
 */
class SnapshotServer
{
public:
  /** Fails with ErrorKind::Network if the address cannot be bound. */
  static Result<std::unique_ptr<SnapshotServer>> create(const Address& aListen,
                                                        RelayShared& aShared);

  [[nodiscard]] Address address() const { return this->server->address(); }

private:
  explicit SnapshotServer(std::unique_ptr<HttpServer> aServer);

  std::unique_ptr<HttpServer> server;
};

} // namespace poplartrack
