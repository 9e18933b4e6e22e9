#include "csvreader.h"

#include <csv.h>

namespace anvilmill {

namespace {

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

bool isContinuationByte(char c)
{
    return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U;
}

/// Feeds libcsv one byte at a time to track the position of each cell.
class CsvReader
{
public:
    CsvReader(std::string_view text, const std::string &file)
        : m_text(text)
        , m_position{file, 1, 1}
    {
        if (m_text.substr(0, ByteOrderMark.size()) == ByteOrderMark)
            m_text.remove_prefix(ByteOrderMark.size());
        reset();
    }
    ~CsvReader() { csv_free(&m_parser); }
    CsvReader(const CsvReader &) = delete;
    CsvReader &operator=(const CsvReader &) = delete;

    CsvText read()
    {
        for (const char c : m_text) {
            if (!isSkipped(c))
                feed(c);
            advance(c);
        }
        if (csv_fini(&m_parser, onCell, onRow, this) != 0)
            addError("missing closing quote", m_rowStart);
        return std::move(m_result);
    }

private:
    static void onCell(void *text, std::size_t size, void *self)
    {
        auto &reader = *static_cast<CsvReader *>(self);
        const SourcePosition start =
                reader.m_cellStart.isKnown() ? reader.m_cellStart : reader.m_position;
        reader.m_row.push_back({std::string(static_cast<const char *>(text), size), start});
        reader.m_cellStart.line = 0;
    }

    static void onRow(int /*terminator*/, void *self)
    {
        auto &reader = *static_cast<CsvReader *>(self);
        reader.m_result.rows.push_back(std::move(reader.m_row));
        reader.m_row.clear();
        reader.m_isAtRowStart = true;
    }

    void reset()
    {
        csv_init(&m_parser, CSV_STRICT | CSV_STRICT_FINI);
        m_row.clear();
        m_cellStart.line = 0;
    }

    /// True within a comment and within the remainder of a malformed line.
    bool isSkipped(char c)
    {
        if (m_isAtRowStart && c == '#')
            m_isSkipping = true;
        if (m_isSkipping && c == '\n') {
            m_isSkipping = false;
            m_isAtRowStart = true;
        }
        return m_isSkipping;
    }

    void feed(char c)
    {
        const bool isBlank = c == ' ' || c == '\t' || c == '\r' || c == '\n';
        if (m_isAtRowStart && !isBlank) {
            m_isAtRowStart = false;
            m_rowStart = m_position;
        }
        if (!m_cellStart.isKnown() && !isBlank && c != ',')
            m_cellStart = m_position;
        if (csv_parse(&m_parser, &c, 1, onCell, onRow, this) == 1)
            return;
        addError("unexpected quote; quote the whole cell and double each quote inside it",
                 m_position);
        csv_free(&m_parser);
        reset();
        m_isSkipping = c != '\n';
    }

    void advance(char c)
    {
        if (c == '\n') {
            ++m_position.line;
            m_position.column = 1;
        } else if (!isContinuationByte(c)) {
            ++m_position.column;
        }
    }

    void addError(std::string reason, const SourcePosition &position)
    {
        m_result.errors.push_back({std::move(reason), position});
    }

    std::string_view m_text;
    csv_parser m_parser{};
    SourcePosition m_position;
    SourcePosition m_cellStart;
    SourcePosition m_rowStart;
    CsvRow m_row;
    CsvText m_result;
    bool m_isAtRowStart = true;
    bool m_isSkipping = false;
};

} // namespace

CsvText readCsv(std::string_view text, const std::string &file)
{
    return CsvReader(text, file).read();
}

} // namespace anvilmill
