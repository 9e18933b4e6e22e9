#pragma once

#include "loop/bytebudget.h"

#include <cstddef>
#include <istream>
#include <string>

namespace anvilmill::daemon {

/// \brief What was read of a request's body.
struct RequestBody
{
    enum class End {
        Complete,
        TooLarge,
        /// The budget of the charge has no room for it.
        NoMemory,
    };

    End end = End::Complete;
    /// Empty unless complete.
    std::string text;
};

/// \brief Reads a body of at most \p limit bytes and charges what it holds.
///
/// Blocks until the body has ended or the connection has. Thread safety: may be called from any thread.
[[nodiscard]] RequestBody readBody(std::istream &in, std::size_t limit, ByteCharge &charge);

} // namespace anvilmill::daemon
