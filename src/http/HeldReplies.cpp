#include "HeldReplies.h"

#include <algorithm>

namespace poplartrack {

HttpTransfer*
HeldReplies::update(HttpTransfer& aReply, std::size_t aBytes)
{
  std::size_t& held = this->replies[&aReply];
  this->total = this->total - held + aBytes;
  held = aBytes;
  if (this->total <= this->mostBytes) {
    return nullptr;
  }
  const auto bySize = [](const auto& aOne, const auto& aOther) {
    return aOne.second < aOther.second;
  };
  return std::max_element(this->replies.begin(), this->replies.end(), bySize)
    ->first;
}

void
HeldReplies::remove(HttpTransfer& aReply)
{
  const auto found = this->replies.find(&aReply);
  if (found == this->replies.end()) {
    return;
  }
  this->total -= found->second;
  this->replies.erase(found);
}

} // namespace poplartrack
