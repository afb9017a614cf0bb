#include "figstair/core/load/load_board.h"

#include <algorithm>
#include <cmath>

namespace figstair {
namespace {

/// Weight of a new sample. It is high because an upstream that has become slow serves few requests.
constexpr double sampleWeight = 0.4;

/// Half-life of a measured slowness without new samples.
constexpr double slownessHalfLifeMs = 1500.0;

/// Units of load_row::slownessSixteenths in a slowness ratio of 1.
constexpr double slownessUnitsPerRatio = 16.0;

/// Samples above this slowness ratio count as this ratio.
constexpr double maxRatio = 64.0;

/// Open requests per slot that count of one host's report. No host places more than about half of
/// it, but requests on open flows may add to that.
constexpr unsigned maxReportedPerSlot = 8;

/// Slowness ratios below this are normal variation and are not reported.
constexpr double minReportedRatio = 1.5;

double decayed(double ratio, monotonic_time measuredAt, monotonic_time now)
{
    const double age = static_cast<double>((now - measuredAt).count());
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

void load_board::addOpenRequest(upstream_index upstream)
{
    record &item = at(upstream);
    if (item.ownRequests == 0) {
        item.service = m_directory.at(upstream).entry.service;
    }
    ++item.ownRequests;
    ++m_ownRequestsByService[item.service];
}

void load_board::removeOpenRequest(upstream_index upstream)
{
    record &item = at(upstream);
    removeOwnRequests(item, std::min(1U, item.ownRequests));
}

void load_board::removeOwnRequests(record &item, unsigned count)
{
    if (count == 0) {
        return;
    }
    item.ownRequests -= count;
    const auto ofService = m_ownRequestsByService.find(item.service);
    ofService->second -= count;
    if (ofService->second == 0) {
        m_ownRequestsByService.erase(ofService);
    }
}

unsigned load_board::ownOpenRequestsOf(const std::string &service) const
{
    const auto found = m_ownRequestsByService.find(service);
    return found == m_ownRequestsByService.end() ? 0 : found->second;
}

void load_board::onServed(upstream_index upstream, double ratio, monotonic_time now)
{
    record &item = at(upstream);
    const double before = decayed(item.ownRatio, item.ownRatioAt, now);
    item.ownRatio = before + sampleWeight * (std::min(ratio, maxRatio) - before);
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
        // The row may be wrong. One host does not fill an upstream beyond this.
        const unsigned requests = std::min<unsigned>(
            row.openRequests, m_directory.at(upstream).entry.slots * maxReportedPerSlot);
        item.peerRequests += requests;
        report.push_back(reported{upstream, requests});
        if (row.slownessSixteenths > 0) {
            const double ratio = std::min(maxRatio, row.slownessSixteenths / slownessUnitsPerRatio);
            if (ratio >= decayed(item.peerRatio, item.peerRatioAt, now)) {
                item.peerRatio = ratio;
                item.peerRatioAt = now;
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
        item.peerRequests -= std::min(item.peerRequests, row.openRequests);
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
    record &item = at(upstream);
    removeOwnRequests(item, item.ownRequests);
    item = record{};
}

unsigned load_board::ownOpenRequests(upstream_index upstream) const
{
    return upstream < m_records.size() ? m_records[upstream].ownRequests : 0;
}

unsigned load_board::openRequests(upstream_index upstream) const
{
    return upstream < m_records.size()
        ? m_records[upstream].ownRequests + m_records[upstream].peerRequests
        : 0;
}

double load_board::slownessRatio(upstream_index upstream, monotonic_time now) const
{
    if (upstream >= m_records.size()) {
        return 1.0;
    }
    const record &item = m_records[upstream];
    return std::max(decayed(item.ownRatio, item.ownRatioAt, now),
                    decayed(item.peerRatio, item.peerRatioAt, now));
}

monotonic_time load_board::lastServedAt(upstream_index upstream) const
{
    return upstream < m_records.size() ? m_records[upstream].ownRatioAt : monotonic_time{};
}

std::vector<load_row> load_board::ownRows(monotonic_time now) const
{
    std::vector<load_row> rows;
    for (upstream_index index = 0; index < m_records.size(); ++index) {
        const record &item = m_records[index];
        const double ratio = decayed(item.ownRatio, item.ownRatioAt, now);
        const bool isSlow = ratio >= minReportedRatio;
        if (item.ownRequests == 0 && !isSlow) {
            continue;
        }
        load_row row;
        row.tag = m_directory.at(index).tag;
        row.openRequests = static_cast<std::uint16_t>(std::min(item.ownRequests, 65535U));
        row.slownessSixteenths =
            isSlow ? static_cast<std::uint16_t>(ratio * slownessUnitsPerRatio) : 0;
        rows.push_back(row);
    }
    return rows;
}

} // namespace figstair
