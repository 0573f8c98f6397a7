#pragma once

#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "poplartrack/base/RequestId.h"

namespace poplartrack {

/** Request ids, ordered by the time at which they are due. */
template<typename Moment>
class ExpiryIndex
{
public:
  /** Sets or changes the time of an id. */
  void set(const RequestId& aRequest, Moment aWhen)
  {
    this->remove(aRequest);
    this->moments.emplace(aRequest, aWhen);
    this->order.emplace(aWhen, aRequest);
  }

  void remove(const RequestId& aRequest)
  {
    const auto known = this->moments.find(aRequest);
    if (known == this->moments.end()) {
      return;
    }
    this->order.erase({ known->second, aRequest });
    this->moments.erase(known);
  }

  /** Removes and returns the ids that are due by aNow, in order. */
  std::vector<RequestId> takeDue(Moment aNow)
  {
    std::vector<RequestId> due;
    while (!this->order.empty() && this->order.begin()->first <= aNow) {
      due.push_back(this->order.begin()->second);
      this->moments.erase(due.back());
      this->order.erase(this->order.begin());
    }
    return due;
  }

private:
  std::set<std::pair<Moment, RequestId>> order;
  std::unordered_map<RequestId, Moment> moments;
};

} // namespace poplartrack
