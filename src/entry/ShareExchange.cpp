#include "poplartrack/entry/ShareExchange.h"

namespace poplartrack {
namespace {

constexpr Duration kInterval = std::chrono::seconds{ 1 };
constexpr Duration kTimeout = std::chrono::seconds{ 1 };

} // namespace

ShareExchange::ShareExchange(EntryParts aParts,
                             std::string aSelf,
                             std::function<std::uint64_t()> aRevision,
                             RevisionHeard aHeard)
  : parts(std::move(aParts))
  , self(std::move(aSelf))
  , revision(std::move(aRevision))
  , heard(std::move(aHeard))
{
}

void
ShareExchange::start()
{
  this->exchange();
}

void
ShareExchange::onInstanceList(const std::vector<InstanceInfo>& aList)
{
  std::vector<std::string> names{ this->self };
  std::map<std::string, std::string> fresh;
  for (const InstanceInfo& instance : aList) {
    if (instance.role == InstanceRole::Entry && instance.name != this->self) {
      names.push_back(instance.name);
      fresh[instance.name] = instance.address;
    }
  }
  {
    const std::scoped_lock lock{ this->guard };
    this->addresses = std::move(fresh);
  }
  this->parts.decider.with([&](RouteChooser&,
                               AdmissionControl& aAdmission,
                               RetryBudget&) {
    aAdmission.shares().setEntries(this->self, std::move(names), runtimeNow());
  });
}

void
ShareExchange::exchange()
{
  const std::vector<DemandList> lists = this->parts.decider.with(
    [](RouteChooser&, AdmissionControl& aAdmission, RetryBudget&) {
      return aAdmission.shares().demands(runtimeNow());
    });
  for (const DemandList& list : lists) {
    this->send(list);
  }
  this->parts.timers.after(kInterval, [this] { this->exchange(); });
}

void
ShareExchange::send(const DemandList& aList)
{
  std::string text;
  {
    const std::scoped_lock lock{ this->guard };
    const auto found = this->addresses.find(aList.owner);
    if (found == this->addresses.end()) {
      return;
    }
    text = found->second;
  }
  const Result<Address> address = addressFromText(text);
  if (!address) {
    return;
  }
  const ShareWishes message{
    this->self, this->parts.replyTo, this->revision(), aList.demands
  };
  const TimePoint asked = runtimeNow();
  callPeer<ShareGrants>(
    this->parts.peers,
    address.value(),
    message,
    kTimeout,
    [this, asked, text](const TypedResult<ShareGrants>& aResult) {
      if (aResult.outcome != CallOutcome::Replied ||
          aResult.reply.refusal.refused) {
        // Without a grant the account keeps its reserved share here.
        this->parts.metrics.count("share_exchanges_failed_total");
        return;
      }
      this->parts.decider.with(
        [&](RouteChooser&, AdmissionControl& aAdmission, RetryBudget&) {
          aAdmission.shares().onGrants(aResult.reply.grants, asked);
        });
      this->heard(text, aResult.reply.revision);
    });
}

ShareGrants
ShareExchange::answer(const ShareWishes& aWishes)
{
  ShareGrants reply;
  reply.grants = this->parts.decider.with(
    [&](RouteChooser&, AdmissionControl& aAdmission, RetryBudget&) {
      return aAdmission.shares().grant(
        aWishes.from, aWishes.wishes, runtimeNow());
    });
  reply.revision = this->revision();
  this->heard(aWishes.address, aWishes.revision);
  return reply;
}

} // namespace poplartrack
