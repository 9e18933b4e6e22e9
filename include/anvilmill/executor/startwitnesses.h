#pragma once

#include "anvilmill/executor/holderassignment.h"

#include <cstddef>
#include <string>
#include <vector>

namespace anvilmill {

/// Tolerates the loss of one witness together with the host, before it has told the others.
constexpr std::size_t MaxStartWitnesses = 2;

/// \brief The hosts that \p self tells of each start before it sends the order, so that they can tell the
/// others if it is lost.
///
/// The next ones by name, so that each host witnesses the starts of as many others: one of the own data
/// centre, which is reachable even if that is cut off, and one of another, which isn't lost with it. If all
/// of \p reachable are in the own data centre, or none is, two of these.
///
/// Load pattern: single hosts, or all hosts of a data centre, lose power while executors carry out starts
/// late.
///
/// Thread safety: a pure function.
[[nodiscard]] std::vector<std::string> startWitnesses(const std::string &self,
                                                      const std::string &dataCentre,
                                                      std::vector<PeerHost> reachable);

} // namespace anvilmill
