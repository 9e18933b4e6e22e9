#pragma once

#include "anvilmill/admission/claim.h"
#include "anvilmill/admission/message.h"

#include <functional>
#include <utility>
#include <vector>

namespace anvilmill {

/// \brief Messages and calls that are collected under a lock and executed after its release.
///
/// Thread safety: one thread at a time.
class Effects
{
public:
    template <typename Body>
    void send(const HostIncarnation &to, Body body)
    {
        m_messages.emplace_back(to, AdmissionMessage{std::move(body)});
    }

    void call(std::function<void()> function) { m_calls.push_back(std::move(function)); }

    [[nodiscard]] std::size_t messages() const noexcept { return m_messages.size(); }

    /// \brief Sends the messages, then makes the calls. Precondition: no lock is held.
    void carryOut(ClaimLink &link)
    {
        for (const auto &[to, message] : m_messages)
            link.send(to, message);
        for (const std::function<void()> &function : m_calls)
            function();
    }

private:
    std::vector<std::pair<HostIncarnation, AdmissionMessage>> m_messages;
    std::vector<std::function<void()>> m_calls;
};

} // namespace anvilmill
