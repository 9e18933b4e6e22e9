#pragma once

#include <limits>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilmill {

/// \brief Maps names to consecutive indexes, in the order of first use.
///
/// Names beyond a limit share one index, whose name is empty.
///
/// Thread safety: one thread at a time.
class NameIndex
{
public:
    explicit NameIndex(std::size_t maxNames = std::numeric_limits<std::size_t>::max()) noexcept;

    /// \brief Returns the index of \p name; assigns the next one to a new name.
    std::size_t indexOf(const std::string &name);

    [[nodiscard]] std::optional<std::size_t> find(const std::string &name) const;

    /// Precondition: \p index came from indexOf().
    [[nodiscard]] const std::string &nameOf(std::size_t index) const { return m_names[index]; }
    [[nodiscard]] std::size_t size() const noexcept { return m_names.size(); }

private:
    std::size_t m_maxNames;
    std::unordered_map<std::string, std::size_t> m_indexes;
    std::vector<std::string> m_names;
};

} // namespace anvilmill
