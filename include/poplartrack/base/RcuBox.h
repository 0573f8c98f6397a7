#pragma once

#include <memory>
#include <mutex>
#include <utility>

// The bulletproof flavour registers reader threads by itself, which the
// HTTP library's connection threads need: nothing of ours runs when they
// start.
#include <urcu-bp.h>

namespace poplartrack {

/**
 * An immutable value that readers on the request path take without a lock and
 * writers replace whole. Readers see either the old value or the new one.
 */
template<typename T>
class RcuBox
{
public:
  explicit RcuBox(std::shared_ptr<const T> aFirst)
    : current(new std::shared_ptr<const T>(std::move(aFirst)))
  {
  }
  RcuBox(const RcuBox&) = delete;
  RcuBox& operator=(const RcuBox&) = delete;
  ~RcuBox() { delete this->current; }

  /** The value of this moment; stays valid for as long as it is held. */
  [[nodiscard]] std::shared_ptr<const T> read() const
  {
    urcu_bp_read_lock();
    std::shared_ptr<const T> value = *rcu_dereference(this->current);
    urcu_bp_read_unlock();
    return value;
  }

  /** Replaces the value; waits until no reader can still see the old one. */
  void replace(std::shared_ptr<const T> aNext)
  {
    const std::scoped_lock lock{ this->writers };
    auto* fresh = new std::shared_ptr<const T>(std::move(aNext));
    std::shared_ptr<const T>* old = this->current;
    rcu_assign_pointer(this->current, fresh);
    urcu_bp_synchronize_rcu();
    delete old;
  }

private:
  std::mutex writers;
  std::shared_ptr<const T>* current;
};

} // namespace poplartrack
