// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Transport/HttpClient.h"
#include "generated/platform.pb.h"

namespace courseloom {

/** \class Platform
 * \brief The edge to whatever runs tasks on workers: inventory, leases and the lagging list of instances.
 *
 * Orders carry a lease number and the leader's term: the platform refuses an order of an older term, and an order that
 * was carried out before is answered as before, so that asking again is safe. A stop or release of a lease that is not
 * there is accepted; one that is not accepted has done nothing.
 */
class Platform {
 public:
  virtual ~Platform() = default;
  /** Reads inventory, leases with their usage (which lags) and the list of instances (which lags). */
  virtual Awaitable<Result<schema::PlatformReport>> report() = 0;
  /** Gives one order. A failure with ran unknown must be asked after, not taken for a refusal; a status other than 200
   * is one. */
  virtual Awaitable<Result<schema::OrderReply>> order(schema::LeaseOrder order) = 0;
};

/** \class HttpPlatform
 * \brief The platform over HTTP with JSON: GET /v1/report, POST /v1/orders.
 */
class HttpPlatform : public Platform {
 public:
  HttpPlatform(boost::asio::io_context& io, const std::string& address, unsigned port, Duration limit);
  Awaitable<Result<schema::PlatformReport>> report() override;
  Awaitable<Result<schema::OrderReply>> order(schema::LeaseOrder order) override;

 private:
  HttpClient m_client;
  Duration m_limit;
};

}  // namespace courseloom
