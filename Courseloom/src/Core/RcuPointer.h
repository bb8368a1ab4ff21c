// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <urcu-bp.h>

#include <atomic>
#include <memory>
#include <mutex>

namespace courseloom {

/** \class RcuReadGuard
 * \brief Marks an RCU read-side critical section for as long as it exists.
 *
 * The section must be short, and a coroutine must not be suspended within it. Values that are needed later must be
 * copied.
 */
class RcuReadGuard {
 public:
  RcuReadGuard() { urcu_bp_read_lock(); }
  ~RcuReadGuard() { urcu_bp_read_unlock(); }
  RcuReadGuard(const RcuReadGuard&) = delete;
  RcuReadGuard& operator=(const RcuReadGuard&) = delete;
};

/** \class RcuPointer
 * \brief An immutable value that threads read without a lock while another thread replaces it (read-copy-update).
 *
 * A reader must hold an RcuReadGuard for as long as it uses the value. publish() waits until all readers of the old
 * value have released their guards, so it must not be called within a read-side section.
 */
template <class T>
class RcuPointer {
 public:
  explicit RcuPointer(std::unique_ptr<const T> first) : m_value(first.release()) {}
  ~RcuPointer() { delete m_value.load(); }
  RcuPointer(const RcuPointer&) = delete;
  RcuPointer& operator=(const RcuPointer&) = delete;

  /** \returns the current value; the reference is valid as long as `guard` exists. */
  const T& read(const RcuReadGuard& /*guard*/) const { return *m_value.load(std::memory_order_acquire); }
  /** Replaces the value, waits for the readers of the old one, and deletes it. */
  void publish(std::unique_ptr<const T> next) {
    const std::lock_guard lock(m_publishing);
    const T* old = m_value.exchange(next.release(), std::memory_order_acq_rel);
    urcu_bp_synchronize_rcu();
    delete old;
  }

 private:
  std::atomic<const T*> m_value;
  std::mutex m_publishing;
};

}  // namespace courseloom
