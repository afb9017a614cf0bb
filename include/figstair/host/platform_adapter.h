#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>

#include "figstair/core/flow/flow_packet.h"
#include "figstair/core/view/fleet_records.h"
#include "figstair/core/view/upstream_directory.h"
#include "figstair/store/fleet_store.h"
#include "figstair/wire/datagram.h"

namespace figstair {

/// Interface to one platform: its names, packet formats and store protocol. Implementations make no
/// load-balancing decisions.
class platform_adapter
{
public:
    virtual ~platform_adapter() = default;

    /// Path of the settings file that the platform wrote; empty when there is none.
    virtual std::string settingsPath() const = 0;

    /// HTTP path of the platform's readiness check.
    virtual std::string_view readinessPath() const = 0;

    /// Maximum size of a caller's packet, in bytes.
    virtual std::size_t maxPacketBytes() const = 0;

    /// Decodes the header of a caller's packet; returns nothing when it is malformed.
    virtual std::optional<flow_packet> decodePacket(byte_view bytes) const = 0;

    /// Encodes the datagram that forwards @p packet to @p upstream into @p out.
    virtual void encodeForUpstream(byte_view packet, const known_upstream &upstream,
                                   byte_buffer &out) const = 0;

    /// Encodes a reset for the caller of @p flow into @p out.
    virtual void encodeReset(const flow_id &flow, std::uint32_t sequence,
                             byte_buffer &out) const = 0;

    /// Creates a client of the store at @p address; @p timeout applies to each call.
    virtual std::unique_ptr<fleet_store>
    openStore(boost::asio::io_context &io, const endpoint &address, milliseconds timeout) const = 0;

    /// Decodes a file with a configuration as the store holds it. Fails with undecodable_config.
    virtual boost::leaf::result<route_config> decodeConfigFile(const std::string &text) const = 0;
};

} // namespace figstair
