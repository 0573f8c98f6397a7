#include "poplartrack/entry/ConfigWatch.h"

#include <algorithm>
#include <future>

#include <glog/logging.h>

namespace poplartrack {
namespace {

constexpr Duration kPeerTimeout = std::chrono::seconds{ 1 };
constexpr Duration kLongestPause = std::chrono::seconds{ 5 };

} // namespace

ConfigWatch::ConfigWatch(const KeeperOptions& aOptions,
                         PlatformClient& aPlatform,
                         StreamClient& aPeers,
                         Address aSelf,
                         ConfigInForce aInForce)
  : keeper(aOptions, runtimeNow())
  , store(aPlatform)
  , peers(aPeers)
  , self(std::move(aSelf))
  , inForce(std::move(aInForce))
  , current(nullptr)
{
}

void
ConfigWatch::start()
{
  const std::scoped_lock lock{ this->guard };
  this->worker =
    std::make_unique<PeriodicThread>([this] { return this->step(); });
}

void
ConfigWatch::stop()
{
  std::unique_ptr<PeriodicThread> stopped;
  {
    const std::scoped_lock lock{ this->guard };
    stopped = std::move(this->worker);
  }
  // Joined without the lock, which the thread takes.
  stopped.reset();
}

std::uint64_t
ConfigWatch::revision() const
{
  const std::shared_ptr<const Configuration> value = this->current.read();
  return value ? value->revision : 0;
}

void
ConfigWatch::heard(const std::string& aPeer, std::uint64_t aRevision)
{
  std::optional<Address> peer;
  if (const Result<Address> parsed = addressFromText(aPeer);
      parsed && parsed.value() != this->self) {
    peer = parsed.value();
  }
  const std::scoped_lock lock{ this->guard };
  const bool isNews = aRevision > this->keeper.revision();
  this->keeper.onRevisionAnnounced(peer, aRevision, runtimeNow());
  if (isNews && this->worker) {
    this->worker->wake();
  }
}

ConfigReply
ConfigWatch::answer(const ConfigFetch& aFetch)
{
  ConfigReply reply;
  const std::scoped_lock lock{ this->guard };
  reply.text = this->keeper.updateFor(aFetch.have);
  reply.revision = this->keeper.revision();
  return reply;
}

KeeperCounters
ConfigWatch::counters()
{
  const std::scoped_lock lock{ this->guard };
  return this->keeper.counters();
}

Duration
ConfigWatch::step()
{
  std::optional<KeeperFetch> fetch;
  {
    const std::scoped_lock lock{ this->guard };
    fetch = this->keeper.nextFetch(runtimeNow());
  }
  if (fetch) {
    // Without the lock: a slow platform must not delay answers to peers.
    const Updates updates = this->read(*fetch);
    bool changed = false;
    {
      const std::scoped_lock lock{ this->guard };
      changed = this->keeper.onFetchFinished(updates, runtimeNow());
    }
    if (changed) {
      this->publish();
    }
  }
  const std::scoped_lock lock{ this->guard };
  return std::clamp(
    this->keeper.wakeAt() - runtimeNow(), Duration::zero(), kLongestPause);
}

void
ConfigWatch::publish()
{
  std::shared_ptr<const Configuration> fresh;
  std::string refusal;
  {
    const std::scoped_lock lock{ this->guard };
    fresh = this->keeper.configuration();
    refusal = this->keeper.lastRefusal();
  }
  this->inForce(fresh);
  this->current.replace(fresh);
  LOG(INFO) << "config: revision " << fresh->revision << " is in force";
  LOG_IF(ERROR, !refusal.empty()) << "config: " << refusal;
}

ConfigWatch::Updates
ConfigWatch::read(const KeeperFetch& aFetch)
{
  switch (aFetch.source) {
    case KeeperSource::Peer:
      return this->readPeer(aFetch);
    case KeeperSource::StoreRows:
      return this->store.updatesAfter(aFetch.have);
    case KeeperSource::StoreText:
      return this->store.newestWholeUpdate();
  }
  return fail(ErrorKind::Internal, "unknown source");
}

ConfigWatch::Updates
ConfigWatch::readPeer(const KeeperFetch& aFetch)
{
  const auto answered =
    std::make_shared<std::promise<TypedResult<ConfigReply>>>();
  std::future<TypedResult<ConfigReply>> answer = answered->get_future();
  callPeer<ConfigReply>(this->peers,
                        aFetch.peer,
                        ConfigFetch{ aFetch.have },
                        kPeerTimeout,
                        [answered](TypedResult<ConfigReply> aResult) {
                          answered->set_value(std::move(aResult));
                        });
  const TypedResult<ConfigReply> result = answer.get();
  if (result.outcome != CallOutcome::Replied) {
    return fail(ErrorKind::Network, result.detail);
  }
  if (result.reply.refusal.refused) {
    return result.reply.refusal.error();
  }
  if (result.reply.text.empty()) {
    return std::vector<RevisionUpdate>{};
  }
  const Result<RevisionUpdate> update = updateFromText(result.reply.text);
  if (!update) {
    return update.error();
  }
  return std::vector<RevisionUpdate>{ update.value() };
}

} // namespace poplartrack
