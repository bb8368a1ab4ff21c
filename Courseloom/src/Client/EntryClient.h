// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <string>
#include <vector>

#include "Courseloom/src/Core/Clock.h"
#include "Courseloom/src/Core/Failure.h"

namespace courseloom {

/** \class EntryReply
 * \brief What an entry answered.
 */
struct EntryReply {
  unsigned status = 0;
  std::string body;
};

/** \class EntryClient
 * \brief Blocking HTTP client of the command line; tries the entries it knows in turn.
 */
class EntryClient {
 public:
  /** \param entries "address:port" of each entry \param operatorName name under which changes are recorded */
  EntryClient(std::vector<std::string> entries, std::string operatorName, std::string commandId);

  /** One exchange. A refusal of the entry becomes the failure that its problem document tells. */
  Result<EntryReply> call(const std::string& method, const std::string& path, const std::string& body,
                          Duration limit) const;

 private:
  Result<EntryReply> callOne(const std::string& entry, const std::string& method, const std::string& path,
                             const std::string& body, Duration limit) const;

  std::vector<std::string> m_entries;
  std::string m_operatorName;
  std::string m_commandId;
};

/** \returns text with every byte that has a meaning in a URL escaped. */
std::string urlEscape(const std::string& text);

}  // namespace courseloom
