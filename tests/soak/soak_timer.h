#pragma once

#include <chrono>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace soak {

/// Calls @p action once on @p io, @p time from now. It cannot be cancelled.
template <typename handler>
void callAfter(boost::asio::io_context &io, std::chrono::milliseconds time, handler action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(io, time);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
        if (!error) {
            action();
        }
    });
}

} // namespace soak
