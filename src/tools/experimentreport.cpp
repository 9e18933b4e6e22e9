#include "experimentreport.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace anvilmill::tools {

namespace {

constexpr double Median = 0.5;
constexpr double Tail = 0.99;
constexpr double Percent = 100.0;

double asMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double share(double part, double whole)
{
    return whole > 0.0 ? part / whole : 0.0;
}

bool isInTime(const SimulatedJob &job, const JobResult &result)
{
    return result.state == JobResult::State::Finished
           && (!job.deadline || result.response <= *job.deadline);
}

struct Column
{
    const char *title;
    double Figures::*member;
    int precision;
    double scale;
};

constexpr std::array<Column, 11> Columns = {{
        {"p50/ref", &Figures::ratioP50, 3, 1.0},
        {"p99/ref", &Figures::ratioP99, 3, 1.0},
        {"job p99", &Figures::perJobRatioP99, 2, 1.0},
        {"wait ms", &Figures::shortWaitP99, 1, 1.0},
        {"util", &Figures::utilisation, 3, 1.0},
        {"goodput", &Figures::goodput, 3, 1.0},
        {"urgent%", &Figures::urgentInTime, 2, Percent},
        {"wasted%", &Figures::wastedShare, 2, Percent},
        {"peer%", &Figures::peerShare, 2, Percent},
        {"failed%", &Figures::failedShare, 2, Percent},
        {"refused%", &Figures::refusedShare, 2, Percent},
}};

std::string cellOf(const std::vector<Figures> &seeds, const Column &column)
{
    std::vector<double> values;
    values.reserve(seeds.size());
    for (const Figures &figures : seeds)
        values.push_back(figures.*column.member * column.scale);
    const auto [low, high] = std::minmax_element(values.begin(), values.end());
    std::ostringstream text;
    text << std::fixed << std::setprecision(column.precision) << quantileOf(values, Median);
    if (*high - *low >= std::pow(10.0, -column.precision))
        text << " (" << *low << "-" << *high << ")";
    return text.str();
}

} // namespace

double quantileOf(std::vector<double> values, double quantile)
{
    if (values.empty())
        return 0.0;
    const double last = static_cast<double>(values.size() - 1);
    const auto place = static_cast<std::ptrdiff_t>(std::lround(quantile * last));
    std::nth_element(values.begin(), values.begin() + place, values.end());
    return values[static_cast<std::size_t>(place)];
}

Figures figuresOf(const Workload &workload, const RunResult &run,
                  const std::vector<Duration> &responses)
{
    std::vector<double> own;
    std::vector<double> ideal;
    std::vector<double> ratios;
    double measured = 0.0;
    double failed = 0.0;
    double refused = 0.0;
    double urgent = 0.0;
    double urgentInTime = 0.0;
    for (std::size_t i = 0; i < workload.jobs.size(); ++i) {
        const SimulatedJob &job = workload.jobs[i];
        const JobResult &result = run.jobs[i];
        if (!workload.isMeasured(job))
            continue;
        measured += 1.0;
        failed += result.state == JobResult::State::Failed ? 1.0 : 0.0;
        refused += result.state == JobResult::State::Refused ? 1.0 : 0.0;
        urgent += job.isUrgent ? 1.0 : 0.0;
        urgentInTime += job.isUrgent && isInTime(job, result) ? 1.0 : 0.0;
        if (result.state != JobResult::State::Finished || job.team == ExtraLoadTeam)
            continue;
        own.push_back(asMilliseconds(result.response));
        ideal.push_back(asMilliseconds(responses[i]));
        ratios.push_back(own.back() / ideal.back());
    }
    Figures figures;
    figures.ratioP50 = share(quantileOf(own, Median), quantileOf(ideal, Median));
    figures.ratioP99 = share(quantileOf(own, Tail), quantileOf(ideal, Tail));
    figures.responseP99 = quantileOf(own, Tail);
    figures.perJobRatioP99 = quantileOf(ratios, Tail);
    figures.shortWaitP99 = quantileOf(run.shortWaits, Tail);
    figures.utilisation = run.utilisation;
    figures.goodput = run.goodput;
    figures.urgentInTime = share(urgentInTime, urgent);
    figures.wastedShare =
            share(static_cast<double>(run.wastedMessages), static_cast<double>(run.usefulMessages));
    figures.peerShare =
            share(static_cast<double>(run.peerMessages), static_cast<double>(run.usefulMessages));
    figures.failedShare = share(failed, measured);
    figures.refusedShare = share(refused, measured);
    return figures;
}

void printFigures(std::ostream &out, const std::string &scenario,
                  const std::vector<PolicyFigures> &figures)
{
    constexpr int NameWidth = 20;
    constexpr int CellWidth = 22;
    out << "\n" << std::left << std::setw(NameWidth) << scenario;
    for (const Column &column : Columns)
        out << std::setw(CellWidth) << column.title;
    out << "\n";
    for (const auto &[policy, seeds] : figures) {
        out << std::setw(NameWidth) << policy;
        for (const Column &column : Columns)
            out << std::setw(CellWidth) << cellOf(seeds, column);
        out << "\n";
    }
    out << std::flush;
}

void printComparison(std::ostream &out, const std::string &baselineName,
                     const std::vector<PolicyFigures> &figures,
                     const std::vector<PolicyFigures> &baseline)
{
    constexpr Column Wait = {"", &Figures::shortWaitP99, 2, 1.0};
    constexpr Column Response = {"", &Figures::responseP99, 2, 1.0};
    for (std::size_t i = 0; i < figures.size(); ++i) {
        std::vector<Figures> ratios;
        for (std::size_t seed = 0; seed < figures[i].second.size(); ++seed) {
            const Figures &own = figures[i].second[seed];
            const Figures &other = baseline[i].second[seed];
            Figures ratio;
            ratio.shortWaitP99 = share(own.shortWaitP99, other.shortWaitP99);
            ratio.responseP99 = share(own.responseP99, other.responseP99);
            ratios.push_back(ratio);
        }
        out << figures[i].first << " over " << baselineName << ": p99 wait of short work "
            << cellOf(ratios, Wait) << ", p99 response " << cellOf(ratios, Response) << "\n";
    }
    out << std::flush;
}

} // namespace anvilmill::tools
