#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace anvilmill {

/// \brief Hash of an ordered list of payloads or outputs, used to match an answer to its request.
///
/// Not cryptographic. Except for hash collisions, lists that differ in the order, number or
/// boundaries of their parts have different digests.
///
/// \code
/// BodyDigest digest;
/// for (const TaskSpec &task : job.tasks)
///     digest.add(task.payload);
/// event.digest = digest.asString();
/// \endcode
class BodyDigest
{
public:
    /// \brief Appends \p part to the hashed list.
    void add(std::string_view part) noexcept;

    /// \brief Returns the digest as sixteen hexadecimal digits.
    [[nodiscard]] std::string asString() const;

private:
    std::uint64_t m_state = 0xcbf29ce484222325ULL;
};

} // namespace anvilmill
