// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Transport/HttpClient.h"
#include "generated/platform.pb.h"

namespace courseloom {

/** \class Platform
 * \brief Interface to the platform that runs tasks on workers: inventory, leases and the list of instances.
 *
 * An order carries a lease number and the leader's term. The platform rejects an order of an older term. It answers an
 * order that it has carried out before with the same answer, so that a retry is safe. It accepts a stop or release of a
 * lease that does not exist; a stop or release that it does not accept had no effect.
 */
class Platform {
 public:
  virtual ~Platform() = default;
  /** Reads the inventory, the leases with their usage and the list of instances. Usage and list may be out of date. */
  virtual Awaitable<Result<schema::PlatformReport>> report() = 0;
  /** Sends one order. After a failure with Ran::Unknown the order may have been carried out: the caller must find out
   * and must not take it for rejected. A status other than 200 gives such a failure. */
  virtual Awaitable<Result<schema::OrderReply>> order(schema::LeaseOrder order) = 0;
};

/** \class HttpPlatform
 * \brief Client of the platform over HTTP with JSON bodies: GET /v1/report, POST /v1/orders.
 */
class HttpPlatform : public Platform {
 public:
  /** \param limit time for one whole exchange */
  HttpPlatform(boost::asio::io_context& io, const std::string& address, unsigned port, Duration limit);
  Awaitable<Result<schema::PlatformReport>> report() override;
  Awaitable<Result<schema::OrderReply>> order(schema::LeaseOrder order) override;

 private:
  HttpClient m_client;
  Duration m_limit;
};

}  // namespace courseloom
