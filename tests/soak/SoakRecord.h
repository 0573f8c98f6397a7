#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace poplartrack::soak {

/** How a request may be repeated. */
enum class RequestKind : std::uint8_t
{
  Once,
  Again,
  Stream,
};

/** What a caller saw of one request. */
struct CallRecord
{
  RequestKind kind = RequestKind::Once;
  std::string key;
  /** 0: no answer, or none that could be read. */
  int status = 0;
  /** A success that was whole by its framing. */
  bool whole = false;
  /** Why the answer is wrong; empty: it is right, or there is none. */
  std::string wrong;
  /** The relay that it was sent to. */
  std::string relay = {};
  /** In ms of the clock that counts suspension. */
  std::int64_t sentAt = 0;
  /** The only request of its account at that time. */
  bool alone = false;
  /** When a refusal asked the caller to return; 0: it did not. */
  std::chrono::milliseconds retryAfter{ 0 };
};

/** From when to when a relay or a replica did not run, or its link was
 * disturbed, in ms of the clock that counts suspension; no end yet: 0. */
struct Disturbance
{
  /** Address of the relay, or id of the replica. */
  std::string who;
  std::int64_t from = 0;
  std::int64_t to = 0;
};

/** From when to when a key was not in force, in ms of the clock that counts
 * suspension; no end yet: 0. */
struct KeyGap
{
  std::string key;
  std::int64_t from = 0;
  std::int64_t to = 0;
};

/** What callers and the operator did, for the judge. Thread-safe. */
class SoakRecord
{
public:
  void began(const std::string& aId, RequestKind aKind, const std::string& aKey)
  {
    const std::scoped_lock lock{ this->guard };
    this->calls[aId] = CallRecord{ aKind, aKey, 0, false, {} };
  }
  void ended(const std::string& aId, CallRecord aRecord)
  {
    const std::scoped_lock lock{ this->guard };
    this->calls[aId] = std::move(aRecord);
  }
  void keyTaken(const std::string& aKey, std::int64_t aNow)
  {
    const std::scoped_lock lock{ this->guard };
    this->gaps.push_back(KeyGap{ aKey, aNow, 0 });
  }
  void keyBack(const std::string& aKey, std::int64_t aNow)
  {
    const std::scoped_lock lock{ this->guard };
    for (KeyGap& gap : this->gaps) {
      if (gap.key == aKey && gap.to == 0) {
        gap.to = aNow;
      }
    }
  }
  void disturbed(const std::string& aWho, std::int64_t aNow)
  {
    const std::scoped_lock lock{ this->guard };
    this->disturbances.push_back(Disturbance{ aWho, aNow, 0 });
  }
  void undisturbed(const std::string& aWho, std::int64_t aNow)
  {
    const std::scoped_lock lock{ this->guard };
    for (Disturbance& disturbance : this->disturbances) {
      if (disturbance.who == aWho && disturbance.to == 0) {
        disturbance.to = aNow;
      }
    }
  }
  /** Whether it was disturbed at any moment of this time. */
  [[nodiscard]] bool wasDisturbed(const std::string& aWho,
                                  std::int64_t aFrom,
                                  std::int64_t aTo) const
  {
    return std::any_of(this->disturbances.begin(),
                       this->disturbances.end(),
                       [&](const Disturbance& aOne) {
                         return aOne.who == aWho && aOne.from <= aTo &&
                                (aOne.to == 0 || aOne.to >= aFrom);
                       });
  }
  /** To be called when nobody records any more. */
  [[nodiscard]] const std::map<std::string, CallRecord>& all() const
  {
    return this->calls;
  }
  [[nodiscard]] const std::vector<KeyGap>& keyGaps() const
  {
    return this->gaps;
  }

private:
  std::mutex guard;
  std::map<std::string, CallRecord> calls;
  std::vector<KeyGap> gaps;
  std::vector<Disturbance> disturbances;
};

} // namespace poplartrack::soak
