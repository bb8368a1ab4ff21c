// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <urcu-bp.h>

#include <atomic>
#include <memory>
#include <mutex>

namespace courseloom {

/** \class RcuReadGuard
 * \brief Marks a read-side section. Short, and never across a suspended coroutine: what is needed later is copied out.
 */
class RcuReadGuard {
 public:
  RcuReadGuard() { urcu_bp_read_lock(); }
  ~RcuReadGuard() { urcu_bp_read_unlock(); }
  RcuReadGuard(const RcuReadGuard&) = delete;
  RcuReadGuard& operator=(const RcuReadGuard&) = delete;
};

/** \class RcuPointer
 * \brief An immutable value that many threads read without a lock while one replaces it (read-copy-update).
 *
 * Readers hold an RcuReadGuard for as long as they use the value. publish() waits until the last reader of the old
 * value has left, so it must not be called from within a read section.
 */
template <class T>
class RcuPointer {
 public:
  explicit RcuPointer(std::unique_ptr<const T> first) : m_value(first.release()) {}
  ~RcuPointer() { delete m_value.load(); }
  RcuPointer(const RcuPointer&) = delete;
  RcuPointer& operator=(const RcuPointer&) = delete;

  /** \returns the value in force; valid while `guard` lives. */
  const T& read(const RcuReadGuard& /*guard*/) const { return *m_value.load(std::memory_order_acquire); }
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
