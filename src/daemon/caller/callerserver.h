#pragma once

#include "entryhost/entryhost.h"

#include <memory>
#include <string>

namespace anvilmill::daemon {

/// \brief HTTP server of one entry host for callers and operators.
///
/// Thread safety: all methods may be called from any thread.
class CallerServer
{
public:
    /// \brief Listens at the address and port of the settings. Throws Poco::Exception on failure.
    explicit CallerServer(EntryHost &host);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// \brief `address:port` at which callers connect.
    [[nodiscard]] std::string address() const;

    /// \brief Number of requests in progress.
    [[nodiscard]] int openRequests() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace anvilmill::daemon
