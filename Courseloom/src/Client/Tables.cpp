// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Client/Tables.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <sstream>

#include "Courseloom/src/State/ObjectTable.h"

namespace courseloom {

namespace internal {
namespace {

using Rows = std::vector<std::vector<std::string>>;

std::string join_labels(const google::protobuf::Map<std::string, std::string>& labels) {
  const Labels sorted(labels.begin(), labels.end());
  std::string text;
  for (const auto& [key, value] : sorted) text += (text.empty() ? "" : ",") + key + "=" + value;
  return text.empty() ? "-" : text;
}

std::string state_of(const schema::Object& object) {
  if (object.draining()) return "draining";
  return object.paused() ? "paused" : "active";
}

std::string shape_text(const schema::Shape& shape) {
  return std::to_string(shape.tasks()) + "x" + std::to_string(shape.accelerators()) + " " +
         schema::Adjacency_Name(shape.adjacency());
}

std::string one_decimal(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f", value);
  return text;
}

std::string two_decimals(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f", value);
  return text;
}

/** A histogram, summed over the series of one family, workspace and class. */
struct Series {
  std::map<double, double> buckets;  ///< upper bound to cumulative count
  double count = 0;
  double sum = 0;

  /** \returns the upper bound of the bucket that holds the quantile; 0 without buckets. */
  double quantile(double share) const {
    for (const auto& [bound, cumulative] : buckets) {
      if (cumulative >= share * count) return bound;
    }
    return buckets.empty() ? 0 : buckets.rbegin()->first;
  }
};

std::string label_value(const std::string& line, const std::string& key) {
  const std::size_t at = line.find(key + "=\"");
  if (at == std::string::npos) return {};
  const std::size_t begin = at + key.size() + 2;
  return line.substr(begin, line.find('"', begin) - begin);
}

/** Adds the sample of one line of the Prometheus text format to its histogram; ignores other lines. */
void read_line(const std::string& line, std::map<std::vector<std::string>, Series>& all) {
  const std::size_t brace = line.find('{');
  const std::size_t space = line.rfind(' ');
  if (brace == std::string::npos || space == std::string::npos || line[0] == '#') return;
  const std::string name = line.substr(0, brace);
  const double value = std::strtod(line.c_str() + space, nullptr);
  const auto ends_with = [&name](const std::string& tail) {
    return name.size() > tail.size() && name.compare(name.size() - tail.size(), tail.size(), tail) == 0;
  };
  const std::size_t suffixStart = name.rfind('_');
  Series& series = all[{name.substr(0, suffixStart), label_value(line, "workspace"), label_value(line, "class")}];
  if (ends_with("_bucket")) {
    const std::string bound = label_value(line, "le");
    if (bound != "+Inf") series.buckets[std::strtod(bound.c_str(), nullptr)] += value;
  } else if (ends_with("_count")) {
    series.count += value;
  } else if (ends_with("_sum")) {
    series.sum += value;
  }
}

}  // namespace
}  // namespace internal

std::string formatTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) line += std::string(widths[i] - row[i].size() + 2, ' ');
    }
    text += line + "\n";
  }
  return text;
}

std::string objectTable(const schema::QueryReply& reply) {
  internal::Rows rows{{"KIND", "NAME", "REVISION", "STATE", "URGENCY", "LABELS", "DETAIL"}};
  for (const schema::Object& object : reply.objects()) {
    std::string detail = "-";
    if (object.has_guarantee()) {
      const schema::GuaranteeSpec& spec = object.guarantee();
      detail = spec.workspace();
      if (spec.slots() > 0) detail += " " + std::to_string(spec.slots()) + " slots in " + spec.service();
      if (spec.has_shape()) detail += " " + internal::shape_text(spec.shape());
    }
    rows.push_back({kindOf(object), object.name(), std::to_string(object.revision()), internal::state_of(object),
                    schema::Urgency_Name(object.urgency()), internal::join_labels(object.labels()), detail});
  }
  return formatTable(rows);
}

std::string jobTable(const schema::QueryReply& reply) {
  internal::Rows rows{
      {"JOB", "WORKSPACE", "SERVICE", "URGENCY", "SHAPE", "PHASE", "STARTS", "GUARANTEE", "WORKERS", "NOTE"}};
  for (const schema::Job& job : reply.jobs()) {
    std::string workers;
    for (const schema::Lease& lease : job.leases()) workers += (workers.empty() ? "" : ",") + lease.worker();
    rows.push_back({job.id(), job.spec().workspace(), job.spec().service(), schema::Urgency_Name(job.spec().urgency()),
                    internal::shape_text(job.spec().shape()), schema::JobPhase_Name(job.phase()).substr(3),
                    std::to_string(job.starts()), job.guarantee().empty() ? "-" : job.guarantee(),
                    workers.empty() ? "-" : workers, job.result().empty() ? reply.why() : job.result()});
  }
  return formatTable(rows);
}

