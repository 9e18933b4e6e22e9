#include "rowparser.h"

#include "csvreader.h"
#include "sheetcolumns.h"

#include <algorithm>

namespace anvilmill {

namespace {

constexpr const char *HeaderMark = "kind";

std::string quoted(const std::string &text)
{
    return "'" + text + "'";
}

std::string listed(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text;
}

bool isBlank(const CsvRow &row)
{
    return std::all_of(row.begin(), row.end(),
                       [](const CsvCell &cell) { return cell.text.empty(); });
}

class RowParser
{
public:
    explicit RowParser(std::string file)
        : m_file(std::move(file))
    {
    }

    RowParse parse(std::string_view text)
    {
        CsvText csv = readCsv(text, m_file);
        m_result.errors = std::move(csv.errors);
        for (const CsvRow &row : csv.rows) {
            if (!isBlank(row))
                readRow(row);
        }
        sortRows();
        return std::move(m_result);
    }

private:
    void addError(const CsvCell &cell, std::string reason)
    {
        m_result.errors.push_back({std::move(reason), cell.position});
    }

    void readRow(const CsvRow &row)
    {
        if (row[0].text == HeaderMark) {
            readHeader(row);
            return;
        }
        if (m_header.empty()) {
            addError(row[0],
                     "the sheet must begin with a header, a row whose first cell is 'kind'");
            // Reported once; the rows up to the next header are skipped.
            m_header.push_back(HeaderMark);
            m_hasHeader = false;
        }
        if (m_hasHeader)
            readRecord(row);
    }

    void readHeader(const CsvRow &row)
    {
        m_header.clear();
        m_hasHeader = true;
        for (const CsvCell &cell : row) {
            if (!cell.text.empty())
                checkHeaderCell(cell);
            m_header.push_back(cell.text);
        }
    }

    void checkHeaderCell(const CsvCell &cell)
    {
        if (std::find(m_header.begin(), m_header.end(), cell.text) != m_header.end()) {
            addError(cell, "the column " + quoted(cell.text) + " appears twice in the header");
            return;
        }
        if (cell.text == HeaderMark)
            return;
        std::vector<std::string> known;
        for (const RowKind kind : rowKinds()) {
            for (std::string &name : columnNames(kind)) {
                if (std::find(known.begin(), known.end(), name) == known.end())
                    known.push_back(std::move(name));
            }
        }
        if (std::find(known.begin(), known.end(), cell.text) == known.end())
            addError(cell, "unknown column " + quoted(cell.text) + "; known are " + listed(known));
    }

    void readRecord(const CsvRow &row)
    {
        bool isKnown = false;
        forEachKind(m_result.rows, [&](RowKind kind, auto &rows) {
            if (asString(kind) != row[0].text)
                return;
            isKnown = true;
            readRecordAs(kind, row, rows);
        });
        if (!isKnown)
            addError(row[0], "unknown kind of row " + quoted(row[0].text) + "; known are "
                                     + listed({"service", "stop", "team"}));
    }

    template <typename Row>
    void readRecordAs(RowKind kind, const CsvRow &cells, std::vector<Row> &rows)
    {
        Row row;
        const std::size_t errorsBefore = m_result.errors.size();
        for (std::size_t i = 1; i < cells.size(); ++i) {
            if (!cells[i].text.empty())
                readCellAt(kind, i, cells[i], row);
        }
        for (const Column<Row> &column : columns<Row>())
            checkRequired(kind, column, cells);
        if (!row.name.empty() && !isDuplicate(kind, row.name, cells)
            && m_result.errors.size() == errorsBefore)
            rows.push_back(std::move(row));
    }

    template <typename Row>
    void readCellAt(RowKind kind, std::size_t index, const CsvCell &cell, Row &row)
    {
        const std::string name = index < m_header.size() ? m_header[index] : "";
        if (name.empty()) {
            addError(cell, "the cell " + quoted(cell.text) + " has no column in the header");
            return;
        }
        const auto &all = columns<Row>();
        const auto column = std::find_if(all.begin(), all.end(),
                                         [&](const auto &each) { return each.name == name; });
        if (column == all.end()) {
            addError(cell, "the column " + quoted(name) + " does not apply to " + asString(kind)
                                   + " rows; leave the cell empty");
            return;
        }
        if (CellError error = column->read(cell.text, row))
            addError(cell, name + ": " + *error);
    }

    template <typename Row>
    void checkRequired(RowKind kind, const Column<Row> &column, const CsvRow &cells)
    {
        if (!column.isRequired)
            return;
        const auto found = std::find(m_header.begin(), m_header.end(), column.name);
        const auto index = static_cast<std::size_t>(found - m_header.begin());
        const std::string name(column.name);
        if (found == m_header.end())
            addError(cells[0], asString(kind) + " rows need the column " + quoted(name)
                                       + ", which is missing from the header");
        else if (index >= cells.size() || cells[index].text.empty())
            addError(index < cells.size() ? cells[index] : cells[0],
                     "the column " + quoted(name) + " is empty; " + asString(kind)
                             + " rows need it");
    }

    bool isDuplicate(RowKind kind, const std::string &name, const CsvRow &cells)
    {
        const auto [first, isNew] =
                m_result.positions.emplace(std::pair(kind, name), cells[0].position);
        if (!isNew)
            addError(cells[0], "duplicate " + asString(kind) + " " + quoted(name)
                                       + "; first at line " + std::to_string(first->second.line));
        return !isNew;
    }

    void sortRows()
    {
        forEachKind(m_result.rows, [](RowKind /*kind*/, auto &rows) {
            std::sort(rows.begin(), rows.end(),
                      [](const auto &left, const auto &right) { return left.name < right.name; });
        });
    }

    std::string m_file;
    std::vector<std::string> m_header;
    bool m_hasHeader = false;
    RowParse m_result;
};

} // namespace

RowParse parseRows(std::string_view text, const std::string &file)
{
    return RowParser(file).parse(text);
}

} // namespace anvilmill
