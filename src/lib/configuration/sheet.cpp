#include "anvilmill/configuration/sheet.h"

#include "sheetcolumns.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

#include <algorithm>
#include <tuple>

namespace anvilmill {

namespace {

constexpr std::size_t DigestLength = 16;
constexpr int MaxTasks = 1000000;
constexpr int MaxWeight = 1000;
constexpr double MaxWaitSeconds = 3600;
constexpr double MaxGraceSeconds = 24 * 3600;

constexpr CellLimits NoLimits = {};

template <typename Row>
const Row *findRow(const std::vector<Row> &rows, const std::string &name) noexcept
{
    const auto found =
            std::lower_bound(rows.begin(), rows.end(), name,
                             [](const Row &row, const std::string &key) { return row.name < key; });
    return found != rows.end() && found->name == name ? &*found : nullptr;
}

} // namespace

bool ServiceRow::operator==(const ServiceRow &other) const noexcept
{
    return std::tie(name, size, urgency, objective, latency, queueLimit, queueWait)
           == std::tie(other.name, other.size, other.urgency, other.objective, other.latency,
                       other.queueLimit, other.queueWait);
}

bool StopRow::operator==(const StopRow &other) const noexcept
{
    return std::tie(name, role, at, grace)
           == std::tie(other.name, other.role, other.at, other.grace);
}

bool TeamRow::operator==(const TeamRow &other) const noexcept
{
    return std::tie(name, quota, weight) == std::tie(other.name, other.quota, other.weight);
}

bool Sheet::operator==(const Sheet &other) const noexcept
{
    return services == other.services && stops == other.stops && teams == other.teams;
}

const ServiceRow *Sheet::findService(const std::string &service) const noexcept
{
    return findRow(services, service);
}

const TeamRow *Sheet::findTeam(const std::string &team) const noexcept
{
    return findRow(teams, team);
}

const std::vector<Column<ServiceRow>> &columnsOf(const ServiceRow * /*kind*/)
{
    static const std::vector<Column<ServiceRow>> all = {
            {"name", &ServiceRow::name, true, NoLimits},
            {"size", &ServiceRow::size, true, {0, MaxTasks}},
            {"urgency", &ServiceRow::urgency, false, NoLimits},
            {"objective", &ServiceRow::objective, false, {50, 99.999}},
            {"latency", &ServiceRow::latency, false, {0.001, MaxWaitSeconds}},
            {"queue-limit", &ServiceRow::queueLimit, false, {1, MaxTasks}},
            {"queue-wait", &ServiceRow::queueWait, false, {0.001, MaxWaitSeconds}},
    };
    return all;
}

const std::vector<Column<StopRow>> &columnsOf(const StopRow * /*kind*/)
{
    static const std::vector<Column<StopRow>> all = {
            {"name", &StopRow::name, true, NoLimits},
            {"role", &StopRow::role, true, NoLimits},
            {"at", &StopRow::at, true, NoLimits},
            {"grace", &StopRow::grace, false, {0, MaxGraceSeconds}},
    };
    return all;
}

const std::vector<Column<TeamRow>> &columnsOf(const TeamRow * /*kind*/)
{
    static const std::vector<Column<TeamRow>> all = {
            {"name", &TeamRow::name, true, NoLimits},
            {"quota", &TeamRow::quota, true, {0, MaxTasks}},
            {"weight", &TeamRow::weight, false, {1, MaxWeight}},
    };
    return all;
}

const std::vector<RowKind> &rowKinds()
{
    static const std::vector<RowKind> all = {RowKind::Service, RowKind::Stop, RowKind::Team};
    return all;
}

std::string asString(RowKind kind)
{
    switch (kind) {
    case RowKind::Service:
        return "service";
    case RowKind::Stop:
        return "stop";
    case RowKind::Team:
        return "team";
    }
    return "";
}

std::vector<std::string> columnNames(RowKind kind)
{
    std::vector<std::string> names;
    const Sheet empty;
    forEachKind(empty, [&](RowKind each, const auto &rows) {
        using Row = typename std::decay_t<decltype(rows)>::value_type;
        if (each != kind)
            return;
        for (const Column<Row> &column : columns<Row>())
            names.emplace_back(column.name);
    });
    return names;
}

std::string canonicalHeader(RowKind kind)
{
    std::string line = "kind";
    for (const std::string &name : columnNames(kind))
        line += "," + name;
    return line + "\n";
}

std::string canonicalText(const Sheet &sheet)
{
    std::string text;
    forEachKind(sheet, [&](RowKind kind, const auto &rows) {
        if (!rows.empty())
            text += canonicalHeader(kind);
        for (const auto &row : rows)
            text += canonicalLine(kind, row);
    });
    return text;
}

std::string digestOf(const Sheet &sheet)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(canonicalText(sheet));
    return Poco::DigestEngine::digestToHex(engine.digest()).substr(0, DigestLength);
}

} // namespace anvilmill
