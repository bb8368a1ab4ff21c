// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <string>
#include <vector>

#include "Courseloom/src/Core/Clock.h"
#include "Courseloom/src/Core/Failure.h"

namespace courseloom {

/** \class EntryReply
 * \brief A successful answer of an entry.
 */
struct EntryReply {
  unsigned status = 0;  ///< HTTP status
  std::string body;
};

/** \class EntryClient
 * \brief Blocking HTTP client of the command line. Tries the entries in the given order until one answers.
 */
class EntryClient {
 public:
  /** \param entries "address:port" of each entry
   * \param operatorName name under which changes are recorded
   * \param commandId id of the change, under which it may be sent again; empty if it must not be sent again
   */
  EntryClient(std::vector<std::string> entries, std::string operatorName, std::string commandId);

  /** Sends a request and reads the answer. \param limit longest time for each entry that is tried
   * \returns the answer, or a failure; a problem document of the entry becomes the failure that it describes
   */
  Result<EntryReply> call(const std::string& method, const std::string& path, const std::string& body,
                          Duration limit) const;

 private:
  Result<EntryReply> callOne(const std::string& entry, const std::string& method, const std::string& path,
                             const std::string& body, Duration limit) const;

  std::vector<std::string> m_entries;
  std::string m_operatorName;
  std::string m_commandId;
};

/** \returns text in which every byte except letters, digits, '-', '_' and '.' is percent-encoded. */
std::string urlEscape(const std::string& text);

}  // namespace courseloom
