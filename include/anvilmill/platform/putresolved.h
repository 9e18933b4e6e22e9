#pragma once

#include "anvilmill/platform/keyvaluestore.h"

namespace anvilmill {

/// \brief Writes by compare-and-swap and determines the outcome of the write if its reply is lost.
///
/// If the outcome of the write is Unknown, the key is read back. If its change id equals that of
/// \p change, the write took effect (Done). Otherwise, if its version differs from the expected
/// one, the write can no longer take effect (Conflict). If the key still has the expected version,
/// the outcome stays Unknown, because the write may still arrive; repeating the same \p change is
/// then safe. With Done and Conflict the reply contains the entry.
///
/// A write that took effect and was overwritten before it was read back is reported as Conflict.
///
/// Thread safety: as for \p store.
[[nodiscard]] StoreReply putResolved(KeyValueStore &store, const StorePut &change,
                                     Duration timeout);

} // namespace anvilmill
