#pragma once

#include <netinet/in.h>

#include <optional>

#include "poplartrack/base/Address.h"
#include "poplartrack/base/OwnedFd.h"
#include "poplartrack/base/Result.h"

namespace poplartrack {

/** The address as the system calls take it; nothing when its host is no IPv4
 * number. */
std::optional<sockaddr_in>
toSocketAddress(const Address& aAddress);

/** The address that the system calls gave. */
Address
fromSocketAddress(const sockaddr_in& aAddress);

/** A non-blocking socket that listens; port 0 picks a free one. Network names
 * the cause. */
Result<OwnedFd>
listenTcp(const Address& aListen);

/** A non-blocking socket whose connect has been started: it becomes writable
 * when the connect has ended (ask connectError). Network names a failure that
 * is known at once. */
Result<OwnedFd>
connectTcp(const Address& aPeer);

/** The errno with which a started connect ended; 0 when it succeeded. */
int
connectError(int aFd);

/** Sends small writes at once instead of waiting for the peer's ACK. */
void
setNoDelay(int aFd);

/** Makes the close of the socket a reset: bytes that the kernel has not sent
 * yet are dropped, and the peer learns at once that nobody waits any more. */
void
resetOnClose(int aFd);

/** Whether bytes that were not read yet wait in the socket, or the end of the
 * connection. An error that ended it stays for the read that meets it. */
bool
hasUnread(int aFd);

/** The local address of a socket. */
Result<Address>
localAddress(int aFd);

} // namespace poplartrack
