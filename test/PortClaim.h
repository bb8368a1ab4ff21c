// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

namespace courseloom::test {

/** Range in which a kind of deployment claims ports: `runs` runs of `portsPerRun` consecutive ports. */
struct PortRange {
  unsigned first = 0;
  unsigned runs = 0;
  unsigned portsPerRun = 0;  ///< number of ports in a run
};

/** \class PortClaim
 * \brief A run of ports on which no program listens at any address, reserved against other test programs until the
 * destructor releases it.
 *
 * The reservation is a file lock, which the kernel releases also when a program crashes.
 */
class PortClaim {
 public:
  /** Draws runs at random until one can be reserved; does not return while none is free. */
  explicit PortClaim(const PortRange& range);
  ~PortClaim();
  PortClaim(const PortClaim&) = delete;
  PortClaim& operator=(const PortClaim&) = delete;

  /** \returns the first port of the run. */
  unsigned base() const { return m_base; }

 private:
  bool claim(unsigned base, unsigned ports);

  unsigned m_base = 0;
  int m_lock = -1;
};

}  // namespace courseloom::test
