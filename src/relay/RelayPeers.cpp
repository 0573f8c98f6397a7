// Datagrams between relays: what each has in flight, and which replicas it
// takes to be dead.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

#include <msgpack.hpp>

#include "RelayLoopImpl.h"

namespace poplartrack {
namespace {

/** Version of the datagram below; another one is ignored. */
constexpr std::uint32_t kFormat = 3;

/** Largest datagram that is sent and taken in. */
constexpr std::size_t kMostBytes = 8 * 1024;

/** One replica's load in a datagram. */
struct LoadRow
{
  std::string replica;
  std::uint32_t requests = 0;
  double tokenLayers = 0;
  double readingTokens = 0;
  MSGPACK_DEFINE(replica, requests, tokenLayers, readingTokens);
};

/** What a relay tells the others. */
struct PeerWord
{
  std::uint32_t format = kFormat;
  std::string sender;
  std::vector<LoadRow> loads;
  /** Replicas that another replica named as what its work waits for. */
  std::vector<std::string> lost;
  /** Replicas that are slow, with how slow. */
  std::map<std::string, double> slow;
  MSGPACK_DEFINE(format, sender, loads, lost, slow);
};

bool
toSocketAddress(const Address& aAddress, sockaddr_in& aResult)
{
  aResult = sockaddr_in{};
  aResult.sin_family = AF_INET;
  aResult.sin_port = htons(aAddress.port);
  return inet_pton(AF_INET, aAddress.host.c_str(), &aResult.sin_addr) == 1;
}

} // namespace

Result<Done>
RelayLoop::Impl::openPeers()
{
  OwnedFd fd{ ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) };
  sockaddr_in address{};
  const bool known = toSocketAddress(this->settings.peers, address);
  if (!fd.valid() || !known ||
      ::bind(fd.get(),
             reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0) {
    return fail(ErrorKind::Network,
                "datagrams on " + toText(this->settings.peers) + ": " +
                  std::generic_category().message(errno));
  }
  this->peerSocket = std::move(fd);
  return Done{};
}

void
RelayLoop::Impl::tellPeers()
{
  const auto peers = this->shared.peers.read();
  if (peers->empty()) {
    return;
  }
  PeerWord word;
  word.sender = this->settings.name;
  for (const auto& [replica, load] : this->loads.own()) {
    word.loads.push_back(
      LoadRow{ replica, load.requests, load.tokenLayers, load.readingTokens });
  }
  for (const std::string& replica : this->health.named(this->now)) {
    word.lost.push_back(replica);
  }
  word.slow = this->health.crippled();
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, word);
  if (bytes.size() > kMostBytes) {
    this->shared.metrics.count("peer_words_too_large_total");
    return;
  }
  for (const Address& peer : *peers) {
    sockaddr_in address{};
    if (toSocketAddress(peer, address)) {
      // A datagram that is lost is followed by a newer one.
      static_cast<void>(::sendto(this->peerSocket.get(),
                                 bytes.data(),
                                 bytes.size(),
                                 MSG_NOSIGNAL,
                                 reinterpret_cast<const sockaddr*>(&address),
                                 sizeof address));
    }
  }
}

void
RelayLoop::Impl::readPeers()
{
  constexpr int kMostAtOnce = 64;
  std::array<char, kMostBytes> bytes;
  for (int i = 0; i < kMostAtOnce; ++i) {
    const ssize_t count =
      ::recv(this->peerSocket.get(), bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      return;
    }
    PeerWord word;
    try {
      const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), static_cast<std::size_t>(count));
      handle.get().convert(word);
    } catch (const std::exception&) {
      this->shared.metrics.count("peer_words_unreadable_total");
      continue;
    }
    if (word.format != kFormat || word.sender == this->settings.name) {
      continue;
    }
    LoadTable table;
    for (LoadRow& row : word.loads) {
      table.emplace(
        std::move(row.replica),
        ReplicaLoad{ row.requests, row.tokenLayers, row.readingTokens });
    }
    this->loads.onPeer(word.sender, std::move(table), this->now);
    if (word.lost.empty() && word.slow.empty()) {
      this->peerLost.erase(word.sender);
    } else {
      this->peerLost[word.sender] = PeerLost{
        { word.lost.begin(), word.lost.end() }, std::move(word.slow), this->now
      };
    }
  }
}

} // namespace poplartrack
