// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <string>
#include <vector>

#include "generated/rpc.pb.h"

namespace courseloom {

/** \returns rows with columns padded to equal width; the first row is the heading. */
std::string formatTable(const std::vector<std::vector<std::string>>& rows);
std::string objectTable(const schema::QueryReply& reply);
std::string jobTable(const schema::QueryReply& reply);
/** Targets of workflows, with the run time of a task on each against that on a usual one. */
std::string targetTable(const schema::ClusterStatus& status);
std::string statusTables(const schema::ClusterStatus& status);
/** Sums Prometheus histograms into a table: family, workspace, class, count, mean and quantiles in ms. */
std::string histogramTable(const std::string& prometheus);

}  // namespace courseloom
