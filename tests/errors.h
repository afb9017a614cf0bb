#pragma once

#include <optional>

#include <boost/leaf.hpp>

/// The error of type @p error_type that @p action fails with; nothing when it succeeds or fails
/// with another error.
template <typename error_type, typename action_type>
std::optional<error_type> errorOf(action_type action)
{
    namespace leaf = boost::leaf;
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<error_type>> {
            BOOST_LEAF_CHECK(action());
            return std::optional<error_type>();
        },
        [](const error_type &error) { return std::optional<error_type>(error); },
        [] { return std::optional<error_type>(); });
}

/// The value that @p action returns. Throws when it fails.
template <typename action_type> auto valueOf(action_type action)
{
    namespace leaf = boost::leaf;
    using value_type = std::decay_t<decltype(action().value())>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<value_type> { return action(); },
        []() -> value_type { throw std::runtime_error("the action failed"); });
}

/// Whether @p action succeeds.
template <typename action_type> bool succeeds(action_type action)
{
    namespace leaf = boost::leaf;
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(action());
            return true;
        },
        [] { return false; });
}
