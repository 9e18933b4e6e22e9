#pragma once

#include <optional>
#include <string>
#include <utility>

namespace anvilmill {

/// \brief A position in a text written by an operator or caller. Lines and columns start at 1.
struct SourcePosition
{
    std::string file;
    int line = 0;
    int column = 0;

    [[nodiscard]] bool isKnown() const noexcept { return line > 0; }

    /// \brief `file:line:column`, without the parts that are unknown.
    [[nodiscard]] std::string asString() const;
};

/// \brief Reason for a failure and, if known, its position in the input.
struct Error
{
    std::string reason;
    SourcePosition position;

    /// \brief `file:line:column: reason`, or the reason alone.
    [[nodiscard]] std::string asString() const;
};

/// \brief An optional value together with the reason for its absence.
///
/// \code
/// Result<int> port = parsePort(text);
/// if (!port)
///     return port.error();
/// listen(*port);
/// \endcode
///
/// Thread safety: as for std::optional.
template <typename T>
class Result
{
public:
    // Implicit on purpose: functions return either a value or an Error.
    Result(T value) // NOLINT(google-explicit-constructor)
        : m_value(std::move(value))
    {
    }
    Result(Error error) // NOLINT(google-explicit-constructor)
        : m_error(std::move(error))
    {
    }

    [[nodiscard]] bool hasValue() const noexcept { return m_value.has_value(); }
    [[nodiscard]] explicit operator bool() const noexcept { return hasValue(); }

    /// Precondition: hasValue().
    [[nodiscard]] T &operator*() noexcept { return *m_value; }
    [[nodiscard]] const T &operator*() const noexcept { return *m_value; }
    [[nodiscard]] T *operator->() noexcept { return &*m_value; }
    [[nodiscard]] const T *operator->() const noexcept { return &*m_value; }

    [[nodiscard]] T valueOr(T fallback) const { return m_value ? *m_value : std::move(fallback); }
    [[nodiscard]] const std::optional<T> &asOptional() const noexcept { return m_value; }

    /// Precondition: !hasValue().
    [[nodiscard]] const Error &error() const noexcept { return m_error; }

private:
    std::optional<T> m_value;
    Error m_error;
};

} // namespace anvilmill
