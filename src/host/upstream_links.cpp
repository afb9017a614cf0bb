#include "figstair/host/upstream_links.h"

#include "figstair/host/asio_endpoint.h"
#include "figstair/host/framed_stream.h"

namespace asio = boost::asio;
using asio::ip::tcp;

namespace figstair {

upstream_links::upstream_links(asio::io_context &io, message_handler onMessage, loss_handler onLost)
    : m_io(io)
    , m_onMessage(std::move(onMessage))
    , m_onLost(std::move(onLost))
{
}

upstream_links::~upstream_links()
{
    close();
}

void upstream_links::send(const endpoint &upstream, byte_view message)
{
    const auto known = m_streams.find(upstream);
    const auto stream = known != m_streams.end() ? known->second : open(upstream);
    if (!stream->send(message)) {
        m_onLost(upstream, "send queue is full or message too large; message dropped");
    }
}

void upstream_links::close()
{
    for (const auto &[upstream, stream] : m_streams) {
        stream->close();
    }
    m_streams.clear();
}

std::shared_ptr<framed_stream> upstream_links::open(const endpoint &upstream)
{
    auto stream = std::make_shared<framed_stream>(tcp::socket(m_io));
    m_streams[upstream] = stream;
    stream->setHandlers([this, upstream](byte_view message) { m_onMessage(upstream, message); },
                        [this, upstream](const boost::system::error_code &reason) {
                            m_streams.erase(upstream);
                            m_onLost(upstream, reason.message());
                        });
    stream->connect(toAsio<tcp::endpoint>(upstream));
    return stream;
}

} // namespace figstair
