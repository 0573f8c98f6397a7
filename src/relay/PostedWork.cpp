#include "PostedWork.h"

#include <utility>

namespace poplartrack {

void
PostedWork::add(std::function<void()> aWork)
{
  const std::scoped_lock lock{ this->guard };
  this->posted.push_back(std::move(aWork));
}

void
PostedWork::run()
{
  std::vector<std::function<void()>> work;
  {
    const std::scoped_lock lock{ this->guard };
    work.swap(this->posted);
  }
  for (const auto& task : work) {
    task();
  }
}

} // namespace poplartrack
