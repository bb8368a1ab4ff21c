// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

namespace courseloom::test {

/** Where a kind of deployment looks for ports: so many runs of neighbouring ports. */
struct PortRange {
  unsigned first = 0;
  unsigned runs = 0;
  unsigned each = 0;  ///< ports of one run
};

/** \class PortClaim
 * \brief A run of ports on which nothing listens at any address, kept from other test programs until the claim goes.
 *
 * The lock is the kernel's, so that a program that dies gives its ports back.
 */
class PortClaim {
 public:
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
