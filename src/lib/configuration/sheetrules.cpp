#include "sheetrules.h"

#include <algorithm>
#include <map>

namespace anvilmill {

namespace {

constexpr std::size_t MaxCanonicalBytes = 900000;
constexpr std::int64_t MaxTotalTasks = 1000000;

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::string dataCentreOf(const std::string &host)
{
    return host.substr(0, host.find('/'));
}

bool isHostName(const std::string &name)
{
    const std::size_t slash = name.find('/');
    return slash != std::string::npos && slash > 0 && slash + 1 < name.size()
           && name.find('/', slash + 1) == std::string::npos;
}

class RuleChecker
{
public:
    RuleChecker(const Sheet &sheet, const RowPositions &positions,
                const std::optional<Inventory> &inventory, const std::string &file)
        : m_sheet(sheet)
        , m_positions(positions)
        , m_inventory(inventory)
        , m_file(file)
    {
    }

    std::vector<Error> check()
    {
        checkNames();
        for (const StopRow &stop : m_sheet.stops)
            checkStop(stop);
        checkSizes();
        checkDataCentres();
        checkLength();
        return std::move(m_errors);
    }

private:
    void addError(RowKind kind, const std::string &name, std::string reason)
    {
        const auto found = m_positions.find({kind, name});
        const bool isKnown = found != m_positions.end();
        m_errors.push_back({std::move(reason), isKnown ? found->second : SourcePosition{m_file}});
    }

    void addSheetError(std::string reason) { m_errors.push_back({std::move(reason), {m_file}}); }

    void checkNames()
    {
        for (const ServiceRow &service : m_sheet.services)
            checkPlainName(RowKind::Service, service.name);
        for (const TeamRow &team : m_sheet.teams)
            checkPlainName(RowKind::Team, team.name);
    }

    void checkPlainName(RowKind kind, const std::string &name)
    {
        if (name.find('/') != std::string::npos)
            addError(kind, name, "the name '" + name + "' may not contain '/'");
    }

    void checkStop(const StopRow &stop)
    {
        if (stop.role == StopKind::Service) {
            if (!m_sheet.findService(stop.name))
                addError(RowKind::Stop, stop.name,
                         "the stop names the service '" + stop.name
                                 + "', which the sheet does not list");
            return;
        }
        if (!isHostName(stop.name)) {
            addError(RowKind::Stop, stop.name,
                     "'" + stop.name + "' is not a host; write dataCentre/host");
            return;
        }
        if (!m_inventory)
            return;
        const bool isEntryHost = stop.role == StopKind::EntryHost;
        if (!contains(isEntryHost ? m_inventory->entryHosts : m_inventory->workers, stop.name))
            addError(RowKind::Stop, stop.name,
                     "the stop names the " + std::string(isEntryHost ? "entry host" : "worker")
                             + " '" + stop.name + "', which is not in the inventory");
    }

    void checkSizes()
    {
        std::int64_t total = 0;
        for (const ServiceRow &service : m_sheet.services)
            total += service.size;
        const bool hasSlots = m_inventory && m_inventory->slots;
        const std::int64_t limit = hasSlots ? *m_inventory->slots : MaxTotalTasks;
        if (total > limit)
            addSheetError("the sizes of all services add up to " + std::to_string(total)
                          + ", more than the " + std::to_string(limit)
                          + (hasSlots ? " slots of the inventory" : " that a sheet may hold"));
    }

    void checkDataCentres()
    {
        if (!m_inventory)
            return;
        std::map<std::string, std::size_t> left;
        for (const std::string &host : m_inventory->entryHosts)
            ++left[dataCentreOf(host)];
        for (const StopRow &stop : m_sheet.stops) {
            if (stop.role != StopKind::EntryHost || !contains(m_inventory->entryHosts, stop.name))
                continue;
            if (--left[dataCentreOf(stop.name)] == 0)
                addError(RowKind::Stop, stop.name,
                         "with this stop the data centre '" + dataCentreOf(stop.name)
                                 + "' has no entry host left");
        }
    }

    void checkLength()
    {
        const std::size_t length = canonicalText(m_sheet).size();
        if (length > MaxCanonicalBytes)
            addSheetError("the sheet takes " + std::to_string(length)
                          + " bytes in canonical form; at most " + std::to_string(MaxCanonicalBytes)
                          + " can be stored");
    }

    const Sheet &m_sheet;
    const RowPositions &m_positions;
    const std::optional<Inventory> &m_inventory;
    const std::string &m_file;
    std::vector<Error> m_errors;
};

} // namespace

std::vector<Error> checkRules(const Sheet &sheet, const RowPositions &positions,
                              const std::optional<Inventory> &inventory, const std::string &file)
{
    return RuleChecker(sheet, positions, inventory, file).check();
}

} // namespace anvilmill
