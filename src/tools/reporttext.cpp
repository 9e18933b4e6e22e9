#include "reportformat.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace anvilmill::tools {

namespace {

constexpr std::size_t CausesShown = 5;

std::string padded(std::string text, std::size_t width)
{
    if (text.size() < width)
        text.append(width - text.size(), ' ');
    return text;
}

std::string aligned(const std::string &text, std::size_t width)
{
    return text.size() < width ? std::string(width - text.size(), ' ') + text : text;
}

std::string percent(double share, int digits)
{
    return asFixed(share * 100, digits) + "%";
}

void writeHosts(std::ostream &out, const BurnReport &report)
{
    const auto missing = std::count_if(report.hosts.begin(), report.hosts.end(),
                                       [](const auto &host) { return host.error.has_value(); });
    out << "Entry hosts: " << report.hosts.size() - static_cast<std::size_t>(missing)
        << " reached, " << missing << " not reached\n";
    for (const auto &host : report.hosts) {
        if (host.error)
            out << "  NOT REACHED " << host.address << ": " << *host.error << "\n";
        if (host.remark)
            out << "  " << host.address << ": " << *host.remark << "\n";
    }
    if (missing > 0)
        out << "  The figures below exclude these hosts.\n";
}

void writeTable(std::ostream &out, const BurnReport &report)
{
    out << "\n"
        << padded("service", 20) << aligned("state", 7) << aligned("objective", 11)
        << aligned("within", 9) << aligned("good", 11) << aligned("bad", 9)
        << aligned("budget left", 13) << aligned("p50 ms", 9) << aligned("p99 ms", 9) << "\n";
    for (const auto &service : report.services)
        out << padded(service.service, 20) << aligned(stateOf(service), 7)
            << aligned(percent(service.objective, 3), 11)
            << aligned(asDurationText(service.latencyMs), 9)
            << aligned(std::to_string(service.good), 11) << aligned(std::to_string(service.bad), 9)
            << aligned(percent(service.budgetLeft, 1), 13)
            << aligned(asFixed(service.worstMedianMs, 1), 9)
            << aligned(asFixed(service.worstP99Ms, 1), 9) << "\n";
}

void writeAlerts(std::ostream &out, const wire::burn::ServiceBurn &service)
{
    for (const auto &alert : service.alerts) {
        const bool isPage = alert.severity == wire::burn::Severity::Page;
        out << "  " << padded(isPage ? "page" : "ticket", 8)
            << padded(asDurationText(alert.longMs), 9) << aligned(asFixed(alert.longBurn, 2), 9)
            << "  " << padded(asDurationText(alert.shortMs), 9)
            << aligned(asFixed(alert.shortBurn, 2), 9) << "  threshold "
            << asFixed(alert.threshold, 1) << (alert.firing ? "  FIRING" : "") << "\n";
    }
}

void writeService(std::ostream &out, const wire::burn::ServiceBurn &service)
{
    out << "\n"
        << service.service << ": burn rates (1 spends the budget in "
        << asDurationText(service.windowMs) << ")\n";
    writeAlerts(out, service);
    const std::size_t shown = std::min(CausesShown, service.causes.size());
    for (std::size_t i = 0; i < shown; ++i)
        out << "  cause " << padded(service.causes[i].cause, 24)
            << padded(asString(service.causes[i].verdict), 12)
            << aligned(std::to_string(service.causes[i].count), 9) << "\n";
    for (const std::string &remark : service.remarks)
        out << "  note: " << remark << "\n";
}

} // namespace

std::string asText(const BurnReport &report)
{
    std::ostringstream out;
    out << "Service-level burn at " << asUtcTime(report.timeMs) << "\n";
    writeHosts(out, report);
    if (report.services.empty()) {
        out << "\nNo requests were counted.\n";
        return out.str();
    }
    writeTable(out, report);
    out << "(response times are those of the slowest entry host since its start)\n";
    for (const auto &service : report.services)
        writeService(out, service);
    return out.str();
}

} // namespace anvilmill::tools
