#pragma once

#include "entryhost/entryhost.h"
#include "peer/peertransport.h"

namespace anvilmill::daemon {

/// \brief Serves requests of other entry hosts for the answer or status of submissions of \p host.
///
/// A request for an answer is replied to when the submission ends, without blocking the
/// transport's thread.
///
/// Preconditions: \p transport has not been started; \p transport and \p host exist until
/// \p transport has stopped.
void serveAnswers(PeerTransport &transport, EntryHost &host);

} // namespace anvilmill::daemon
