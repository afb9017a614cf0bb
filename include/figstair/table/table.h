#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/leaf/result.hpp>

#include "figstair/table/edit.h"
#include "figstair/table/row.h"

namespace figstair {

/// One upstream, in the form that the packet path uses.
struct upstream_entry
{
    std::uint32_t id = 0;
    std::uint32_t serviceId = 0;
    std::uint16_t zone = 0; ///< index for table::zoneName()
    row_state state = row_state::in;
    std::uint32_t weight = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t coldLimit = 0;
    milliseconds warmup{0};
    endpoint address;
    wall_time changedAt{};
    std::string name;
};

struct service_entry
{
    std::uint32_t id = 0;
    row_state state = row_state::in;
    wall_time changedAt{};
    std::string name;
    std::vector<std::uint32_t> upstreams; ///< ids, retired ones included
};

struct key_entry
{
    std::uint32_t id = 0;
    wall_time createdAt{};
    std::string name;
    std::string secret; ///< sealed (encrypted) key, hexadecimal
};

/// Error: an edit or snapshot does not follow the current revision of the table.
struct chain_error
{
    std::uint64_t ownRevision = 0;
    std::uint64_t offeredRevision = 0;
    std::string problem;
};

/// The table that operators edit, at one revision. Only apply() and restore() change it.
class table
{
public:
    /// Applies @p edit if it is the next in the chain. Otherwise fails with chain_error and leaves
    /// the table unchanged.
    boost::leaf::result<void> apply(const table_edit &edit);

    /// Replaces the content of the table by @p rows at @p revision. Fails with chain_error unless
    /// @p revision is greater than the current revision.
    boost::leaf::result<void> restore(std::uint64_t revision, std::string digest,
                                      const std::vector<table_row> &rows);

    std::uint64_t revision() const { return m_revision; }
    const std::string &digest() const { return m_digest; }

    /// The lookups return null when there is no such entry. Pointers are valid until the next
    /// change.
    const upstream_entry *upstream(std::uint32_t id) const;
    const service_entry *service(std::uint32_t id) const;
    const service_entry *serviceByName(std::string_view name) const;
    const std::unordered_map<std::uint32_t, upstream_entry> &upstreams() const
    {
        return m_upstreams;
    }
    const std::unordered_map<std::uint32_t, service_entry> &services() const { return m_services; }
    const std::vector<key_entry> &keys() const { return m_keys; }

    std::size_t zoneCount() const { return m_zones.size(); }
    const std::string &zoneName(std::uint16_t zone) const { return m_zones[zone].name; }
    bool isZoneOut(std::uint16_t zone) const { return m_zones[zone].state == row_state::out; }
    bool isZoneOut(std::string_view name) const;

    /// False when the row of the host has the state out. True for hosts without a row.
    bool isHostIn(const std::string &name) const;

    /// All rows in a deterministic order: services, zones, hosts, upstreams, keys.
    std::vector<table_row> rows() const;

private:
    struct named_state
    {
        std::string name;
        row_state state = row_state::in;
        std::string zone;
        wall_time changedAt{};
        bool isPresent = true;
    };

    void put(const table_row &row);
    void purge(const table_row &row);
    void putService(const table_row &row);
    void putUpstream(const table_row &row);
    void putZone(const table_row &row);
    std::uint16_t zoneIndex(const std::string &name);
    void clear();

    std::uint64_t m_revision = 0;
    std::string m_digest;
    std::vector<named_state> m_zones;
    std::unordered_map<std::string, named_state> m_hosts;
    std::unordered_map<std::uint32_t, service_entry> m_services;
    std::unordered_map<std::string, std::uint32_t> m_serviceIds;
    std::unordered_map<std::uint32_t, upstream_entry> m_upstreams;
    std::vector<key_entry> m_keys;
};

} // namespace figstair
