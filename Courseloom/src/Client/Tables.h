// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <string>
#include <vector>

#include "generated/rpc.pb.h"

namespace courseloom {

/** \returns the rows as text with columns padded to equal width; the first row is the heading. */
std::string formatTable(const std::vector<std::vector<std::string>>& rows);
/** \returns the table of a reply's services, workspaces and guarantees. */
std::string objectTable(const schema::QueryReply& reply);
/** \returns the table of a reply's jobs; a job without a result has the reply's reason as its note. */
std::string jobTable(const schema::QueryReply& reply);
/** \returns the table of the targets of workflows, with the run time of a task on each relative to a usual target. */
std::string targetTable(const schema::ClusterStatus& status);
/** \returns the tables of replicas, nodes, workers and guarantees, and of drained data halls if there are any. */
std::string statusTables(const schema::ClusterStatus& status);
/** Sums Prometheus histograms by family, workspace and class. \returns a table with count, mean and quantiles, ms */
std::string histogramTable(const std::string& prometheus);

}  // namespace courseloom
