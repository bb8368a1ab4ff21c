// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Settings and objects in YAML: errors name file, line and key.

#include "Courseloom/src/Schema/YamlReader.h"
#include "generated/objects.pb.h"
#include "generated/settings.pb.h"
#include "test/main.h"

using namespace courseloom;

namespace {

std::string errorOf(const std::string& text) {
  schema::Settings settings;
  Result<void> read = readYaml(text, "file.yaml", settings);
  if (read) read = checkRequired("file.yaml", settings);
  return read ? std::string() : extractFailure(read).text();
}

const std::string Node = "node: {name: n, address: 127.0.0.1, dataHall: h}\n";
const std::string Cluster = "cluster:\n  id: c\n  members: [{id: 1, address: 127.0.0.1, rpcPort: 7401}]\n";

}  // namespace

#define ASSERT_NAMES(text, ...)                                                                           \
  for (const std::string& part : {__VA_ARGS__}) {                                                         \
    const std::string error = errorOf(text);                                                              \
    cr_assert(error.find(part) != std::string::npos, "'%s' is not in '%s'", part.c_str(), error.c_str()); \
  }

using namespace std::string_literals;

Test(settings, defaults_are_filled_in) {
  schema::Settings settings;
  settings.mutable_entry();
  cr_assert(bool(readYaml(Node + Cluster, "file.yaml", settings)));
  cr_assert(bool(checkRequired("file.yaml", settings)));
  cr_assert_eq(settings.cluster().election_timeout_ms(), 600);
  cr_assert_eq(settings.entry().max_in_flight(), 2048);
}

Test(settings, errors_name_file_line_and_key) {
  ASSERT_NAMES(Node + Cluster + "entry:\n  maxBodyByte: 5\n", "file.yaml:6"s, "entry.maxBodyByte"s, "unknown key"s);
  ASSERT_NAMES(Node + Cluster + "entry:\n  maxBodyBytes: many\n", "file.yaml:6"s, "entry.maxBodyBytes"s);
  ASSERT_NAMES(Node + Cluster + "entry:\n  maxBodyBytes: 5\n", "file.yaml:6"s, "outside"s);
  ASSERT_NAMES("node: {name: n, address: somewhere, dataHall: h}\n", "file.yaml:1"s, "node.address"s, "IP number"s);
  ASSERT_NAMES(Node, "cluster"s, "missing"s);
  ASSERT_NAMES(Node + Cluster + "entry: {maxInFlight: 5, maxInFlight: 6}\n", "given twice"s);
  ASSERT_NAMES("node: [1, 2\n", "file.yaml"s);
}

Test(settings, a_section_without_its_address_is_an_error) {
  ASSERT_NAMES(Node + Cluster + "platform: {port: 5}\n", "platform.address"s, "missing"s);
  ASSERT_NAMES(Node + Cluster + "platform: {address: '', port: 5}\n", "file.yaml:5"s, "platform.address"s);
  ASSERT_NAMES(Node + Cluster + "runner: {service: s}\n", "runner.targetEndpoint"s, "missing"s);
  ASSERT_NAMES(Node + Cluster + "edge:\n  controlEndpoint: 10.0.0.1\n", "file.yaml:6"s, "edge.controlEndpoint"s);
}

Test(settings, an_omitted_section_of_switches_has_its_defaults_and_a_switch_can_be_off) {
  schema::Settings settings;
  cr_assert(bool(readYaml(Node + Cluster, "file.yaml", settings)));
  cr_assert(bool(checkRequired("file.yaml", settings)));
  cr_assert(settings.policy().waves());
  schema::Settings off;
  cr_assert(bool(readYaml(Node + Cluster + "policy: {waves: false}\n", "file.yaml", off)));
  cr_assert(bool(checkRequired("file.yaml", off)));
  cr_assert_not(off.policy().waves());
}

Test(settings, a_later_file_overrides_an_earlier_one) {
  schema::Settings settings;
  cr_assert(bool(readYaml(Node + Cluster, "a", settings)));
  cr_assert(bool(readYaml("node: {name: other}\n", "b", settings)));
  cr_assert_str_eq(settings.node().name().c_str(), "other");
  cr_assert_str_eq(settings.node().address().c_str(), "127.0.0.1");
}