std::string statusTables(const schema::ClusterStatus& status) {
  std::ostringstream text;
  text << "leader: replica " << status.leader() << ", term " << status.term() << ", revision " << status.revision()
       << ", commit " << status.commit() << ", fragmentation " << internal::one_decimal(status.fragmentation())
       << "\n\n";
  internal::Rows replicas{{"REPLICA", "VOTER", "MATCH", "LEADER"}};
  for (const schema::ReplicaStatus& replica : status.replicas()) {
    replicas.push_back({std::to_string(replica.id()), replica.voter() ? "yes" : "no", std::to_string(replica.match()),
                        replica.leader() ? "yes" : "no"});
  }
  internal::Rows nodes{{"NODE", "ROLE", "DATA HALL", "REVISION", "SILENT MS", "RUNNING", "QUEUED", "SLOTS", "STATE"}};
  for (const schema::NodeStatus& node : status.nodes()) {
    const bool agent = node.role() == schema::AgentRole;
    nodes.push_back({node.name(), agent ? "agent" : "entry", node.data_hall(), std::to_string(node.revision()),
                     std::to_string(node.silent_ms()), agent ? std::to_string(node.load().running()) : "-",
                     agent ? std::to_string(node.load().queued()) : "-",
                     agent ? std::to_string(node.load().slots()) : "-",
                     node.leaving()                        ? "leaving"
                     : node.revision() < status.revision() ? "behind"
                                                           : "live"});
  }
  internal::Rows workers{{"WORKER", "RACK", "DATA HALL", "ACCELERATORS", "FREE", "CORES", "FREE"}};
  for (const schema::WorkerStatus& worker : status.workers()) {
    workers.push_back({worker.name(), worker.rack(), worker.data_hall(), std::to_string(worker.accelerators()),
                       std::to_string(worker.free_accelerators()), std::to_string(worker.cores()),
                       std::to_string(worker.free_cores())});
  }
  internal::Rows guarantees{{"GUARANTEE", "WITNESSED", "REASON"}};
  for (const schema::GuaranteeStatus& guarantee : status.guarantees()) {
    guarantees.push_back({guarantee.name(), guarantee.witnessed() ? "yes" : "AT RISK", guarantee.reason()});
  }
  internal::Rows drains{{"DRAINED HALL", "BY", "TARGETS", "STILL RUNNING"}};
  for (const schema::HallDrainStatus& drain : status.hall_drains()) {
    drains.push_back({drain.drain().data_hall(), drain.drain().operator_name(), std::to_string(drain.targets()),
                      std::to_string(drain.runs())});
  }
  text << formatTable(replicas) << "\n"
       << formatTable(nodes) << "\n"
       << formatTable(workers) << "\n"
       << formatTable(guarantees);
  if (status.hall_drains_size() > 0) text << "\n" << formatTable(drains);
  return text.str();
}

std::string targetTable(const schema::ClusterStatus& status) {
  internal::Rows rows{{"TARGET", "SERVICE", "DATA HALL", "RACK", "OPEN", "RUNS", "TIME FACTOR", "OFF BY UP TO"}};
  for (const schema::TargetStatus& target : status.targets()) {
    rows.push_back({target.id(), target.service(), target.data_hall(), target.rack(), target.open() ? "yes" : "no",
                    std::to_string(target.runs()), internal::two_decimals(target.time_factor()),
                    internal::two_decimals(target.uncertainty())});
  }
  return formatTable(rows);
}

std::string histogramTable(const std::string& prometheus) {
  std::map<std::vector<std::string>, internal::Series> all;
  std::istringstream lines(prometheus);
  for (std::string line; std::getline(lines, line);) {
    if (line.find("workspace=") != std::string::npos) internal::read_line(line, all);
  }
  internal::Rows rows{{"FAMILY", "WORKSPACE", "CLASS", "COUNT", "MEAN", "P50", "P90", "P99"}};
  for (const auto& [key, series] : all) {
    if (series.count == 0) continue;
    rows.push_back({key[0], key[1], key[2], std::to_string(static_cast<long>(series.count)),
                    internal::one_decimal(series.sum / series.count), internal::one_decimal(series.quantile(0.5)),
                    internal::one_decimal(series.quantile(0.9)), internal::one_decimal(series.quantile(0.99))});
  }
  return formatTable(rows);
}

}  // namespace courseloom
