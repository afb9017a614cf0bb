#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "figstair/core/flow_packet.h"
#include "figstair/core/upstream_directory.h"
#include "figstair/store/fleet_store.h"
#include "figstair/wire/datagram.h"

namespace figstair {

/// How one platform speaks: names, formats and calls. Nothing behind it decides anything.
class platform_adapter
{
public:
    virtual ~platform_adapter() = default;

    /// Path of the settings file that the platform wrote; empty when it names none.
    virtual std::string settingsPath() const = 0;

    /// Path that the platform asks to learn whether this host takes packets.
    virtual std::string_view readinessPath() const = 0;

    /// Greatest size of a caller's packet, in bytes.
    virtual std::size_t maxPacketBytes() const = 0;

    /// Reads the head of a caller's packet; nothing when the bytes are no such packet.
    virtual std::optional<flow_packet> decodePacket(byte_view bytes) const = 0;

    /// Writes the datagram that carries @p packet to @p upstream into @p out.
    virtual void encodeForUpstream(byte_view packet, const known_upstream &upstream,
                                   byte_buffer &out) const = 0;

    /// Writes a reset for the caller of @p flow into @p out.
    virtual void encodeReset(const flow_id &flow, std::uint32_t sequence,
                             byte_buffer &out) const = 0;

    virtual std::unique_ptr<fleet_store>
    openStore(boost::asio::io_context &io, const endpoint &address, milliseconds timeout) const = 0;
};

} // namespace figstair
