#include "figstair/table/table.h"

#include <algorithm>

#include <boost/leaf.hpp>

namespace leaf = boost::leaf;

namespace figstair {

leaf::result<void> table::apply(const table_edit &edit)
{
    if (edit.revision != m_revision + 1) {
        return leaf::new_error(
            chain_error{m_revision, edit.revision, "edit is not for the next revision"});
    }
    if (edit.parentDigest != m_digest) {
        return leaf::new_error(
            chain_error{m_revision, edit.revision, "edit follows a different digest"});
    }
    for (const row_change &change : edit.changes) {
        if (change.isPurge) {
            purge(change.row);
        } else {
            put(change.row);
        }
    }
    m_revision = edit.revision;
    m_digest = digestAfter(edit);
    return {};
}

leaf::result<void> table::restore(std::uint64_t revision, std::string digest,
                                  const std::vector<table_row> &rows)
{
    if (revision <= m_revision) {
        return leaf::new_error(
            chain_error{m_revision, revision, "snapshot is not newer than the current revision"});
    }
    clear();
    for (const table_row &row : rows) {
        put(row);
    }
    m_revision = revision;
    m_digest = std::move(digest);
    return {};
}

const upstream_entry *table::upstream(std::uint32_t id) const
{
    const auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

const service_entry *table::service(std::uint32_t id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

const service_entry *table::serviceByName(std::string_view name) const
{
    const auto found = m_serviceIds.find(std::string(name));
    return found == m_serviceIds.end() ? nullptr : service(found->second);
}

bool table::isZoneOut(std::string_view name) const
{
    return std::any_of(m_zones.begin(), m_zones.end(), [&](const named_state &zone) {
        return zone.name == name && zone.state == row_state::out;
    });
}

bool table::isHostIn(const std::string &name) const
{
    const auto found = m_hosts.find(name);
    return found == m_hosts.end() || found->second.state == row_state::in;
}

void table::put(const table_row &row)
{
    switch (row.kind) {
    case row_kind::service:
        putService(row);
        break;
    case row_kind::zone:
        putZone(row);
        break;
    case row_kind::host:
        m_hosts[row.name] = named_state{row.name, row.state, row.zone, row.changedAt, true};
        break;
    case row_kind::upstream:
        putUpstream(row);
        break;
    case row_kind::key:
        purge(row);
        m_keys.push_back(key_entry{row.id, row.changedAt, row.name, row.secret});
        break;
    }
}

void table::purge(const table_row &row)
{
    switch (row.kind) {
    case row_kind::service:
        m_serviceIds.erase(row.name);
        m_services.erase(row.id);
        break;
    case row_kind::zone:
        m_zones[zoneIndex(row.name)].isPresent = false;
        break;
    case row_kind::host:
        m_hosts.erase(row.name);
        break;
    case row_kind::upstream: {
        const auto found = m_upstreams.find(row.id);
        if (found == m_upstreams.end()) {
            break;
        }
        std::vector<std::uint32_t> &ids = m_services[found->second.serviceId].upstreams;
        ids.erase(std::remove(ids.begin(), ids.end(), row.id), ids.end());
        m_upstreams.erase(found);
        break;
    }
    case row_kind::key:
        m_keys.erase(std::remove_if(m_keys.begin(), m_keys.end(),
                                    [&](const key_entry &key) { return key.id == row.id; }),
                     m_keys.end());
        break;
    }
}

void table::putService(const table_row &row)
{
    service_entry &entry = m_services[row.id];
    entry.id = row.id;
    entry.state = row.state;
    entry.changedAt = row.changedAt;
    entry.name = row.name;
    m_serviceIds[row.name] = row.id;
}

void table::putUpstream(const table_row &row)
{
    const auto service = m_serviceIds.find(row.service);
    if (service == m_serviceIds.end()) {
        return;
    }
    const bool isNew = m_upstreams.count(row.id) == 0;
    upstream_entry &entry = m_upstreams[row.id];
    entry.id = row.id;
    entry.serviceId = service->second;
    entry.zone = zoneIndex(row.zone);
    entry.state = row.state;
    entry.weight = row.weight;
    entry.slots = row.slots;
    entry.connections = row.connections;
    entry.coldLimit = row.coldLimit;
    entry.warmup = row.warmup;
    entry.address = row.address;
    entry.changedAt = row.changedAt;
    entry.name = row.name;
    if (isNew) {
        m_services[service->second].upstreams.push_back(row.id);
    }
}

void table::putZone(const table_row &row)
{
    named_state &zone = m_zones[zoneIndex(row.name)];
    zone.state = row.state;
    zone.changedAt = row.changedAt;
    zone.isPresent = true;
}

std::uint16_t table::zoneIndex(const std::string &name)
{
    for (std::size_t index = 0; index < m_zones.size(); ++index) {
        if (m_zones[index].name == name) {
            return static_cast<std::uint16_t>(index);
        }
    }
    named_state zone;
    zone.name = name;
    zone.isPresent = false;
    m_zones.push_back(std::move(zone));
    return static_cast<std::uint16_t>(m_zones.size() - 1);
}

void table::clear()
{
    m_zones.clear();
    m_hosts.clear();
    m_services.clear();
    m_serviceIds.clear();
    m_upstreams.clear();
    m_keys.clear();
}

std::vector<table_row> table::rows() const
{
    std::vector<table_row> rows;
    const auto add = [&rows](row_kind kind, const std::string &name, row_state state,
                             wall_time changedAt, std::uint32_t id) -> table_row & {
        table_row row;
        row.kind = kind;
        row.name = name;
        row.state = state;
        row.changedAt = changedAt;
        row.id = id;
        return rows.emplace_back(std::move(row));
    };
    for (const auto &[id, entry] : m_services) {
        add(row_kind::service, entry.name, entry.state, entry.changedAt, id);
    }
    for (const named_state &zone : m_zones) {
        if (zone.isPresent) {
            add(row_kind::zone, zone.name, zone.state, zone.changedAt, 0);
        }
    }
    for (const auto &[name, host] : m_hosts) {
        add(row_kind::host, name, host.state, host.changedAt, 0).zone = host.zone;
    }
    for (const auto &[id, entry] : m_upstreams) {
        table_row &row = add(row_kind::upstream, entry.name, entry.state, entry.changedAt, id);
        row.service = m_services.at(entry.serviceId).name;
        row.zone = m_zones[entry.zone].name;
        row.address = entry.address;
        row.weight = entry.weight;
        row.slots = entry.slots;
        row.connections = entry.connections;
        row.coldLimit = entry.coldLimit;
        row.warmup = entry.warmup;
    }
    for (const key_entry &key : m_keys) {
        add(row_kind::key, key.name, row_state::in, key.createdAt, key.id).secret = key.secret;
    }
    std::sort(rows.begin(), rows.end(), [](const table_row &a, const table_row &b) {
        return std::tuple(a.kind, a.service, a.name, a.id)
            < std::tuple(b.kind, b.service, b.name, b.id);
    });
    return rows;
}

} // namespace figstair
