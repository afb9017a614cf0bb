#include "figstair/core/load_board.h"

#include <algorithm>
#include <cmath>

namespace figstair {
namespace {

/// Weight of a new sample. A few requests decide: an upstream that turned slow serves few.
constexpr double sampleWeight = 0.4;

/// Half-life of a measured slowness without new samples.
constexpr double slownessHalfLifeMs = 1500.0;

constexpr double ratioUnit = 16.0;
constexpr double greatestRatio = 64.0;

/// Ratios below this are spread, not slowness, and are not reported.
constexpr double reportableRatio = 1.5;

double decayed(double ratio, monotonic_time since, monotonic_time now)
{
    const double age = static_cast<double>((now - since).count());
    return 1.0 + (ratio - 1.0) * std::exp2(-age / slownessHalfLifeMs);
}

} // namespace

load_board::load_board(const upstream_directory &directory)
    : m_directory(directory)
{
}

load_board::record &load_board::at(upstream_index upstream)
{
    if (m_records.size() <= upstream) {
        m_records.resize(std::max<std::size_t>(upstream + std::size_t{1}, m_directory.size()));
    }
    return m_records[upstream];
}

void load_board::addOpen(upstream_index upstream)
{
    ++at(upstream).own;
}

void load_board::removeOpen(upstream_index upstream)
{
    record &item = at(upstream);
    if (item.own > 0) {
        --item.own;
    }
}

void load_board::onServed(upstream_index upstream, double ratio, monotonic_time now)
{
    record &item = at(upstream);
    const double before = decayed(item.ownRatio, item.ownRatioAt, now);
    item.ownRatio = before + sampleWeight * (std::min(ratio, greatestRatio) - before);
    item.ownRatioAt = now;
}

void load_board::setReport(const std::string &host, boost::span<const load_row> rows,
                           monotonic_time now)
{
    dropReport(host);
    std::vector<reported> &report = m_reports[host];
    report.clear();
    for (const load_row &row : rows) {
        const upstream_index upstream = m_directory.findTag(row.tag);
        if (upstream == noUpstream) {
            continue;
        }
        record &item = at(upstream);
        item.others += row.openRequests;
        report.push_back(reported{upstream, row.openRequests});
        if (row.slowness > 0) {
            const double ratio = row.slowness / ratioUnit;
            if (ratio >= decayed(item.othersRatio, item.othersRatioAt, now)) {
                item.othersRatio = ratio;
                item.othersRatioAt = now;
            }
        }
    }
}

void load_board::dropReport(const std::string &host)
{
    const auto found = m_reports.find(host);
    if (found == m_reports.end()) {
        return;
    }
    for (const reported &row : found->second) {
        record &item = at(row.upstream);
        item.others -= std::min(item.others, row.open);
    }
    found->second.clear();
}

void load_board::reset(upstream_index upstream)
{
    for (auto &[host, rows] : m_reports) {
        rows.erase(std::remove_if(rows.begin(), rows.end(),
                                  [&](const reported &row) { return row.upstream == upstream; }),
                   rows.end());
    }
    at(upstream) = record{};
}

unsigned load_board::ownOpen(upstream_index upstream) const
{
    return upstream < m_records.size() ? m_records[upstream].own : 0;
}

unsigned load_board::open(upstream_index upstream) const
{
    return upstream < m_records.size() ? m_records[upstream].own + m_records[upstream].others : 0;
}

double load_board::slowness(upstream_index upstream, monotonic_time now) const
{
    if (upstream >= m_records.size()) {
        return 1.0;
    }
    const record &item = m_records[upstream];
    return std::max(decayed(item.ownRatio, item.ownRatioAt, now),
                    decayed(item.othersRatio, item.othersRatioAt, now));
}

std::vector<load_row> load_board::ownRows(monotonic_time now) const
{
    std::vector<load_row> rows;
    for (upstream_index index = 0; index < m_records.size(); ++index) {
        const record &item = m_records[index];
        const double ratio = decayed(item.ownRatio, item.ownRatioAt, now);
        const bool isSlow = ratio >= reportableRatio;
        if (item.own == 0 && !isSlow) {
            continue;
        }
        load_row row;
        row.tag = m_directory.at(index).tag;
        row.openRequests = static_cast<std::uint16_t>(std::min(item.own, 65535U));
        row.slowness = isSlow ? static_cast<std::uint16_t>(ratio * ratioUnit) : 0;
        rows.push_back(row);
    }
    return rows;
}

} // namespace figstair
