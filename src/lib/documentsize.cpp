#include "anvilmill/documentsize.h"

#include <string>

namespace anvilmill {

namespace {

/// Stops at the first level that is too deep, or once there are too many values.
class SizeCheck final : public nlohmann::json_sax<nlohmann::json>
{
public:
    explicit SizeCheck(const DocumentLimits &limits)
        : m_limits(limits)
    {
    }

    bool null() override { return value(); }
    bool boolean(bool) override { return value(); }
    bool number_integer(number_integer_t) override { return value(); }
    bool number_unsigned(number_unsigned_t) override { return value(); }
    bool number_float(number_float_t, const string_t &) override { return value(); }
    bool string(string_t &) override { return value(); }
    bool binary(binary_t &) override { return value(); }
    bool key(string_t &) override { return true; }
    bool start_object(std::size_t) override { return enter(); }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return enter(); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string &,
                     const nlohmann::detail::exception &exception) override
    {
        m_reason = exception.what();
        return false;
    }

    /// Why the document was not read to its end.
    [[nodiscard]] const std::string &reason() const noexcept { return m_reason; }

private:
    bool value()
    {
        if (++m_values > m_limits.values)
            m_reason = "more than " + std::to_string(m_limits.values) + " values";
        return m_reason.empty();
    }
    bool enter()
    {
        if (++m_depth > m_limits.depth)
            m_reason = "nested more than " + std::to_string(m_limits.depth) + " levels deep";
        return m_reason.empty() && value();
    }
    bool leave()
    {
        --m_depth;
        return true;
    }

    DocumentLimits m_limits;
    std::size_t m_depth = 0;
    std::size_t m_values = 0;
    std::string m_reason;
};

} // namespace

std::optional<std::string> documentError(std::string_view bytes,
                                         nlohmann::json::input_format_t format,
                                         const DocumentLimits &limits)
{
    SizeCheck check(limits);
    if (nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &check, format))
        return std::nullopt;
    return check.reason();
}

} // namespace anvilmill
