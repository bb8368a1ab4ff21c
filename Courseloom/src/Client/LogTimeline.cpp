// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Client/LogTimeline.h"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <map>

namespace courseloom {

namespace internal {
namespace {

using google::protobuf::Struct;

std::string text_in(const Struct& object, const std::string& name) {
  const auto found = object.fields().find(name);
  return found == object.fields().end() ? std::string() : found->second.string_value();
}

/** \returns the fields in the order of their names, without `event` and `process`. */
std::string fields_of(const Struct& fields) {
  std::map<std::string, std::string> sorted;
  for (const auto& [name, value] : fields.fields()) sorted[name] = value.string_value();
  sorted.erase("event");
  sorted.erase("process");
  std::string text;
  for (const auto& [name, value] : sorted) text += " " + name + "=" + value;
  return text;
}

}  // namespace
}  // namespace internal

void LogTimeline::read(std::istream& log) {
  for (std::string line; std::getline(log, line);) addLine(line);
}

void LogTimeline::addLine(const std::string& line) {
  const std::size_t begin = line.find('{');
  if (begin == std::string::npos || line.find(m_id) == std::string::npos) return;
  google::protobuf::Struct object;
  if (!google::protobuf::util::JsonStringToMessage(line.substr(begin), &object).ok()) return;
  const auto fields = object.fields().find("context_map");
  if (fields == object.fields().end()) return;
  const google::protobuf::Struct& context = fields->second.struct_value();
  const std::string time = internal::text_in(object, "timestamp");
  m_entries.push_back({time, time + " " + internal::text_in(context, "process") + " " +
                                 internal::text_in(object, "message") + internal::fields_of(context)});
}

std::string LogTimeline::text() const {
  std::vector<Entry> sorted = m_entries;
  std::stable_sort(sorted.begin(), sorted.end(), [](const Entry& a, const Entry& b) { return a.time < b.time; });
  std::string text;
  for (const Entry& entry : sorted) text += entry.text + "\n";
  return text;
}

}  // namespace courseloom
